package org.magnoliahub.report;

import java.util.ArrayList;
import java.util.List;

/**
 * The daily report as plain text.
 */
public final class TextReport {

	private TextReport() {
	}

	/**
	 * Renders the report.
	 * @param report the report
	 * @return the text
	 */
	public static String render(DailyReport report) {
		StringBuilder text = new StringBuilder("Daily report, " + report.generated() + " (days in UTC)\n");
		for (ReportTables.Section section : ReportTables.sections(report)) {
			text.append('\n').append(section.title()).append('\n');
			if (!section.note().isEmpty()) {
				text.append(printable(section.note())).append('\n');
			}
			if (section.columns().isEmpty()) {
				continue;
			}
			if (section.rows().isEmpty()) {
				text.append("  (nothing)\n");
				continue;
			}
			List<List<String>> lines = new ArrayList<>();
			lines.add(section.columns());
			section.rows().forEach((row) -> lines.add(row.stream().map(TextReport::printable).toList()));
			append(text, lines);
		}
		return text.toString();
	}

	private static void append(StringBuilder text, List<List<String>> lines) {
		int[] widths = new int[lines.get(0).size()];
		lines.forEach((line) -> {
			for (int i = 0; i < widths.length; i++) {
				widths[i] = Math.max(widths[i], line.get(i).length());
			}
		});
		for (List<String> line : lines) {
			StringBuilder row = new StringBuilder("  ");
			for (int i = 0; i < widths.length; i++) {
				row.append(line.get(i)).append(" ".repeat(widths[i] - line.get(i).length() + 2));
			}
			text.append(row.toString().stripTrailing()).append('\n');
		}
	}

	private static String printable(String text) {
		return text.replaceAll("\\p{Cntrl}", "?");
	}

}
