package org.magnoliahub.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;

import org.magnoliahub.server.OperatorTokens;

/**
 * Reads operator tokens. There is no flag for a token itself, since command lines are
 * visible to other processes. No message contains a token.
 */
final class OperatorTokenSettings {

	static final String FILE_FLAG = "--operator-token-file";

	static final String VARIABLE = "MAGNOLIAHUB_OPERATOR_TOKEN";

	private OperatorTokenSettings() {
	}

	/**
	 * Reads the tokens that a gateway accepts.
	 * @param settings the settings, which collect faults
	 * @param environment environment variables
	 * @return the tokens, none if there is no setting
	 */
	static OperatorTokens read(Settings settings, Map<String, String> environment) {
		Optional<String> text = text(settings, environment);
		if (text.isEmpty()) {
			return OperatorTokens.none();
		}
		try {
			return OperatorTokens.parse(text.get());
		}
		catch (IllegalArgumentException ex) {
			settings.addFault(FILE_FLAG + " (or " + VARIABLE + "): " + ex.getMessage());
			return OperatorTokens.none();
		}
	}

	/**
	 * Reads the token that a command sends.
	 * @param settings the settings, which collect faults
	 * @param environment environment variables
	 * @return the last word of the first line
	 */
	static String readOwn(Settings settings, Map<String, String> environment) {
		String line = text(settings, environment).map(String::strip).orElse("").lines().findFirst().orElse("");
		if (line.isEmpty()) {
			settings.addFault(FILE_FLAG + " or the variable " + VARIABLE + " is required");
			return "";
		}
		String[] words = line.split("\\s+");
		String token = words[words.length - 1];
		if (!token.chars().allMatch((character) -> character > ' ' && character < 127)) {
			settings.addFault(FILE_FLAG + " (or " + VARIABLE + "): the token must be ASCII without white space");
			return "";
		}
		return token;
	}

	private static Optional<String> text(Settings settings, Map<String, String> environment) {
		Optional<String> file = settings.optionalText(FILE_FLAG);
		if (file.isEmpty()) {
			return Optional.ofNullable(environment.get(VARIABLE));
		}
		try {
			return Optional.of(Files.readString(Path.of(file.get())));
		}
		catch (IOException | IllegalArgumentException ex) {
			settings.addFault(FILE_FLAG + " cannot be read: " + ex);
			return Optional.empty();
		}
	}

}
