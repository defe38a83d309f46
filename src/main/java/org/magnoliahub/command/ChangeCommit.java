package org.magnoliahub.command;

import java.io.PrintStream;
import java.time.temporal.ChronoUnit;
import java.util.List;

import net.sourceforge.argparse4j.inf.ArgumentParser;
import org.magnoliahub.configuration.CommitResult;
import org.magnoliahub.configuration.ConfigurationChange;
import org.magnoliahub.configuration.ConfigurationFault;
import org.magnoliahub.configuration.ConfigurationRepository;
import org.magnoliahub.configuration.ItemChange;

/**
 * Commits a change on behalf of an author and reports the result.
 */
final class ChangeCommit {

	private static final String AUTHOR = "--author";

	private static final String COMMENT = "--comment";

	private final CommandContext context;

	private final String author;

	private final String comment;

	private ChangeCommit(CommandContext context, String author, String comment) {
		this.context = context;
		this.author = author;
		this.comment = comment;
	}

	static void declare(ArgumentParser parser) {
		Settings.declare(parser, AUTHOR, "who makes the change, recorded in the audit trail, required");
		Settings.declare(parser, COMMENT, "why the change is made, recorded in the audit trail");
	}

	/**
	 * Reads author and comment.
	 * @param context the context
	 * @param settings the settings, which collect faults
	 * @param defaultComment comment if none is given
	 * @return a commit that is valid if the settings are
	 */
	static ChangeCommit of(CommandContext context, Settings settings, String defaultComment) {
		String author = settings.requiredText(AUTHOR);
		String comment = settings.optionalText(COMMENT).orElse(defaultComment);
		for (String text : List.of(author, comment)) {
			if (text.length() > ConfigurationChange.MAXIMUM_TEXT_LENGTH) {
				settings.addFault(AUTHOR + " and " + COMMENT + " must have at most "
						+ ConfigurationChange.MAXIMUM_TEXT_LENGTH + " characters, but one has " + text.length());
			}
		}
		return new ChangeCommit(context, author, comment);
	}

	ExitCode run(ConfigurationRepository repository, String changeId, long baseVersion, List<ItemChange> items,
			PrintStream output) throws CommandException {
		ConfigurationChange change = ConfigurationChange.of(changeId, baseVersion, this.author,
				this.context.clock().instant().truncatedTo(ChronoUnit.MILLIS), this.comment, items);
		CommitResult result = this.context.await(repository.commit(change));
		if (result instanceof CommitResult.Accepted accepted) {
			output.println("version " + accepted.version() + " is committed, change " + changeId);
			return ExitCode.SUCCESS;
		}
		throw refusal(change, result);
	}

	private static CommandException refusal(ConfigurationChange change, CommitResult result) {
		if (result instanceof CommitResult.Conflict conflict) {
			StringBuilder message = new StringBuilder("conflict: the change is based on version ")
				.append(change.baseVersion())
				.append(", but the newest is ")
				.append(conflict.headVersion())
				.append("; nothing was changed, plan again. Changes since then:");
			conflict.changesSinceBase()
				.forEach((other) -> message.append("\n  ").append(ChangePrinter.describe(other)));
			return new CommandException(ExitCode.CONFLICT, message.toString());
		}
		if (result instanceof CommitResult.Invalid invalid) {
			return new CommandException(ExitCode.USAGE, "the resulting configuration is invalid:\n  "
					+ String.join("\n  ", invalid.faults().stream().map(ConfigurationFault::toString).toList()));
		}
		if (result instanceof CommitResult.IdReused reused) {
			return new CommandException(ExitCode.CONFLICT, "the change id " + change.id() + " belongs to version "
					+ reused.version() + " with other content; plan again");
		}
		return new CommandException(ExitCode.USAGE, tooLarge(change.items().size()));
	}

	static String tooLarge(int items) {
		return "expected a change of at most " + ConfigurationRepository.MAXIMUM_CHANGE_CHARACTERS
				+ " characters, but its " + items + " items need more; declare fewer new items at a time";
	}

}
