package org.magnoliahub.command;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.magnoliahub.configuration.ItemChange;
import org.magnoliahub.model.Endpoint;
import org.magnoliahub.model.Objective;
import org.magnoliahub.model.PipelineDefinition;
import org.magnoliahub.model.RequestClass;
import org.magnoliahub.model.StageDefinition;
import org.magnoliahub.model.StageType;
import org.magnoliahub.model.Workspace;

/**
 * Configuration of the demonstration: a pipeline of four model stages and a pipeline with
 * one non-idempotent call.
 */
final class DemoConfiguration {

	/** Pool of the engines, which serve all four model stages. */
	static final String ENGINES = "engines";

	/** Pool of the plain services. */
	static final String FILING = "filing";

	private DemoConfiguration() {
	}

	/**
	 * Builds the changes that create the configuration.
	 * @param endpoints the endpoints of both pools
	 * @return the changes
	 */
	static List<ItemChange> items(List<Endpoint> endpoints) {
		StageDefinition encode = new StageDefinition("encode", StageType.ENCODE, ENGINES, true, "/v1/embeddings", 0.2);
		StageDefinition retrieve = new StageDefinition("retrieve", StageType.RETRIEVE, ENGINES, true, "/v1/retrieve",
				0.1);
		StageDefinition rerank = new StageDefinition("rerank", StageType.RERANK, ENGINES, true, "/v1/rerank", 0.2);
		StageDefinition generate = new StageDefinition("generate", StageType.GENERATE, ENGINES, true, "/v1/completions",
				2.0);
		StageDefinition file = new StageDefinition("file", StageType.SERVICE, FILING, false, "/v1/calls", 0.1);
		List<ItemChange> items = new ArrayList<>();
		items.add(new ItemChange.PutPipeline(
				new PipelineDefinition("report", List.of(encode, retrieve, rerank, generate))));
		items.add(new ItemChange.PutPipeline(new PipelineDefinition("filing", List.of(file))));
		items.add(new ItemChange.PutRequestClass(
				new RequestClass("draft", "report", Duration.ofSeconds(5), Objective.ATTAINMENT, 5)));
		items.add(new ItemChange.PutRequestClass(
				new RequestClass("stamp", "filing", Duration.ofSeconds(5), Objective.ATTAINMENT, 0)));
		items.add(new ItemChange.PutWorkspace(new Workspace("hakodate", 1, 100)));
		endpoints.forEach((endpoint) -> items.add(new ItemChange.PutEndpoint(endpoint)));
		return items;
	}

}
