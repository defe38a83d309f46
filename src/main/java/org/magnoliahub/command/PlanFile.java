package org.magnoliahub.command;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;

import org.magnoliahub.configuration.ConfigurationCodec;
import org.magnoliahub.configuration.ConfigurationFormatException;
import org.magnoliahub.configuration.ItemChange;

/**
 * A change that was shown and can be committed.
 *
 * @param content the change
 * @param contentHash SHA-256 of the content's JSON form, in hexadecimal digits
 */
record PlanFile(Content content, String contentHash) {

	/** Version of the file format. */
	static final int FORMAT = 1;

	static PlanFile of(String changeId, long baseVersion, List<ItemChange> items) {
		Content content = new Content(FORMAT, changeId, baseVersion, items);
		return new PlanFile(content, hash(content));
	}

	/**
	 * Parses a plan file and checks that it is unchanged.
	 * @param text the file's content
	 * @return the plan
	 * @throws CommandException if the file is not a plan or was changed
	 */
	static PlanFile parse(String text) throws CommandException {
		try {
			PlanFile plan = ConfigurationCodec.decode(text, PlanFile.class);
			if (plan.content().format() != FORMAT) {
				throw new CommandException(ExitCode.USAGE, "expected a plan file of format " + FORMAT + ", but it has "
						+ plan.content().format() + "; run 'plan' again with this version");
			}
			if (!hash(plan.content()).equals(plan.contentHash())) {
				throw new CommandException(ExitCode.USAGE,
						"the plan file does not match its content hash; run 'plan' again instead of changing the file");
			}
			return plan;
		}
		catch (ConfigurationFormatException ex) {
			throw new CommandException(ExitCode.USAGE, "expected a plan file written by 'plan': " + ex.getMessage());
		}
	}

	private static String hash(Content content) {
		try {
			byte[] bytes = ConfigurationCodec.encode(content).getBytes(StandardCharsets.UTF_8);
			return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("every Java platform has SHA-256", ex);
		}
	}

	/**
	 * The change.
	 *
	 * @param format version of the file format
	 * @param changeId id of the change, which makes a repeated commit safe
	 * @param baseVersion the version that the plan was made on
	 * @param items the item changes
	 */
	record Content(int format, String changeId, long baseVersion, List<ItemChange> items) {

		Content {
			items = List.copyOf(items);
		}

	}

}
