package org.magnoliahub.declaration;

import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BiConsumer;
import java.util.stream.Collectors;

import com.fasterxml.jackson.core.JsonToken;
import org.jspecify.annotations.Nullable;

/**
 * Reads typed fields of one YAML mapping. A missing or invalid field is reported and
 * replaced by a default, so that the remaining fields and references are checked in the
 * same run.
 */
final class FieldReader {

	private final YamlNode.Mapping mapping;

	private final BiConsumer<SourceLocation, String> reporter;

	private final Set<String> knownFields = new TreeSet<>();

	private final Set<String> faultyFields = new TreeSet<>();

	private FieldReader(YamlNode.Mapping mapping, BiConsumer<SourceLocation, String> reporter) {
		this.mapping = mapping;
		this.reporter = reporter;
	}

	static FieldReader of(YamlNode.Mapping mapping, BiConsumer<SourceLocation, String> reporter) {
		return new FieldReader(mapping, reporter);
	}

	SourceLocation location(String field) {
		YamlNode.Field found = this.mapping.fields().get(field);
		return (found != null) ? found.location() : this.mapping.location();
	}

	Map<String, YamlNode.Field> fields() {
		return this.mapping.fields();
	}

	Set<String> faultyFields() {
		return this.faultyFields;
	}

	String text(String field, String placeholder) {
		YamlNode node = requireValue(field, "non-empty text");
		if (node == null) {
			return placeholder;
		}
		if (node instanceof YamlNode.Scalar scalar && scalar.token() == JsonToken.VALUE_STRING
				&& !scalar.text().isBlank()) {
			return scalar.text();
		}
		boolean quotable = node instanceof YamlNode.Scalar scalar && scalar.token().isScalarValue()
				&& scalar.token() != JsonToken.VALUE_NULL;
		report(field, "expected non-empty text, but it is " + node.describe()
				+ (quotable ? "; put it in quotes" : "; replace it with text"));
		return placeholder;
	}

	long number(String field, long minimum, long maximum, long defaultValue) {
		YamlNode node = findValue(field);
		return (node != null) ? parseNumber(field, node, minimum, maximum, defaultValue) : defaultValue;
	}

	long requiredNumber(String field, long minimum, long maximum) {
		YamlNode node = requireValue(field, "a whole number from " + minimum + " to " + maximum);
		return (node != null) ? parseNumber(field, node, minimum, maximum, minimum) : minimum;
	}

	private long parseNumber(String field, YamlNode node, long minimum, long maximum, long defaultValue) {
		if (node instanceof YamlNode.Scalar scalar && scalar.token() == JsonToken.VALUE_NUMBER_INT) {
			try {
				long value = Long.parseLong(scalar.text());
				if (value >= minimum && value <= maximum) {
					return value;
				}
			}
			catch (NumberFormatException ex) {
				// Reported below, like a value that is out of range.
			}
		}
		report(field, "expected a whole number from " + minimum + " to " + maximum + ", but it is " + node.describe()
				+ "; correct it");
		return defaultValue;
	}

	double decimal(String field, double minimum, double defaultValue) {
		YamlNode node = findValue(field);
		if (node == null) {
			return defaultValue;
		}
		if (node instanceof YamlNode.Scalar scalar && scalar.token().isNumeric()) {
			try {
				double value = Double.parseDouble(scalar.text());
				if (value >= minimum && value < Double.MAX_VALUE) {
					return value;
				}
			}
			catch (NumberFormatException ex) {
				// Reported below, like a value that is out of range.
			}
		}
		String formattedMinimum = new BigDecimal(String.valueOf(minimum)).stripTrailingZeros().toPlainString();
		report(field, "expected a number of at least " + formattedMinimum + ", but it is " + node.describe()
				+ "; correct it");
		return defaultValue;
	}

	boolean flag(String field, boolean defaultValue) {
		YamlNode node = findValue(field);
		return (node != null) ? parseFlag(field, node) : defaultValue;
	}

	boolean requiredFlag(String field, String hint) {
		YamlNode node = findValue(field);
		if (node == null) {
			report(field, "expected true or false, but the field is missing; add it and set it to " + hint);
			return true;
		}
		return parseFlag(field, node);
	}

	private boolean parseFlag(String field, YamlNode node) {
		if (node instanceof YamlNode.Scalar scalar && scalar.token().isBoolean()) {
			return scalar.token() == JsonToken.VALUE_TRUE;
		}
		report(field, "expected true or false, but it is " + node.describe() + "; correct it");
		return true;
	}

	<E extends Enum<E>> E enumValue(String field, Class<E> type, @Nullable E defaultValue) {
		E[] values = type.getEnumConstants();
		String expected = "one of "
				+ Arrays.stream(values).map(FieldReader::lowerCaseName).collect(Collectors.joining(", "));
		YamlNode node = (defaultValue != null) ? findValue(field) : requireValue(field, expected);
		if (node instanceof YamlNode.Scalar scalar) {
			for (E value : values) {
				if (lowerCaseName(value).equals(scalar.text())) {
					return value;
				}
			}
		}
		if (node != null) {
			report(field, "expected " + expected + ", but it is " + node.describe() + "; correct it");
		}
		return (defaultValue != null) ? defaultValue : values[0];
	}

	static String lowerCaseName(Enum<?> value) {
		return value.name().toLowerCase(Locale.ROOT);
	}

	/**
	 * Reads an optional list of mappings.
	 * @param field name of the field
	 * @return the mappings; entries of another type are reported and skipped
	 */
	List<YamlNode.Mapping> mappings(String field) {
		YamlNode node = findValue(field);
		List<YamlNode.Mapping> mappings = new ArrayList<>();
		if (node instanceof YamlNode.Sequence sequence) {
			for (YamlNode item : sequence.items()) {
				if (item instanceof YamlNode.Mapping found) {
					mappings.add(found);
				}
				else {
					this.faultyFields.add(field);
					this.reporter.accept(item.location(), field + ": expected a mapping with named fields, but it is "
							+ item.describe() + "; write '- name: ...'");
				}
			}
		}
		else if (node != null) {
			report(field, "expected a list, but it is " + node.describe() + "; start each item with '- '");
		}
		return mappings;
	}

	/**
	 * Reports all fields of the mapping that no method of this reader has read.
	 */
	void reportUnknownFields() {
		this.mapping.fields().forEach((name, field) -> {
			if (!this.knownFields.contains(name)) {
				this.reporter.accept(field.location(), "expected one of the fields "
						+ String.join(", ", this.knownFields) + ", but it is '" + name + "'; correct or remove it");
			}
		});
	}

	void report(String field, String message) {
		this.faultyFields.add(field);
		this.reporter.accept(location(field), field + ": " + message);
	}

	private @Nullable YamlNode findValue(String field) {
		this.knownFields.add(field);
		YamlNode.Field found = this.mapping.fields().get(field);
		return (found != null) ? found.value() : null;
	}

	private @Nullable YamlNode requireValue(String field, String expected) {
		YamlNode node = findValue(field);
		if (node == null) {
			report(field, "expected " + expected + ", but the field is missing; add it");
		}
		return node;
	}

}
