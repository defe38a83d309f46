package org.magnoliahub.declaration;

import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Function;
import java.util.stream.Stream;

import org.magnoliahub.configuration.ConfigurationFault;
import org.magnoliahub.configuration.ConfigurationValidator;
import org.magnoliahub.configuration.ItemKind;
import org.magnoliahub.model.AvailabilityZone;
import org.magnoliahub.model.Configuration;
import org.magnoliahub.model.Endpoint;
import org.magnoliahub.model.Objective;
import org.magnoliahub.model.PipelineDefinition;
import org.magnoliahub.model.RequestClass;
import org.magnoliahub.model.StageDefinition;
import org.magnoliahub.model.StageType;
import org.magnoliahub.model.Workspace;

/**
 * Reads and validates the YAML declarations in a directory. Items can be distributed over
 * any number of files. Reading continues after a fault, so that one run reports all of
 * them.
 */
public final class DeclarationReader {

	private static final double MINIMUM_PRICE_FACTOR = 0.001;

	/** Priority of a request class that does not declare one. */
	public static final int DEFAULT_PRIORITY = 5;

	/** Weight of a workspace that does not declare one. */
	public static final int DEFAULT_WEIGHT = 1;

	/** Maximum concurrent requests of a workspace that does not declare a limit. */
	public static final int DEFAULT_MAXIMUM_CONCURRENT_REQUESTS = 100;

	private static final int MAXIMUM_FILES = 1_000;

	private static final long MAXIMUM_DEADLINE_MILLIS = 3_600_000;

	/** Upper bound of a workspace's weight and of its concurrent requests. */
	private static final int MAXIMUM_WORKSPACE_VALUE = 1_000_000;

	/** Replaces a missing or invalid text, so that the rest of the item is checked. */
	private static final String PLACEHOLDER = "missing";

	private final List<DeclarationFault> faults = new ArrayList<>();

	private final Map<String, SourceLocation> locations = new HashMap<>();

	private final Set<String> faultyFields = new HashSet<>();

	private final List<PipelineDefinition> pipelines = new ArrayList<>();

	private final List<RequestClass> requestClasses = new ArrayList<>();

	private final List<Endpoint> endpoints = new ArrayList<>();

	private final List<Workspace> workspaces = new ArrayList<>();

	/** Whether items may be missing because of invalid YAML, names or stage lists. */
	private boolean incomplete;

	private DeclarationReader() {
	}

	/**
	 * Reads all {@code *.yaml} and {@code *.yml} files in a directory and its
	 * subdirectories.
	 * @param directory the directory
	 * @return the declared items and all faults
	 * @throws IOException if the directory or a file cannot be read, or if there are too
	 * many files
	 */
	public static Declarations read(Path directory) throws IOException {
		DeclarationReader reader = new DeclarationReader();
		List<Path> files = findFiles(directory);
		for (Path file : files) {
			reader.readFile(directory.relativize(file).toString(), file);
		}
		return reader.validate(files.size());
	}

	private static List<Path> findFiles(Path directory) throws IOException {
		try (Stream<Path> paths = Files.walk(directory)) {
			List<Path> files = paths.filter(Files::isRegularFile)
				.filter((path) -> path.toString().endsWith(".yaml") || path.toString().endsWith(".yml"))
				.sorted()
				.limit(MAXIMUM_FILES + 1)
				.toList();
			if (files.size() > MAXIMUM_FILES) {
				throw new IOException("expected at most " + MAXIMUM_FILES + " YAML files below " + directory);
			}
			return files;
		}
	}

	private void readFile(String name, Path file) throws IOException {
		String content;
		try {
			content = Files.readString(file);
		}
		catch (CharacterCodingException ex) {
			report(new SourceLocation(name, 1),
					"expected UTF-8 text, but the file contains invalid bytes; convert it to UTF-8");
			return;
		}
		Optional<YamlNode> root = YamlReader.read(name, content, this.faults);
		if (root.isEmpty()) {
			this.incomplete |= !this.faults.isEmpty();
			return;
		}
		if (!(root.get() instanceof YamlNode.Mapping mapping)) {
			report(root.get().location(),
					"expected a mapping with the fields pipelines, request-classes, endpoints"
							+ " and workspaces, but it is " + root.get().describe()
							+ "; use these fields at the top level of the file");
			return;
		}
		FieldReader reader = FieldReader.of(mapping, this::report);
		reader.mappings("pipelines").forEach(this::readPipeline);
		reader.mappings("request-classes").forEach(this::readRequestClass);
		reader.mappings("endpoints").forEach(this::readEndpoint);
		reader.mappings("workspaces").forEach(this::readWorkspace);
		reader.reportUnknownFields();
	}

	private void readPipeline(YamlNode.Mapping mapping) {
		Item item = createItem(ItemKind.PIPELINE, mapping);
		List<StageDefinition> stages = new ArrayList<>();
		for (YamlNode.Mapping stage : item.reader().mappings("stages")) {
			stages.add(readStage(item, stage, stages.size()));
		}
		if (stages.isEmpty() || stages.size() > PipelineDefinition.MAXIMUM_STAGES) {
			item.reader()
				.report("stages", "expected 1 to " + PipelineDefinition.MAXIMUM_STAGES + " stages, but there are "
						+ stages.size() + "; correct the list");
			this.incomplete = true;
		}
		item.reader().reportUnknownFields();
		addItem(item, this.pipelines, () -> new PipelineDefinition(item.name(), stages));
	}

	private StageDefinition readStage(Item pipeline, YamlNode.Mapping mapping, int index) {
		String prefix = "stages[" + index + "].";
		FieldReader reader = FieldReader.of(mapping,
				(location, message) -> pipeline.report(location, prefix + message));
		String name = reader.text("name", "stage-" + index);
		StageType type = reader.enumValue("type", StageType.class, null);
		// Service stages have no default, because a wrong one could run a call twice.
		// Model stages have no side effects.
		boolean idempotent = (type == StageType.SERVICE)
				? reader.requiredFlag("idempotent", "false if a call must not run twice")
				: reader.flag("idempotent", true);
		String path = reader.text("path", "/");
		if (!path.startsWith("/")) {
			reader.report("path", "expected an HTTP path that starts with /, but it is '" + path + "'; correct it");
			path = "/";
		}
		StageDefinition stage = new StageDefinition(name, type, reader.text("pool", PLACEHOLDER), idempotent, path,
				reader.decimal("price-per-second", 0, 0));
		reader.reportUnknownFields();
		recordFields(pipeline, reader, prefix);
		return stage;
	}

	private void readRequestClass(YamlNode.Mapping mapping) {
		Item item = createItem(ItemKind.REQUEST_CLASS, mapping);
		FieldReader reader = item.reader();
		String pipeline = reader.text("pipeline", PLACEHOLDER);
		Duration deadline = Duration.ofMillis(reader.requiredNumber("deadline-ms", 1, MAXIMUM_DEADLINE_MILLIS));
		Objective objective = reader.enumValue("objective", Objective.class, Objective.ATTAINMENT);
		int priority = (int) reader.number("priority", 0, 9, DEFAULT_PRIORITY);
		reader.reportUnknownFields();
		addItem(item, this.requestClasses,
				() -> new RequestClass(item.name(), pipeline, deadline, objective, priority));
	}

	private void readEndpoint(YamlNode.Mapping mapping) {
		Item item = createItem(ItemKind.ENDPOINT, mapping);
		FieldReader reader = item.reader();
		String pool = reader.text("pool", PLACEHOLDER);
		AvailabilityZone zone = new AvailabilityZone(reader.text("zone", PLACEHOLDER));
		String agent = reader.text("agent", PLACEHOLDER);
		boolean authenticatesCommands = reader.flag("authenticates-commands", false);
		double priceFactor = reader.decimal("price-factor", MINIMUM_PRICE_FACTOR, 1);
		boolean draining = reader.flag("draining", false);
		reader.reportUnknownFields();
		addItem(item, this.endpoints,
				() -> new Endpoint(item.name(), pool, zone, agent, authenticatesCommands, priceFactor, draining));
	}

	private void readWorkspace(YamlNode.Mapping mapping) {
		Item item = createItem(ItemKind.WORKSPACE, mapping);
		int weight = (int) item.reader().number("weight", 1, MAXIMUM_WORKSPACE_VALUE, DEFAULT_WEIGHT);
		int limit = (int) item.reader()
			.number("maximum-concurrent-requests", 1, MAXIMUM_WORKSPACE_VALUE, DEFAULT_MAXIMUM_CONCURRENT_REQUESTS);
		item.reader().reportUnknownFields();
		addItem(item, this.workspaces, () -> new Workspace(item.name(), weight, limit));
	}

	private Item createItem(ItemKind kind, YamlNode.Mapping mapping) {
		YamlNode.Field field = mapping.fields().get("name");
		String label = (field != null && field.value() instanceof YamlNode.Scalar scalar)
				? kind.label() + " " + scalar.text() : kind.label();
		BiConsumer<SourceLocation, String> itemReporter = (location, message) -> report(location,
				label + ", " + message);
		FieldReader reader = FieldReader.of(mapping, itemReporter);
		return new Item(kind, reader.text("name", PLACEHOLDER), mapping.location(), reader, itemReporter);
	}

	private <T> void addItem(Item item, List<T> items, java.util.function.Supplier<T> factory) {
		if (item.reader().faultyFields().contains("name")) {
			this.incomplete = true;
			return;
		}
		SourceLocation previous = this.locations.putIfAbsent(item.key(""), item.location());
		if (previous != null) {
			item.report(item.location(), "expected a unique name, but it is also declared at " + previous
					+ "; rename or remove one of them");
			return;
		}
		recordFields(item, item.reader(), "");
		if (!item.reader().faultyFields().contains("stages")) {
			items.add(factory.get());
		}
	}

	private void recordFields(Item item, FieldReader reader, String prefix) {
		reader.fields()
			.keySet()
			.forEach((field) -> this.locations.putIfAbsent(item.key(prefix + field), reader.location(field)));
		reader.faultyFields().forEach((field) -> this.faultyFields.add(item.key(prefix + field)));
	}

	private void report(SourceLocation location, String message) {
		this.faults.add(new DeclarationFault(location, message));
	}

	private Declarations validate(int fileCount) {
		Configuration configuration = Configuration.of(0, this.pipelines, this.requestClasses, this.endpoints,
				this.workspaces);
		ConfigurationValidator.validate(configuration)
			.stream()
			.filter((fault) -> !isConsequence(fault))
			.forEach((fault) -> report(findLocation(fault), fault.toString()));
		this.faults.sort(Comparator.comparing((DeclarationFault fault) -> fault.location().file())
			.thenComparing((fault) -> fault.location().line()));
		return new Declarations(configuration, this.faults, fileCount);
	}

	/**
	 * Checks whether a fault is a consequence of one that was already reported.
	 * @param fault the fault found by the validator
	 * @return whether its field was reported as faulty, or it is an unresolved reference
	 * while items may be missing
	 */
	private boolean isConsequence(ConfigurationFault fault) {
		boolean isReference = fault.field().equals("pipeline") || fault.field().endsWith(".pool");
		return this.faultyFields.contains(key(fault, fault.field())) || (this.incomplete && isReference);
	}

	private SourceLocation findLocation(ConfigurationFault fault) {
		Function<String, Optional<SourceLocation>> find = (field) -> Optional
			.ofNullable(this.locations.get(key(fault, field)));
		return find.apply(fault.field()).or(() -> find.apply("")).orElse(new SourceLocation("", 1));
	}

	private static String key(ConfigurationFault fault, String field) {
		return fault.kind() + "/" + fault.name() + "#" + field;
	}

	private record Item(ItemKind kind, String name, SourceLocation location, FieldReader reader,
			BiConsumer<SourceLocation, String> reporter) {

		String key(String field) {
			return DeclarationReader.key(new ConfigurationFault(this.kind, this.name, field, ""), field);
		}

		void report(SourceLocation location, String message) {
			this.reporter.accept(location, message);
		}

	}

}
