package org.magnoliahub.configuration;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

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
 * Sample configuration items for tests.
 */
public final class Samples {

	private Samples() {
	}

	public static StageDefinition stage(String name, StageType type, String pool, boolean idempotent) {
		return new StageDefinition(name, type, pool, idempotent, "/" + name, 0.5);
	}

	public static PipelineDefinition pipeline(StageDefinition... stages) {
		return new PipelineDefinition("filing", List.of(stages));
	}

	public static RequestClass requestClass(String pipeline, Duration deadline) {
		return new RequestClass("submission", pipeline, deadline, Objective.ATTAINMENT, 3);
	}

	public static Endpoint endpoint(String name, String pool, String address) {
		return new Endpoint(name, pool, new AvailabilityZone("a"), address, true);
	}

	public static Workspace workspace(String name, int weight) {
		return new Workspace(name, weight, 10);
	}

	public static ItemChange putWorkspace(String workspace, int weight) {
		return new ItemChange.PutWorkspace(workspace(workspace, weight));
	}

	public static ConfigurationChange change(String id, long base, ItemChange... items) {
		return ConfigurationChange.of(id, base, "clerk", Instant.ofEpochMilli(1_000), "", List.of(items));
	}

	public static Configuration configuration() {
		return Configuration.of(0,
				List.of(pipeline(stage("draft", StageType.GENERATE, "drafting", true),
						stage("stamp", StageType.SERVICE, "stamps", false))),
				List.of(requestClass("filing", Duration.ofSeconds(5))),
				List.of(endpoint("draft-1", "drafting", "127.0.0.1:9001"),
						endpoint("stamp-1", "stamps", "127.0.0.1:9002")),
				List.of(workspace("paint", 2)));
	}

}
