package org.magnoliahub.configurationcheck;

import java.util.List;

/**
 * Route of a stored configuration.
 *
 * @param name unique name
 * @param host value of the Host header, without a port
 * @param pathPrefix path prefix
 * @param streaming whether responses are streams
 * @param timeoutMillis maximum lifetime of a request, in milliseconds
 * @param objectiveMillis target time for a response, in milliseconds
 * @param maximumEndpoints maximum number of endpoints that one request is sent to
 * @param resumable whether an interrupted stream can be resumed at another endpoint
 * @param shares weighted services that handle the requests
 * @param stages stages that run before the request itself
 * @param allowedRegions regions in which requests may be served
 */
public record RouteEntry(Field<String> name, Field<String> host, Field<String> pathPrefix, boolean streaming,
		Field<Long> timeoutMillis, Field<Long> objectiveMillis, Field<Long> maximumEndpoints, Field<Boolean> resumable,
		Field<List<ShareEntry>> shares, Field<List<StageEntry>> stages, Field<List<String>> allowedRegions) {

	/**
	 * Share of the route's requests that one service handles.
	 *
	 * @param service name of the service
	 * @param weight weight relative to the other shares of the route
	 */
	public record ShareEntry(Field<String> service, double weight) {
	}

	/**
	 * Stage of the route.
	 *
	 * @param service name of the stage service
	 * @param inputStages indexes of the stages whose results are inputs of this stage
	 */
	public record StageEntry(Field<String> service, List<Field<Long>> inputStages) {
	}

}
