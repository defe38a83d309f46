package org.magnoliahub.command;

import java.io.IOException;
import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import net.sourceforge.argparse4j.inf.Argument;
import net.sourceforge.argparse4j.inf.Subparser;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class SettingsPageTests {

	private static final Path PAGE = Path.of("docs", "operations", "install.md");

	private static final String START = "<!-- settings: written by SettingsPageTests -->\n";

	private static final String END = "<!-- end of settings -->\n";

	private static final Pattern HELP = Pattern.compile("(.*) \\[(MAGNOLIAHUB_[A-Z0-9_]+)\\]");

	/**
	 * Guards against a page that names other settings than the binary has. Run with
	 * {@code -Dsettings.update=true} to rewrite the tables.
	 */
	@Test
	void pageHoldsAllSettings() throws IOException {
		String page = Files.readString(PAGE);
		int start = page.indexOf(START) + START.length();
		int end = page.indexOf(END);
		assertThat(end).isGreaterThanOrEqualTo(start);
		String tables = tables();
		if (Boolean.getBoolean("settings.update")) {
			Files.writeString(PAGE, page.substring(0, start) + tables + page.substring(end));
			return;
		}
		assertThat(page.substring(start, end)).isEqualTo(tables);
	}

	private static String tables() {
		StringBuilder result = new StringBuilder();
		Commands.all().stream().sorted(Comparator.comparing(Command::name)).forEach((command) -> {
			List<String> rows = new ArrayList<>();
			command.configure(recorder(rows));
			result.append("\n### ").append(command.name()).append("\n\n| flag | variable | meaning |\n|---|---|---|\n");
			rows.forEach((row) -> result.append(row).append('\n'));
		});
		return result.append('\n').toString();
	}

	/**
	 * Creates a parser that records its arguments, since argparse4j does not list them.
	 * @param rows receives a row of the table per argument
	 * @return the parser
	 */
	private static Subparser recorder(List<String> rows) {
		InvocationHandler handler = (parser, method, values) -> {
			if (method.getName().equals("addArgument")) {
				return argument(rows, String.join(" ", (String[]) values[0]));
			}
			return parser;
		};
		return proxy(Subparser.class, handler);
	}

	private static Argument argument(List<String> rows, String flag) {
		InvocationHandler handler = (argument, method, values) -> {
			if (method.getName().equals("help")) {
				Matcher matcher = HELP.matcher((String) values[0]);
				boolean hasVariable = matcher.matches();
				String meaning = hasVariable ? matcher.group(1) : (String) values[0];
				rows.add("| `" + flag + "` | " + (hasVariable ? "`" + matcher.group(2) + "`" : "") + " | "
						+ meaning.replace("|", "\\|") + " |");
			}
			return argument;
		};
		return proxy(Argument.class, handler);
	}

	private static <T> T proxy(Class<T> type, InvocationHandler handler) {
		return type.cast(Proxy.newProxyInstance(type.getClassLoader(), new Class<?>[] { type }, handler));
	}

}
