package org.magnoliahub.model;

import java.util.List;

/**
 * An ordered chain of stages.
 *
 * @param name the pipeline's name, not blank
 * @param stages its stages in order of execution, at least one and at most
 * {@value #MAXIMUM_STAGES}
 */
public record PipelineDefinition(String name, List<StageDefinition> stages) {

	/** Most stages of one pipeline. */
	public static final int MAXIMUM_STAGES = 16;

	/**
	 * Checks and copies the stages.
	 * @throws IllegalArgumentException if the name is blank or the number of stages is
	 * out of range
	 */
	public PipelineDefinition {
		Arguments.requireText(name, "pipeline name");
		stages = List.copyOf(stages);
		Arguments.requireRange(stages.size(), 1, MAXIMUM_STAGES, "number of stages of pipeline " + name);
	}

	/**
	 * Returns whether every stage may be repeated.
	 * @return {@code true} if no stage is declared non-idempotent
	 */
	public boolean isIdempotent() {
		return this.stages.stream().allMatch(StageDefinition::idempotent);
	}

}
