package org.magnoliahub.command;

import java.io.PrintStream;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.magnoliahub.configuration.ConfigurationChange;
import org.magnoliahub.configuration.ConfigurationEdits;
import org.magnoliahub.configuration.ItemChange;
import org.magnoliahub.configurationcheck.FieldDifference;
import org.magnoliahub.declaration.DeclarationFields;
import org.magnoliahub.model.Configuration;

/**
 * Prints changes for operators.
 */
final class ChangePrinter {

	private static final int SUMMARY_ITEMS = 5;

	private ChangePrinter() {
	}

	/**
	 * Prints each item change with its fields.
	 * @param base the configuration before
	 * @param items the changes
	 * @param output where to print
	 */
	static void printItems(Configuration base, List<ItemChange> items, PrintStream output) {
		Configuration changed = ConfigurationEdits.apply(base, base.version() + 1, items);
		int added = 0;
		int removed = 0;
		for (ItemChange item : items) {
			Map<String, String> before = DeclarationFields.of(base, item.kind(), item.name());
			Map<String, String> after = DeclarationFields.of(changed, item.kind(), item.name());
			String sign = before.isEmpty() ? "+" : (after.isEmpty() ? "-" : "~");
			added += before.isEmpty() ? 1 : 0;
			removed += after.isEmpty() ? 1 : 0;
			output.println(sign + " " + item.kind().label() + " " + item.name());
			if (sign.equals("~")) {
				printFields(FieldDifference.between(before, after), output);
			}
		}
		output
			.println(added + " to add, " + (items.size() - added - removed) + " to change, " + removed + " to remove");
	}

	/**
	 * Prints changed fields below their item.
	 * @param fields the changed fields
	 * @param output where to print
	 */
	static void printFields(List<FieldDifference> fields, PrintStream output) {
		for (FieldDifference field : fields) {
			output.println(
					"    " + printable(field.field() + ": " + shown(field.before()) + " -> " + shown(field.after())));
		}
	}

	private static String shown(@Nullable String value) {
		return (value != null) ? value : "(none)";
	}

	static String describe(ConfigurationChange change) {
		return "version " + change.version() + " by " + printable(change.author()) + " at " + change.time() + ": "
				+ summary(change.items().stream().map(ItemChange::summary).toList(), change.items().size());
	}

	static String summary(List<String> items, int count) {
		String listed = String.join(", ", items.subList(0, Math.min(SUMMARY_ITEMS, items.size())));
		return (count > SUMMARY_ITEMS) ? listed + " and " + (count - SUMMARY_ITEMS) + " more" : listed;
	}

	/**
	 * Replaces control characters, which could imitate further lines of output.
	 * @param text any text
	 * @return the text on one line
	 */
	static String printable(String text) {
		return text.replaceAll("\\p{Cntrl}", "?");
	}

}
