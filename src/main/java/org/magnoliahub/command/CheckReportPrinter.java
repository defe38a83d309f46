package org.magnoliahub.command;

import java.io.PrintStream;
import java.util.List;
import java.util.Locale;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.magnoliahub.configurationcheck.CheckReport;
import org.magnoliahub.configurationcheck.FieldDifference;
import org.magnoliahub.configurationcheck.Finding;
import org.magnoliahub.configurationcheck.ItemDifference;
import org.magnoliahub.configurationcheck.ItemDifference.Change;
import org.magnoliahub.configurationcheck.Severity;

/**
 * Prints the result of a check for people and for programs.
 */
final class CheckReportPrinter {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private CheckReportPrinter() {
	}

	/**
	 * Prints findings and differences, one per line.
	 * @param report the result of the check
	 * @param compared whether the differences are known
	 * @param output where to print
	 */
	static void printText(CheckReport report, boolean compared, PrintStream output) {
		for (Finding finding : report.findings()) {
			output.println(ChangePrinter
				.printable(word(finding.severity()) + " " + finding.path() + ": " + finding.message()));
		}
		output.println("errors: " + report.count(Severity.ERROR) + ", warnings: " + report.count(Severity.WARNING));
		if (compared) {
			printDifferences(report.differences(), output);
		}
	}

	private static void printDifferences(List<ItemDifference> differences, PrintStream output) {
		output.println("differences from the version in force: " + differences.size());
		for (ItemDifference difference : differences) {
			output.println(ChangePrinter.printable(sign(difference.change()) + " " + difference.item().label()));
			ChangePrinter.printFields(difference.fields(), output);
		}
	}

	private static String sign(Change change) {
		return switch (change) {
			case ADDED -> "+";
			case REMOVED -> "-";
			case CHANGED -> "~";
		};
	}

	static String json(CheckReport report) {
		ObjectNode root = MAPPER.createObjectNode();
		root.put("errors", report.count(Severity.ERROR));
		root.put("warnings", report.count(Severity.WARNING));
		ArrayNode findings = root.putArray("findings");
		for (Finding finding : report.findings()) {
			findings.addObject()
				.put("severity", word(finding.severity()))
				.put("path", finding.path().toString())
				.put("message", finding.message());
		}
		ArrayNode differences = root.putArray("differences");
		report.differences().forEach((difference) -> add(difference, differences.addObject()));
		return root.toPrettyString() + "\n";
	}

	private static void add(ItemDifference difference, ObjectNode object) {
		object.put("change", word(difference.change()))
			.put("kind", difference.item().kind())
			.put("name", difference.item().name())
			.put("path", difference.item().path().toString());
		ArrayNode fields = object.putArray("fields");
		for (FieldDifference field : difference.fields()) {
			fields.addObject().put("field", field.field()).put("before", field.before()).put("after", field.after());
		}
	}

	private static String word(Enum<?> constant) {
		return constant.name().toLowerCase(Locale.ROOT);
	}

}
