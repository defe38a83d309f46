package org.magnoliahub.declaration;

import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonToken;

/**
 * A node of a parsed YAML document with its source location.
 */
sealed interface YamlNode {

	SourceLocation location();

	/**
	 * Describes the value for error messages.
	 * @return the description, which follows "but it is"
	 */
	String describe();

	record Mapping(SourceLocation location, Map<String, Field> fields) implements YamlNode {

		@Override
		public String describe() {
			return "a mapping";
		}

	}

	record Sequence(SourceLocation location, List<YamlNode> items) implements YamlNode {

		@Override
		public String describe() {
			return "a list";
		}

	}

	record Scalar(SourceLocation location, JsonToken token, String text) implements YamlNode {

		@Override
		public String describe() {
			return switch (this.token) {
				case VALUE_NULL -> "empty";
				case VALUE_STRING -> "the text '" + this.text + "'";
				default -> this.text;
			};
		}

	}

	/**
	 * A field of a mapping.
	 *
	 * @param location location of the field name
	 * @param value the field's value
	 */
	record Field(SourceLocation location, YamlNode value) {
	}

}
