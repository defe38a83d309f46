package org.magnoliahub.declaration;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLGenerator;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import org.magnoliahub.configuration.ItemKind;
import org.magnoliahub.model.Configuration;
import org.magnoliahub.model.Endpoint;
import org.magnoliahub.model.PipelineDefinition;
import org.magnoliahub.model.RequestClass;
import org.magnoliahub.model.StageDefinition;
import org.magnoliahub.model.Workspace;

/**
 * Writes a configuration as YAML that {@link DeclarationReader} can read back.
 */
public final class DeclarationWriter {

	private static final YAMLMapper MAPPER = YAMLMapper.builder()
		.disable(YAMLGenerator.Feature.WRITE_DOC_START_MARKER)
		.enable(YAMLGenerator.Feature.MINIMIZE_QUOTES, YAMLGenerator.Feature.ALWAYS_QUOTE_NUMBERS_AS_STRINGS,
				YAMLGenerator.Feature.INDENT_ARRAYS_WITH_INDICATOR)
		.build();

	private DeclarationWriter() {
	}

	/**
	 * Writes all items with all fields, including defaults. Items are sorted by name.
	 * @param configuration the configuration to write
	 * @return the YAML text
	 */
	public static String write(Configuration configuration) {
		try {
			return MAPPER.writeValueAsString(new DeclarationsForm(
					sortedByName(configuration.pipelines()).stream().map(PipelineForm::of).toList(),
					sortedByName(configuration.requestClasses()).stream().map(RequestClassForm::of).toList(),
					sortedByName(configuration.endpoints()).stream().map(EndpointForm::of).toList(),
					sortedByName(configuration.workspaces()).stream().map(WorkspaceForm::of).toList()));
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("failed to serialize the configuration as YAML", ex);
		}
	}

	static JsonNode toTree(Configuration configuration, ItemKind kind, String name) {
		Optional<?> form = switch (kind) {
			case PIPELINE -> Optional.ofNullable(configuration.pipelines().get(name)).map(PipelineForm::of);
			case REQUEST_CLASS ->
				Optional.ofNullable(configuration.requestClasses().get(name)).map(RequestClassForm::of);
			case ENDPOINT -> Optional.ofNullable(configuration.endpoints().get(name)).map(EndpointForm::of);
			case WORKSPACE -> Optional.ofNullable(configuration.workspaces().get(name)).map(WorkspaceForm::of);
		};
		return form.map((value) -> (JsonNode) MAPPER.valueToTree(value)).orElseGet(MissingNode::getInstance);
	}

	private static <T> List<T> sortedByName(Map<String, T> items) {
		return List.copyOf(new TreeMap<>(items).values());
	}

	private record DeclarationsForm(List<PipelineForm> pipelines,
			@JsonProperty("request-classes") List<RequestClassForm> requestClasses, List<EndpointForm> endpoints,
			List<WorkspaceForm> workspaces) {
	}

	private record PipelineForm(String name, List<StageForm> stages) {

		static PipelineForm of(PipelineDefinition pipeline) {
			return new PipelineForm(pipeline.name(), pipeline.stages().stream().map(StageForm::of).toList());
		}

	}

	private record StageForm(String name, String type, String pool, String path, boolean idempotent,
			@JsonProperty("price-per-second") double pricePerSecond) {

		static StageForm of(StageDefinition stage) {
			return new StageForm(stage.name(), FieldReader.lowerCaseName(stage.type()), stage.pool(), stage.path(),
					stage.idempotent(), stage.pricePerSecond());
		}

	}

	private record RequestClassForm(String name, String pipeline, @JsonProperty("deadline-ms") long deadlineMillis,
			String objective, int priority) {

		static RequestClassForm of(RequestClass requestClass) {
			return new RequestClassForm(requestClass.name(), requestClass.pipeline(),
					requestClass.deadline().toMillis(), FieldReader.lowerCaseName(requestClass.objective()),
					requestClass.priority());
		}

	}

	private record EndpointForm(String name, String pool, String zone, String agent,
			@JsonProperty("authenticates-commands") boolean authenticatesCommands,
			@JsonProperty("price-factor") double priceFactor, boolean draining) {

		static EndpointForm of(Endpoint endpoint) {
			return new EndpointForm(endpoint.name(), endpoint.pool(), endpoint.availabilityZone().name(),
					endpoint.agentAddress(), endpoint.authenticatesCommands(), endpoint.priceFactor(),
					endpoint.draining());
		}

	}

	private record WorkspaceForm(String name, int weight,
			@JsonProperty("maximum-concurrent-requests") int maximumConcurrentRequests) {

		static WorkspaceForm of(Workspace workspace) {
			return new WorkspaceForm(workspace.name(), workspace.weight(), workspace.maximumConcurrentRequests());
		}

	}

}
