package org.magnoliahub.declaration;

import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonToken;

/**
 * A YAML value with its location.
 */
sealed interface YamlNode {

	SourceLocation location();

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
	 * @param location where its name is
	 * @param value its value
	 */
	record Field(SourceLocation location, YamlNode value) {
	}

}
