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
 * Reads one YAML file into nodes with locations. Repeated fields, aliases and further
 * documents are faults, because parsers differ in what they make of them.
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
	 * Reads a file.
	 * @param file the file's name for locations
	 * @param content its content
	 * @param faults receives faults
	 * @return the root, empty if the file has no content or is not YAML
	 * @throws IOException if the content cannot be read
	 */
	static Optional<YamlNode> read(String file, String content, List<DeclarationFault> faults) throws IOException {
		try (YAMLParser parser = FACTORY.createParser(content)) {
			YamlReader reader = new YamlReader(file, parser, faults);
			if (parser.nextToken() == null) {
				return Optional.empty();
			}
			YamlNode root = reader.value();
			if (parser.nextToken() != null) {
				reader.fault("expected one YAML document per file, but there is a second one; move it to another file");
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

	private YamlNode value() throws IOException {
		SourceLocation location = location();
		if (this.parser.isCurrentAlias()) {
			fault("expected a value, but it is an alias; repeat the value");
		}
		JsonToken token = this.parser.currentToken();
		if (token == JsonToken.START_OBJECT) {
			return mapping(location);
		}
		if (token == JsonToken.START_ARRAY) {
			List<YamlNode> items = new ArrayList<>();
			while (this.parser.nextToken() != JsonToken.END_ARRAY) {
				items.add(value());
			}
			return new YamlNode.Sequence(location, items);
		}
		return new YamlNode.Scalar(location, token, this.parser.getText());
	}

	private YamlNode mapping(SourceLocation location) throws IOException {
		Map<String, YamlNode.Field> fields = new LinkedHashMap<>();
		while (this.parser.nextToken() != JsonToken.END_OBJECT) {
			String name = this.parser.currentName();
			SourceLocation fieldLocation = location();
			this.parser.nextToken();
			YamlNode.Field previous = fields.putIfAbsent(name, new YamlNode.Field(fieldLocation, value()));
			if (previous != null) {
				this.faults.add(new DeclarationFault(fieldLocation, "expected each field once, but '" + name
						+ "' is also at line " + previous.location().line() + "; remove one of them"));
			}
		}
		return new YamlNode.Mapping(location, fields);
	}

	private SourceLocation location() {
		return new SourceLocation(this.file, Math.max(1, this.parser.currentTokenLocation().getLineNr()));
	}

	private void fault(String message) {
		this.faults.add(new DeclarationFault(location(), message));
	}

}
