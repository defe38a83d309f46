package org.magnoliahub.soak;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

import org.magnoliahub.platform.StageCallFormat;
import org.magnoliahub.platform.emulator.EndpointRequest;
import org.magnoliahub.platform.emulator.RawServer;

/**
 * What is needed to judge evacuations of zones: their rows, the zones of the endpoints,
 * starts of gateways, and calls that only endpoints see. Times are monotonic, in
 * milliseconds.
 */
final class EvacuationHistory {

	private final List<Evacuation> evacuations = new CopyOnWriteArrayList<>();

	private final Map<String, String> zonesByEndpoint = new ConcurrentHashMap<>();

	private final List<GatewayStart> gatewayStarts = new CopyOnWriteArrayList<>();

	private final List<StageCall> stageCalls = new CopyOnWriteArrayList<>();

	private final Set<EndpointRequest> misdirected = ConcurrentHashMap.newKeySet();

	void add(Evacuation evacuation) {
		this.evacuations.add(evacuation);
	}

	List<Evacuation> evacuations() {
		return this.evacuations;
	}

	/**
	 * Records the zone of an endpoint.
	 * @param endpoint id of the endpoint
	 * @param zone name of its zone
	 */
	void place(String endpoint, String zone) {
		this.zonesByEndpoint.put(endpoint, zone);
	}

	boolean isIn(String zone, String endpoint) {
		return zone.equals(this.zonesByEndpoint.get(endpoint));
	}

	/**
	 * Records that the process of a gateway is started again.
	 * @param gateway index of the gateway
	 * @param now the time before its start
	 */
	void recordStart(int gateway, long now) {
		this.gatewayStarts.add(new GatewayStart(gateway, now));
	}

	/**
	 * Returns when the process started that a gateway had at a moment.
	 * @param gateway index of the gateway
	 * @param moment the moment
	 * @return the start, 0 for the first process
	 */
	long startBefore(int gateway, long moment) {
		return this.gatewayStarts.stream()
			.filter((start) -> start.gateway() == gateway && start.millis() <= moment)
			.mapToLong(GatewayStart::millis)
			.max()
			.orElse(0);
	}

	/**
	 * Records the calls with pieces that a stage endpoint gets.
	 * @param endpoint id of the endpoint
	 * @param handler answers the calls
	 * @return a handler that records a call and lets the other one answer it
	 */
	RawServer.Handler recording(String endpoint, RawServer.Handler handler) {
		return (request, socket) -> {
			if (request.target().equals(StageCallFormat.RUN_PATH)) {
				recordStageCall(endpoint, Ledger.now());
			}
			handler.handle(request, socket);
		};
	}

	void recordStageCall(String endpoint, long now) {
		this.stageCalls.add(new StageCall(endpoint, now));
	}

	List<StageCall> stageCalls() {
		return this.stageCalls;
	}

	/**
	 * Records that an endpoint answered 421 to a request.
	 * @param request the request
	 */
	void recordMisdirected(EndpointRequest request) {
		this.misdirected.add(request);
	}

	boolean isMisdirected(EndpointRequest request) {
		return this.misdirected.contains(request);
	}

	/**
	 * Pieces that reached a stage endpoint. The gateway that sent them, which owns the
	 * queue, is not known.
	 *
	 * @param endpoint id of the endpoint
	 * @param millis time of the arrival
	 */
	record StageCall(String endpoint, long millis) {
	}

	private record GatewayStart(int gateway, long millis) {
	}

}
