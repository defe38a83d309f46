package org.magnoliahub.server;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

import org.jspecify.annotations.Nullable;

/**
 * Tokens by which operators authenticate. Only hashes are kept, and no message contains a
 * token.
 */
public final class OperatorTokens {

	/** Shortest token, in characters. */
	public static final int MINIMUM_LENGTH = 16;

	private static final String DEFAULT_NAME = "operator";

	private static final String SCHEME = "Bearer ";

	private final List<Entry> entries;

	private OperatorTokens(List<Entry> entries) {
		this.entries = List.copyOf(entries);
	}

	/**
	 * Returns no tokens, with which every call is refused.
	 * @return no tokens
	 */
	public static OperatorTokens none() {
		return new OperatorTokens(List.of());
	}

	/**
	 * Reads tokens.
	 * @param text one token per line, with the operator's name and a space before it or
	 * alone; blank lines and lines that start with {@code #} are ignored
	 * @return the tokens
	 * @throws IllegalArgumentException if a line is faulty or there is no token
	 */
	public static OperatorTokens parse(String text) {
		List<Entry> entries = new ArrayList<>();
		String[] lines = text.split("\\R");
		for (int i = 0; i < lines.length; i++) {
			String line = lines[i].strip();
			if (line.isEmpty() || line.startsWith("#")) {
				continue;
			}
			String[] parts = line.split("\\s+");
			String token = parts[parts.length - 1];
			if (parts.length > 2 || token.length() < MINIMUM_LENGTH) {
				throw new IllegalArgumentException("operator token in line " + (i + 1)
						+ " must be a name and a token of at least " + MINIMUM_LENGTH + " characters");
			}
			entries.add(new Entry((parts.length == 2) ? parts[0] : DEFAULT_NAME, hash(token)));
		}
		if (entries.isEmpty()) {
			throw new IllegalArgumentException("expected at least one operator token, but there is none");
		}
		return new OperatorTokens(entries);
	}

	/**
	 * Checks the credentials of a call. The time does not depend on which token matches
	 * or how much of one.
	 * @param authorization value of the header {@code Authorization}, {@code null} if
	 * absent
	 * @return name of the operator, empty if the token is missing or wrong
	 */
	Optional<String> authenticate(@Nullable String authorization) {
		String credentials = Objects.requireNonNullElse(authorization, "");
		byte[] given = hash(credentials.startsWith(SCHEME) ? credentials.substring(SCHEME.length()).strip() : "");
		@Nullable String name = null;
		for (Entry entry : this.entries) {
			if (MessageDigest.isEqual(entry.hash(), given)) {
				name = entry.name();
			}
		}
		return Optional.ofNullable(name);
	}

	private static byte[] hash(String token) {
		try {
			return MessageDigest.getInstance("SHA-256").digest(token.getBytes(StandardCharsets.UTF_8));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private record Entry(String name, byte[] hash) {

	}

}
