package org.magnoliahub.configuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

import org.magnoliahub.model.Configuration;
import org.magnoliahub.model.Endpoint;
import org.magnoliahub.model.PipelineDefinition;
import org.magnoliahub.model.RequestClass;
import org.magnoliahub.model.StageDefinition;
import org.magnoliahub.model.StageType;

/**
 * Validates names, references between items and rules that involve several items. All
 * faults are reported, ordered by kind and name.
 */
public final class ConfigurationValidator {

	/**
	 * Minimum deadline per stage. A stage takes two messages between availability zones
	 * and a call to the back end next to the agent.
	 */
	static final Duration MINIMUM_DEADLINE_PER_STAGE = Duration.ofMillis(10);

	/**
	 * Maximum deadline of a request class with a non-idempotent stage. Agents keep ledger
	 * entries for 10 minutes; the outcome of a longer call could no longer be looked up
	 * after a failure of its gateway.
	 */
	static final Duration MAXIMUM_NON_IDEMPOTENT_DEADLINE = Duration.ofMinutes(10);

	/** Pattern of names that are safe in URL paths and row keys. */
	private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");

	private static final Pattern ADDRESS = Pattern
		.compile("(\\[[0-9A-Fa-f:.]{2,45}]|[A-Za-z0-9.-]{1,253}):([0-9]{1,5})");

	private static final int MAXIMUM_PORT = 65_535;

	/** Limits the size of an item in messages between processes. */
	private static final int MAXIMUM_PATH_LENGTH = 256;

	private final Configuration configuration;

	private final Set<String> pools;

	private final List<ConfigurationFault> faults = new ArrayList<>();

	private ConfigurationValidator(Configuration configuration) {
		this.configuration = configuration;
		this.pools = configuration.endpoints().values().stream().map(Endpoint::pool).collect(Collectors.toSet());
	}

	/**
	 * Validates a configuration.
	 * @param configuration the configuration
	 * @return all faults, empty if it is valid
	 */
	public static List<ConfigurationFault> validate(Configuration configuration) {
		ConfigurationValidator validator = new ConfigurationValidator(configuration);
		new TreeMap<>(configuration.pipelines()).values().forEach(validator::checkPipeline);
		new TreeMap<>(configuration.requestClasses()).values().forEach(validator::checkRequestClass);
		validator.checkEndpoints();
		new TreeMap<>(configuration.workspaces()).keySet()
			.forEach((name) -> validator.checkName(ItemKind.WORKSPACE, name, "", name));
		return List.copyOf(validator.faults);
	}

	/**
	 * Validates a change and the configuration that results from it.
	 * @param base the configuration that the change is based on
	 * @param change the change
	 * @return all faults, empty if the change is valid
	 */
	public static List<ConfigurationFault> validate(Configuration base, ConfigurationChange change) {
		List<ConfigurationFault> faults = new ArrayList<>();
		Set<String> changed = new HashSet<>();
		for (ItemChange item : change.items()) {
			if (!changed.add(item.kind() + "/" + item.name())) {
				faults.add(new ConfigurationFault(item.kind(), item.name(), "",
						"expected one change per item, but the change names it twice; keep one of them"));
			}
			if (item instanceof ItemChange.Remove && !contains(base, item)) {
				faults.add(new ConfigurationFault(item.kind(), item.name(), "",
						"cannot be removed because version " + base.version() + " does not contain it; plan again"));
			}
		}
		faults.addAll(validate(ConfigurationEdits.apply(base, change.version(), change.items())));
		return List.copyOf(faults);
	}

	private static boolean contains(Configuration configuration, ItemChange item) {
		return switch (item.kind()) {
			case PIPELINE -> configuration.pipelines().containsKey(item.name());
			case REQUEST_CLASS -> configuration.requestClasses().containsKey(item.name());
			case ENDPOINT -> configuration.endpoints().containsKey(item.name());
			case WORKSPACE -> configuration.workspaces().containsKey(item.name());
		};
	}

	private void checkPipeline(PipelineDefinition pipeline) {
		checkName(ItemKind.PIPELINE, pipeline.name(), "", pipeline.name());
		Set<String> names = new HashSet<>();
		for (int index = 0; index < pipeline.stages().size(); index++) {
			StageDefinition stage = pipeline.stages().get(index);
			String path = "stages[" + index + "].";
			checkName(ItemKind.PIPELINE, pipeline.name(), path + "name", stage.name());
			if (!names.add(stage.name())) {
				addFault(ItemKind.PIPELINE, pipeline.name(), path + "name",
						"expected distinct stage names, but '" + stage.name() + "' occurs twice; rename one stage");
			}
			if (!this.pools.contains(stage.pool())) {
				addFault(ItemKind.PIPELINE, pipeline.name(), path + "pool",
						"expected a pool with at least one endpoint, but no endpoint is in pool '" + stage.pool()
								+ "'; declare one or correct the name");
			}
			if (stage.path().length() > MAXIMUM_PATH_LENGTH) {
				addFault(ItemKind.PIPELINE, pipeline.name(), path + "path", "expected at most " + MAXIMUM_PATH_LENGTH
						+ " characters, but it has " + stage.path().length() + "; shorten it");
			}
			checkIdempotence(pipeline, index, path);
		}
	}

	private void checkIdempotence(PipelineDefinition pipeline, int index, String path) {
		StageDefinition stage = pipeline.stages().get(index);
		if (stage.idempotent()) {
			return;
		}
		if (stage.type() != StageType.SERVICE) {
			addFault(ItemKind.PIPELINE, pipeline.name(), path + "idempotent",
					"expected a non-idempotent stage to be a service call, but stage '" + stage.name() + "' is of type "
							+ stage.type().name().toLowerCase(java.util.Locale.ROOT)
							+ "; declare it idempotent or move the effect into a service stage");
		}
		// If a later stage failed, the effect would remain without a complete response.
		if (index != pipeline.stages().size() - 1) {
			addFault(ItemKind.PIPELINE, pipeline.name(), path + "idempotent",
					"expected a non-idempotent stage to be the last one, but stage '" + stage.name()
							+ "' is followed by others; move it to the end");
		}
	}

	private void checkRequestClass(RequestClass requestClass) {
		checkName(ItemKind.REQUEST_CLASS, requestClass.name(), "", requestClass.name());
		PipelineDefinition pipeline = this.configuration.pipelines().get(requestClass.pipeline());
		if (pipeline == null) {
			addFault(ItemKind.REQUEST_CLASS, requestClass.name(), "pipeline", "expected a declared pipeline, but '"
					+ requestClass.pipeline() + "' is not declared; declare it or correct the name");
			return;
		}
		Duration minimum = MINIMUM_DEADLINE_PER_STAGE.multipliedBy(pipeline.stages().size());
		if (requestClass.deadline().compareTo(minimum) < 0) {
			addFault(ItemKind.REQUEST_CLASS, requestClass.name(), "deadline-ms",
					"expected at least " + minimum.toMillis() + " ms for " + pipeline.stages().size()
							+ " stages, but it is " + requestClass.deadline().toMillis() + " ms; raise it");
		}
		if (!pipeline.isIdempotent() && requestClass.deadline().compareTo(MAXIMUM_NON_IDEMPOTENT_DEADLINE) > 0) {
			addFault(ItemKind.REQUEST_CLASS, requestClass.name(), "deadline-ms",
					"expected at most " + MAXIMUM_NON_IDEMPOTENT_DEADLINE.toMillis()
							+ " ms because the pipeline has a non-idempotent stage, but it is "
							+ requestClass.deadline().toMillis() + " ms; lower it");
		}
	}

	private void checkEndpoints() {
		Map<String, String> endpointsByAddress = new HashMap<>();
		for (Endpoint endpoint : new TreeMap<>(this.configuration.endpoints()).values()) {
			checkName(ItemKind.ENDPOINT, endpoint.name(), "", endpoint.name());
			checkName(ItemKind.ENDPOINT, endpoint.name(), "pool", endpoint.pool());
			checkName(ItemKind.ENDPOINT, endpoint.name(), "zone", endpoint.availabilityZone().name());
			if (!isAddress(endpoint.agentAddress())) {
				addFault(ItemKind.ENDPOINT, endpoint.name(), "agent", "expected host:port with a port from 1 to "
						+ MAXIMUM_PORT + ", but it is '" + endpoint.agentAddress() + "'; correct it");
			}
			String other = endpointsByAddress.putIfAbsent(endpoint.agentAddress(), endpoint.name());
			if (other != null) {
				addFault(ItemKind.ENDPOINT, endpoint.name(), "agent",
						"expected one endpoint per agent, but " + endpoint.agentAddress()
								+ " is also the agent of endpoint " + other + "; correct one of them");
			}
		}
	}

	private static boolean isAddress(String address) {
		var matcher = ADDRESS.matcher(address);
		if (!matcher.matches()) {
			return false;
		}
		int port = Integer.parseInt(matcher.group(2));
		return port >= 1 && port <= MAXIMUM_PORT;
	}

	private void checkName(ItemKind kind, String item, String field, String name) {
		if (!NAME.matcher(name).matches()) {
			addFault(kind, item, field.isEmpty() ? "name" : field,
					"expected a name of 1 to 63 letters, digits, dots, dashes and underscores that starts with a letter"
							+ " or digit, but it is '" + name + "'; rename it");
		}
	}

	private void addFault(ItemKind kind, String name, String field, String message) {
		this.faults.add(new ConfigurationFault(kind, name, field, message));
	}

}
