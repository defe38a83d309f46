package org.magnoliahub.command;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import org.jspecify.annotations.Nullable;

/**
 * Reads settings from flags and, where a flag is absent, from environment variables. The
 * flag {@code --listen-port} has the variable {@code MAGNOLIAHUB_LISTEN_PORT}. Faults are
 * collected and reported together by {@link #check()}.
 */
public final class Settings {

	private static final String VARIABLE_PREFIX = "MAGNOLIAHUB_";

	private final Namespace arguments;

	private final Map<String, String> environment;

	private final List<String> faults = new ArrayList<>();

	private Settings(Namespace arguments, Map<String, String> environment) {
		this.arguments = arguments;
		this.environment = environment;
	}

	/**
	 * Declares a setting as a flag and names its variable in the help text.
	 * @param parser the parser
	 * @param flag the flag with its dashes, for example {@code --listen-port}
	 * @param help what the setting is, with its unit and default
	 */
	public static void declare(ArgumentParser parser, String flag, String help) {
		parser.addArgument(flag).help(help + " [" + variableOf(flag) + "]");
	}

	/**
	 * Creates a reader.
	 * @param arguments parsed flags
	 * @param environment environment variables
	 * @return the reader
	 */
	public static Settings of(Namespace arguments, Map<String, String> environment) {
		return new Settings(arguments, environment);
	}

	private static String variableOf(String flag) {
		return VARIABLE_PREFIX + flag.substring(2).replace('-', '_').toUpperCase(Locale.ROOT);
	}

	/**
	 * Reads a number.
	 * @param flag the flag with its dashes
	 * @param minimum smallest allowed value
	 * @param maximum largest allowed value
	 * @param defaultValue value if the setting is absent
	 * @return the number, or the default if the setting is faulty
	 */
	public long number(String flag, long minimum, long maximum, long defaultValue) {
		String text = find(flag);
		if (text == null) {
			return defaultValue;
		}
		try {
			long value = Long.parseLong(text);
			if (value >= minimum && value <= maximum) {
				return value;
			}
		}
		catch (NumberFormatException ex) {
			// Reported below together with values out of range.
		}
		this.faults
			.add(flag + " must be a whole number from " + minimum + " to " + maximum + ", but was '" + text + "'");
		return defaultValue;
	}

	/**
	 * Reads a text that may be absent.
	 * @param flag the flag with its dashes
	 * @return the text, empty if absent
	 */
	public Optional<String> optionalText(String flag) {
		return Optional.ofNullable(find(flag));
	}

	/**
	 * Reads a text that must be present.
	 * @param flag the flag with its dashes
	 * @return the text, or an empty text if the setting is faulty
	 */
	public String requiredText(String flag) {
		String text = find(flag);
		if (text == null || text.isBlank()) {
			this.faults.add(flag + " (or " + variableOf(flag) + ") is required");
			return "";
		}
		return text;
	}

	/**
	 * Reads one of several words.
	 * @param <E> type of the choice
	 * @param flag the flag with its dashes
	 * @param defaultValue value if the setting is absent
	 * @return the choice, or the default if the setting is faulty; words are the names of
	 * the constants in lower case with dashes
	 */
	public <E extends Enum<E>> E choice(String flag, E defaultValue) {
		String text = find(flag);
		if (text == null) {
			return defaultValue;
		}
		List<String> words = new ArrayList<>();
		for (E constant : defaultValue.getDeclaringClass().getEnumConstants()) {
			String word = constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
			if (word.equals(text)) {
				return constant;
			}
			words.add(word);
		}
		this.faults.add(flag + " must be one of " + String.join(", ", words) + ", but was '" + text + "'");
		return defaultValue;
	}

	/**
	 * Adds a fault that a caller found.
	 * @param fault what was expected and what came
	 */
	public void addFault(String fault) {
		this.faults.add(fault);
	}

	/**
	 * Reports all faults found so far.
	 * @throws CommandException if there is a fault, with exit code {@link ExitCode#USAGE}
	 */
	public void check() throws CommandException {
		if (!this.faults.isEmpty()) {
			throw new CommandException(ExitCode.USAGE, "invalid settings:\n  " + String.join("\n  ", this.faults));
		}
	}

	private @Nullable String find(String flag) {
		String fromFlag = this.arguments.getString(flag.substring(2).replace('-', '_'));
		return (fromFlag != null) ? fromFlag : this.environment.get(variableOf(flag));
	}

}
