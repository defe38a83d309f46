package org.magnoliahub.entry;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks the event table in the operations page against {@link EntryEvent}. Run with
 * {@code -Dsettings.update=true} to regenerate the table.
 */
class EntryEventTableTests {

	private static final Path PAGE = Path.of("docs", "OPERATIONS.md");

	private static final String START = "<!-- events -->\n";

	private static final String END = "<!-- end of events -->\n";

	@Test
	void pageListsAllEventsAndFields() throws IOException {
		String page = Files.readString(PAGE);
		int start = page.indexOf(START) + START.length();
		int end = page.indexOf(END);
		if (Boolean.getBoolean("settings.update")) {
			Files.writeString(PAGE, page.substring(0, start) + table() + page.substring(end));
			return;
		}
		assertThat(page.substring(start, end)).isEqualTo(table());
	}

	private static String table() {
		StringBuilder table = new StringBuilder("| event | fields | lines a second |\n|---|---|---|\n");
		for (EntryEvent event : EntryEvent.values()) {
			table.append("| `")
				.append(event.label())
				.append("` | ")
				.append(String.join(", ", event.fields()))
				.append(" | ")
				.append(event.linesPerSecond())
				.append(" |\n");
		}
		return table.toString();
	}

}
