package org.magnoliahub.report;

import java.util.Base64;
import java.util.List;

/**
 * The daily report as one HTML page without references to other files.
 */
public final class HtmlReport {

	private static final String STYLE = """
			body{font:15px/1.45 sans-serif;color:#1d2733;max-width:68em;margin:2em auto;padding:0 1em}
			h1{font-size:1.5em;margin-bottom:.2em}h2{font-size:1.05em;margin:1.8em 0 .4em}
			table{border-collapse:collapse;width:100%}th,td{text-align:left;padding:.3em .7em .3em 0;
			border-bottom:1px solid #dde3ea;overflow-wrap:anywhere;vertical-align:top}
			th{color:#5b6875;font-weight:600}p{margin:.3em 0}.warning{background:#fdecea;border-left:4px solid #b3261e;
			padding:.5em .8em;color:#7a1a14;font-weight:600}img{max-width:100%;height:auto}
			""";

	private HtmlReport() {
	}

	/**
	 * Renders the report.
	 * @param report the report
	 * @return the page
	 */
	public static String render(DailyReport report) {
		StringBuilder page = new StringBuilder("<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
				+ "<title>Daily report</title><style>" + STYLE + "</style></head><body>\n<h1>Daily report</h1>\n<p>"
				+ escaped(report.generated().toString()) + ", days in UTC</p>\n");
		report.days()
			.forEach((day) -> paragraph(page, ReportTables.title(day) + ": " + ReportTables.completeness(day),
					day.incomplete()));
		ReportCharts.attainment(report).ifPresent((image) -> image(page, image, "Answers in time by request class"));
		ReportCharts.cost(report).ifPresent((image) -> image(page, image, "Cost by stage"));
		for (ReportTables.Section section : ReportTables.sections(report)) {
			page.append("<h2>").append(escaped(section.title())).append("</h2>\n");
			if (!section.note().isEmpty()) {
				paragraph(page, section.note(), section.warning());
			}
			if (!section.columns().isEmpty()) {
				table(page, section);
			}
		}
		return page.append("</body></html>\n").toString();
	}

	private static void paragraph(StringBuilder page, String text, boolean warning) {
		page.append(warning ? "<p class=\"warning\">" : "<p>").append(escaped(text)).append("</p>\n");
	}

	private static void image(StringBuilder page, byte[] image, String text) {
		page.append("<p><img alt=\"")
			.append(escaped(text))
			.append("\" src=\"data:image/png;base64,")
			.append(Base64.getEncoder().encodeToString(image))
			.append("\"></p>\n");
	}

	private static void table(StringBuilder page, ReportTables.Section section) {
		if (section.rows().isEmpty()) {
			page.append("<p>(nothing)</p>\n");
			return;
		}
		page.append("<table><tr>");
		section.columns().forEach((column) -> page.append("<th>").append(escaped(column)).append("</th>"));
		page.append("</tr>\n");
		for (List<String> row : section.rows()) {
			page.append("<tr>");
			row.forEach((value) -> page.append("<td>").append(escaped(value)).append("</td>"));
			page.append("</tr>\n");
		}
		page.append("</table>\n");
	}

	// Texts of callers and operators appear in the page.
	private static String escaped(String text) {
		return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;").replace("\"", "&quot;");
	}

}
