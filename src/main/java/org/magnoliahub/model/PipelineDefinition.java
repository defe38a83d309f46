package org.magnoliahub.model;

import java.util.List;

/**
 * A named sequence of stages that are executed one after another.
 *
 * @param name the pipeline's name, not blank
 * @param stages its stages in order of execution, at least one and at most
 * {@value #MAXIMUM_STAGES}
 */
public record PipelineDefinition(String name, List<StageDefinition> stages) {

	/** Maximum number of stages of a pipeline. */
	public static final int MAXIMUM_STAGES = 16;

	/**
	 * Checks the components and copies the list of stages.
	 * @throws IllegalArgumentException if the name is blank or the number of stages is
	 * out of range
	 */
	public PipelineDefinition {
		Arguments.requireText(name, "pipeline name");
		stages = List.copyOf(stages);
		Arguments.requireRange(stages.size(), 1, MAXIMUM_STAGES, "number of stages of pipeline " + name);
	}

	/**
	 * Returns whether calls of every stage may be retried.
	 * @return {@code true} if no stage is declared non-idempotent
	 */
	public boolean isIdempotent() {
		return this.stages.stream().allMatch(StageDefinition::idempotent);
	}

}
