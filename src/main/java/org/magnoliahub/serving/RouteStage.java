package org.magnoliahub.serving;

import java.util.List;

/**
 * Stage of a route: preprocessing that a stage service performs before a request runs.
 *
 * @param service name of the stage service
 * @param inputStages indexes of the stages whose results are inputs of this stage
 * @param resultBytes approximate size of one result, in bytes
 */
public record RouteStage(String service, List<Integer> inputStages, long resultBytes) {

	/**
	 * Creates a stage with an immutable copy of the input stages.
	 */
	public RouteStage {
		inputStages = List.copyOf(inputStages);
	}

}
