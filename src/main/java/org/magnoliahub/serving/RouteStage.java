package org.magnoliahub.serving;

import java.util.List;

/**
 * Work that precedes the requests of a route.
 *
 * @param service the service whose endpoints do the work
 * @param inputStages indexes of the stages whose results it needs
 * @param resultBytes approximate size of one result, in bytes
 */
public record RouteStage(String service, List<Integer> inputStages, long resultBytes) {

	/**
	 * Copies the list.
	 */
	public RouteStage {
		inputStages = List.copyOf(inputStages);
	}

}
