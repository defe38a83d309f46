package org.magnoliahub.declaration;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLParser;

/**
 * Parses a YAML file into nodes with source locations. Duplicate fields, aliases and
 * multiple documents are rejected, because YAML parsers handle them differently.
 */
final class YamlReader {

	private static final YAMLFactory FACTORY = new YAMLFactory();

	private final String file;

	private final YAMLParser parser;

	private final List<DeclarationFault> faults;

	private YamlReader(String file, YAMLParser parser, List<DeclarationFault> faults) {
		this.file = file;
		this.parser = parser;
		this.faults = faults;
	}

	/**
	 * Parses the content of a file.
	 * @param file the file name for source locations
	 * @param content the content of the file
	 * @param faults the list to which faults are added
	 * @return the root node, or empty if the file has no content or is not valid YAML
	 * @throws IOException if the content cannot be read
	 */
	static Optional<YamlNode> read(String file, String content, List<DeclarationFault> faults) throws IOException {
		try (YAMLParser parser = FACTORY.createParser(content)) {
			YamlReader reader = new YamlReader(file, parser, faults);
			if (parser.nextToken() == null) {
				return Optional.empty();
			}
			YamlNode root = reader.readValue();
			if (parser.nextToken() != null) {
				reader.report(
						"expected one YAML document per file, but there is more than one; move the others to separate files");
			}
			return Optional.of(root);
		}
		catch (JsonProcessingException ex) {
			int line = (ex.getLocation() != null) ? Math.max(1, ex.getLocation().getLineNr()) : 1;
			String problem = ex.getOriginalMessage().lines().findFirst().orElse("syntax error");
			faults.add(new DeclarationFault(new SourceLocation(file, line),
					"expected valid YAML: " + problem + "; correct the syntax"));
			return Optional.empty();
		}
	}

	private YamlNode readValue() throws IOException {
		SourceLocation location = currentLocation();
		if (this.parser.isCurrentAlias()) {
			report("expected a literal value, but it is an alias; replace it with the value");
		}
		JsonToken token = this.parser.currentToken();
		if (token == JsonToken.START_OBJECT) {
			return readMapping(location);
		}
		if (token == JsonToken.START_ARRAY) {
			List<YamlNode> items = new ArrayList<>();
			while (this.parser.nextToken() != JsonToken.END_ARRAY) {
				items.add(readValue());
			}
			return new YamlNode.Sequence(location, items);
		}
		return new YamlNode.Scalar(location, token, this.parser.getText());
	}

	private YamlNode readMapping(SourceLocation location) throws IOException {
		Map<String, YamlNode.Field> fields = new LinkedHashMap<>();
		while (this.parser.nextToken() != JsonToken.END_OBJECT) {
			String name = this.parser.currentName();
			SourceLocation fieldLocation = currentLocation();
			this.parser.nextToken();
			YamlNode.Field previous = fields.putIfAbsent(name, new YamlNode.Field(fieldLocation, readValue()));
			if (previous != null) {
				this.faults.add(new DeclarationFault(fieldLocation, "expected unique fields, but '" + name
						+ "' is already set at line " + previous.location().line() + "; remove one of them"));
			}
		}
		return new YamlNode.Mapping(location, fields);
	}

	private SourceLocation currentLocation() {
		return new SourceLocation(this.file, Math.max(1, this.parser.currentTokenLocation().getLineNr()));
	}

	private void report(String message) {
		this.faults.add(new DeclarationFault(currentLocation(), message));
	}

}
