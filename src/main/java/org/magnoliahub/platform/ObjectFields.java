package org.magnoliahub.platform;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import org.magnoliahub.configurationcheck.Field;
import org.magnoliahub.configurationcheck.Finding;
import org.magnoliahub.configurationcheck.JsonPath;

/**
 * Reads the fields of a JSON object and reports types and ranges that gateways do not
 * expect. A field that is absent or null, or that was reported, has its default. Messages
 * do not contain texts, or numbers where texts are expected: they may be API keys.
 */
final class ObjectFields {

	private final JsonNode node;

	private final JsonPath path;

	private final Consumer<Finding> findings;

	private final Set<String> known = new HashSet<>();

	private ObjectFields(JsonNode node, JsonPath path, Consumer<Finding> findings) {
		this.node = node;
		this.path = path;
		this.findings = findings;
	}

	static ObjectFields of(JsonNode node, JsonPath path, Consumer<Finding> findings) {
		if (!node.isObject() && isPresent(node)) {
			findings.accept(Finding.error(path, "expected an object, but it is " + describe(node)));
		}
		return new ObjectFields(node, path, findings);
	}

	JsonPath path(String field) {
		return this.path.field(field);
	}

	/**
	 * Returns a nested object.
	 * @param field name of the field
	 * @return its fields, none if it is absent
	 */
	ObjectFields object(String field) {
		return of(find(field), path(field), this.findings);
	}

	Field<String> requiredText(String field) {
		require(field, "a text that is not blank");
		return text(field);
	}

	Field<String> text(String field) {
		return text(find(field), path(field));
	}

	private Field<String> text(JsonNode value, JsonPath place) {
		if (value.isTextual() && !value.asText().isBlank()) {
			return new Field<>(place, true, value.asText());
		}
		if (isPresent(value)) {
			this.findings
				.accept(Finding.error(place, "expected a text that is not blank, but it is " + describe(value)));
		}
		return new Field<>(place, false, "");
	}

	Field<Long> requiredWhole(String field, long minimum, long maximum) {
		require(field, "a whole number");
		return whole(field, minimum, maximum, minimum);
	}

	Field<Long> whole(String field, long minimum, long maximum, long fallback) {
		return whole(find(field), path(field), minimum, maximum, fallback);
	}

	private Field<Long> whole(JsonNode value, JsonPath place, long minimum, long maximum, long fallback) {
		boolean whole = value.isNumber() && value.canConvertToLong() && value.asDouble() == value.asLong();
		if (whole && value.asLong() >= minimum && value.asLong() <= maximum) {
			return new Field<>(place, true, value.asLong());
		}
		if (isPresent(value)) {
			this.findings.accept(Finding.error(place, "expected a whole number from " + minimum + " to " + maximum
					+ ", but it is " + describeNumber(value)));
		}
		return new Field<>(place, false, fallback);
	}

	Field<Double> decimal(String field, double fallback) {
		JsonNode value = find(field);
		if (value.isNumber() && value.asDouble() >= 0 && Double.isFinite(value.asDouble())) {
			return new Field<>(path(field), true, value.asDouble());
		}
		if (isPresent(value)) {
			report(field, "expected a number of at least 0, but it is " + describeNumber(value));
		}
		return new Field<>(path(field), false, fallback);
	}

	Field<Boolean> flag(String field) {
		JsonNode value = find(field);
		if (isPresent(value) && !value.isBoolean()) {
			report(field, "expected true or false, but it is " + describe(value));
		}
		return new Field<>(path(field), value.isBoolean(), value.isBoolean() && value.asBoolean());
	}

	Field<List<String>> texts(String field) {
		Field<List<Field<String>>> texts = list(field, this::text);
		return new Field<>(texts.path(), texts.present(),
				texts.value().stream().filter(Field::present).map(Field::value).toList());
	}

	Field<List<Field<String>>> textFields(String field) {
		return list(field, this::text);
	}

	Field<List<Field<Long>>> indexes(String field) {
		return list(field, (value, place) -> whole(value, place, 0, Integer.MAX_VALUE, 0));
	}

	<T> Field<List<T>> list(String field, ElementReader<T> reader) {
		JsonNode value = find(field);
		if (isPresent(value) && !value.isArray()) {
			report(field, "expected a list, but it is " + describe(value));
		}
		List<T> elements = new ArrayList<>();
		for (int index = 0; value.isArray() && index < value.size(); index++) {
			elements.add(element(value.get(index), path(field).element(index), reader));
		}
		return new Field<>(path(field), value.isArray(), List.copyOf(elements));
	}

	private <T> T element(JsonNode element, JsonPath place, ElementReader<T> reader) {
		if (element.isNull()) {
			this.findings.accept(Finding.error(place, "expected a value, but it is null"));
		}
		return reader.read(element, place);
	}

	/**
	 * Returns the value of a field that is read elsewhere.
	 * @param field name of the field
	 * @return the value, a missing node if it is absent
	 */
	JsonNode find(String field) {
		this.known.add(field);
		return this.node.path(field);
	}

	/**
	 * Reports the fields that were not read.
	 */
	void reportUnknown() {
		this.node.fieldNames().forEachRemaining((name) -> {
			if (!this.known.contains(name)) {
				this.findings
					.accept(Finding.warning(path(name), "the field is unknown; gateways of this version ignore it"));
			}
		});
	}

	/**
	 * Reports a field that is absent, unless the object itself was reported.
	 * @param field name of the field
	 * @param expected what gateways expect
	 */
	void require(String field, String expected) {
		if (this.node.isObject() && !isPresent(find(field))) {
			report(field, "expected " + expected + ", but the field is absent");
		}
	}

	void report(String field, String message) {
		this.findings.accept(Finding.error(path(field), message));
	}

	private static boolean isPresent(JsonNode value) {
		return !value.isMissingNode() && !value.isNull();
	}

	private static String describeNumber(JsonNode value) {
		return value.isNumber() ? Finding.quote(value.asText()) : describe(value);
	}

	private static String describe(JsonNode value) {
		return switch (value.getNodeType()) {
			case ARRAY -> "a list";
			case OBJECT -> "an object";
			case NUMBER -> "a number";
			case STRING -> value.asText().isBlank() ? "a blank text" : "a text";
			default -> value.asText();
		};
	}

	/**
	 * Reads an element of a list.
	 *
	 * @param <T> type of the result
	 */
	@FunctionalInterface
	interface ElementReader<T> {

		/**
		 * Reads the element.
		 * @param element the element
		 * @param path its place
		 * @return the result
		 */
		T read(JsonNode element, JsonPath path);

	}

}
