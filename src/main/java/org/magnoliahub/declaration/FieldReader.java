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
 * Reads typed fields of one mapping. A faulty field is reported and yields a default, so
 * that the remaining fields and references are checked in the same run.
 */
final class FieldReader {

	private final YamlNode.Mapping mapping;

	private final BiConsumer<SourceLocation, String> faults;

	private final Set<String> known = new TreeSet<>();

	private final Set<String> faulty = new TreeSet<>();

	private FieldReader(YamlNode.Mapping mapping, BiConsumer<SourceLocation, String> faults) {
		this.mapping = mapping;
		this.faults = faults;
	}

	static FieldReader of(YamlNode.Mapping mapping, BiConsumer<SourceLocation, String> faults) {
		return new FieldReader(mapping, faults);
	}

	SourceLocation location(String field) {
		YamlNode.Field found = this.mapping.fields().get(field);
		return (found != null) ? found.location() : this.mapping.location();
	}

	Map<String, YamlNode.Field> fields() {
		return this.mapping.fields();
	}

	Set<String> faulty() {
		return this.faulty;
	}

	String text(String field, String placeholder) {
		YamlNode node = required(field, "a text");
		if (node == null) {
			return placeholder;
		}
		if (node instanceof YamlNode.Scalar scalar && scalar.token() == JsonToken.VALUE_STRING
				&& !scalar.text().isBlank()) {
			return scalar.text();
		}
		boolean quotable = node instanceof YamlNode.Scalar scalar && scalar.token().isScalarValue()
				&& scalar.token() != JsonToken.VALUE_NULL;
		fault(field,
				"expected a text, but it is " + node.describe() + (quotable ? "; put it in quotes" : "; write a text"));
		return placeholder;
	}

	long number(String field, long minimum, long maximum, long defaultValue) {
		YamlNode node = optional(field);
		return (node != null) ? parse(field, node, minimum, maximum, defaultValue) : defaultValue;
	}

	long requiredNumber(String field, long minimum, long maximum) {
		YamlNode node = required(field, "a whole number from " + minimum + " to " + maximum);
		return (node != null) ? parse(field, node, minimum, maximum, minimum) : minimum;
	}

	private long parse(String field, YamlNode node, long minimum, long maximum, long defaultValue) {
		if (node instanceof YamlNode.Scalar scalar && scalar.token() == JsonToken.VALUE_NUMBER_INT) {
			try {
				long value = Long.parseLong(scalar.text());
				if (value >= minimum && value <= maximum) {
					return value;
				}
			}
			catch (NumberFormatException ex) {
				// Reported below together with values out of range.
			}
		}
		fault(field, "expected a whole number from " + minimum + " to " + maximum + ", but it is " + node.describe()
				+ "; correct it");
		return defaultValue;
	}

	double decimal(String field, double minimum, double defaultValue) {
		YamlNode node = optional(field);
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
				// Reported below together with values out of range.
			}
		}
		String least = new BigDecimal(String.valueOf(minimum)).stripTrailingZeros().toPlainString();
		fault(field, "expected a number of at least " + least + ", but it is " + node.describe() + "; correct it");
		return defaultValue;
	}

	boolean flag(String field, boolean defaultValue) {
		YamlNode node = optional(field);
		return (node != null) ? parseFlag(field, node) : defaultValue;
	}

	boolean requiredFlag(String field, String reason) {
		YamlNode node = optional(field);
		if (node == null) {
			fault(field, "expected true or false, but the field is missing; add it, " + reason);
			return true;
		}
		return parseFlag(field, node);
	}

	private boolean parseFlag(String field, YamlNode node) {
		if (node instanceof YamlNode.Scalar scalar && scalar.token().isBoolean()) {
			return scalar.token() == JsonToken.VALUE_TRUE;
		}
		fault(field, "expected true or false, but it is " + node.describe() + "; correct it");
		return true;
	}

	<E extends Enum<E>> E choice(String field, Class<E> type, @Nullable E defaultValue) {
		E[] values = type.getEnumConstants();
		String expected = "one of " + Arrays.stream(values).map(FieldReader::word).collect(Collectors.joining(", "));
		YamlNode node = (defaultValue != null) ? optional(field) : required(field, expected);
		if (node instanceof YamlNode.Scalar scalar) {
			for (E value : values) {
				if (word(value).equals(scalar.text())) {
					return value;
				}
			}
		}
		if (node != null) {
			fault(field, "expected " + expected + ", but it is " + node.describe() + "; correct it");
		}
		return (defaultValue != null) ? defaultValue : values[0];
	}

	static String word(Enum<?> value) {
		return value.name().toLowerCase(Locale.ROOT);
	}

	/**
	 * Reads a list of mappings.
	 * @param field the field
	 * @return the mappings; items of another form are reported and left out
	 */
	List<YamlNode.Mapping> mappings(String field) {
		YamlNode node = optional(field);
		List<YamlNode.Mapping> mappings = new ArrayList<>();
		if (node instanceof YamlNode.Sequence sequence) {
			for (YamlNode item : sequence.items()) {
				if (item instanceof YamlNode.Mapping found) {
					mappings.add(found);
				}
				else {
					this.faulty.add(field);
					this.faults.accept(item.location(), field + ": expected a mapping with named fields, but it is "
							+ item.describe() + "; write '- name: ...'");
				}
			}
		}
		else if (node != null) {
			fault(field, "expected a list, but it is " + node.describe() + "; start each item with '- '");
		}
		return mappings;
	}

	/**
	 * Reports fields that were not asked for.
	 */
	void checkUnknown() {
		this.mapping.fields().forEach((name, field) -> {
			if (!this.known.contains(name)) {
				this.faults.accept(field.location(), "expected one of the fields " + String.join(", ", this.known)
						+ ", but it is '" + name + "'; correct or remove it");
			}
		});
	}

	void fault(String field, String message) {
		this.faulty.add(field);
		this.faults.accept(location(field), field + ": " + message);
	}

	private @Nullable YamlNode optional(String field) {
		this.known.add(field);
		YamlNode.Field found = this.mapping.fields().get(field);
		return (found != null) ? found.value() : null;
	}

	private @Nullable YamlNode required(String field, String expected) {
		YamlNode node = optional(field);
		if (node == null) {
			fault(field, "expected " + expected + ", but the field is missing; add it");
		}
		return node;
	}

}
