package org.magnoliahub.soak;

import java.io.IOException;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.magnoliahub.platform.emulator.EndpointEmulator;
import org.magnoliahub.platform.emulator.StoreEmulator;

/**
 * Plays the faults of a plan. Faults overlap, but those of one gateway's process wait for
 * each other.
 */
final class FaultInjector implements AutoCloseable {

	private static final long LEAVING_MILLIS = 3_500;

	/** Longer than the window in which requests to a limited endpoint are counted. */
	private static final long LIMITED_MILLIS = 6_000;

	/** The age of a copy is up to sixty times as much. */
	private static final long COPY_AGE_STEP_MILLIS = 100;

	/** Time after the store's return until the operator writes what it lost again. */
	private static final long OPERATOR_RETURN_MILLIS = 500;

	/** Further time until endpoints have written their rows again. */
	private static final long ENDPOINT_RETURN_MILLIS = 900;

	private static final long LOST_CALLS_MILLIS = 300;

	private static final int THREADS = 16;

	private final StoreEmulator store;

	private final SoakEndpoints endpoints;

	private final GatewayFaults processes;

	private final List<LoopbackProxy> storeLinks;

	private final ConfigurationOperator operator;

	private final EvacuationOperator evacuations;

	private final Ledger ledger;

	private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(THREADS);

	private final List<String> timeline = new CopyOnWriteArrayList<>();

	private final Map<FaultKind, Action> actions = new EnumMap<>(FaultKind.class);

	FaultInjector(StoreEmulator store, SoakEndpoints endpoints, List<GatewayChild> gateways,
			List<LoopbackProxy> storeLinks, ConfigurationOperator operator, Ledger ledger) {
		this.store = store;
		this.endpoints = endpoints;
		this.processes = new GatewayFaults(gateways, operator, ledger);
		this.storeLinks = storeLinks;
		this.operator = operator;
		this.ledger = ledger;
		this.evacuations = new EvacuationOperator(store, ledger.evacuations());
		addStoreActions();
		addGatewayActions();
		addEndpointActions();
		this.actions.put(FaultKind.CONFIGURATION_CHANGE, (fault) -> this.operator.change());
		this.actions.put(FaultKind.ZONE_EVACUATION, this::evacuate);
	}

	private void addStoreActions() {
		this.actions.put(FaultKind.STORE_SILENT, (fault) -> store(fault, StoreEmulator.Mode.SILENT));
		this.actions.put(FaultKind.STORE_BUSY, (fault) -> store(fault, StoreEmulator.Mode.BUSY));
		this.actions.put(FaultKind.STORE_UNEVEN, (fault) -> store(fault, StoreEmulator.Mode.UNEVEN));
		this.actions.put(FaultKind.STORE_RESET, (fault) -> store(fault, StoreEmulator.Mode.RESET));
		this.actions.put(FaultKind.STORE_SLOW, (fault) -> store(fault, StoreEmulator.Mode.SLOW));
		this.actions.put(FaultKind.STORE_LOSES_ANSWERS, (fault) -> store(fault, StoreEmulator.Mode.LOSES_ANSWERS));
		this.actions.put(FaultKind.STORE_FORGETS, (fault) -> this.store.forgetHistory());
		this.actions.put(FaultKind.STORE_ROLLS_BACK, this::rollBack);
		this.actions.put(FaultKind.STORE_LINK_TO, (fault) -> storeLink(fault, LoopbackProxy.Harm.LOSES_REQUESTS));
		this.actions.put(FaultKind.STORE_LINK_FROM, (fault) -> storeLink(fault, LoopbackProxy.Harm.LOSES_ANSWERS));
		this.actions.put(FaultKind.STORE_LOSES_CALLS, this::loseCalls);
		this.actions.put(FaultKind.STORE_CONNECTIONS_SILENT, this::silenceStoreConnections);
		this.actions.put(FaultKind.STORE_LINK_RESET, (fault) -> storeLink(fault, LoopbackProxy.Harm.RESETS));
	}

	private void addGatewayActions() {
		this.actions.put(FaultKind.GATEWAY_STOP, (fault) -> this.processes.stop(index(fault)));
		this.actions.put(FaultKind.GATEWAYS_STOP_IN_TURN, (fault) -> this.processes.stopInTurn(index(fault)));
		this.actions.put(FaultKind.GATEWAY_PAUSE, (fault) -> this.processes.pause(index(fault), fault.lengthMillis()));
		this.actions.put(FaultKind.GATEWAY_KILL, (fault) -> this.processes.kill(index(fault)));
		this.actions.put(FaultKind.GATEWAYS_KILL, (fault) -> this.processes.killAll());
		this.actions.put(FaultKind.GATEWAY_KILL_AFTER_CHANGE, (fault) -> this.processes.killAfterChange(index(fault)));
		this.actions.put(FaultKind.GATEWAY_KILL_AMID_STAGES, this::killAmidStages);
		this.actions.put(FaultKind.GATEWAY_RELOAD, (fault) -> this.processes.reload(index(fault)));
	}

	private void addEndpointActions() {
		this.actions.put(FaultKind.ENDPOINT_LINK_DELAY, (fault) -> link(fault, LoopbackProxy.Harm.DELAYS));
		this.actions.put(FaultKind.ENDPOINT_LINK_RESET, (fault) -> link(fault, LoopbackProxy.Harm.RESETS));
		this.actions.put(FaultKind.ENDPOINT_LINK_TO, (fault) -> link(fault, LoopbackProxy.Harm.LOSES_REQUESTS));
		this.actions.put(FaultKind.ENDPOINT_LINK_FROM, (fault) -> link(fault, LoopbackProxy.Harm.LOSES_ANSWERS));
		this.actions.put(FaultKind.ENDPOINT_CONNECTIONS_SILENT, this::silenceEndpointConnections);
		this.actions.put(FaultKind.ENDPOINT_FULL, (fault) -> mode(fault, EndpointEmulator.Mode.FULL));
		this.actions.put(FaultKind.ENDPOINT_LIMITED, this::limitRate);
		this.actions.put(FaultKind.ENDPOINT_PAUSES, (fault) -> mode(fault, EndpointEmulator.Mode.PAUSES));
		this.actions.put(FaultKind.ENDPOINT_LEAVES, this::leave);
		this.actions.put(FaultKind.ENDPOINT_SLOW, (fault) -> mode(fault, EndpointEmulator.Mode.SLOW));
		this.actions.put(FaultKind.ENDPOINT_TRUNCATES, (fault) -> mode(fault, EndpointEmulator.Mode.TRUNCATES));
		this.actions.put(FaultKind.ENDPOINT_GARBLES, (fault) -> mode(fault, EndpointEmulator.Mode.GARBLES));
		this.actions.put(FaultKind.ENDPOINT_ADDS_ANSWERS, (fault) -> mode(fault, EndpointEmulator.Mode.ADDS_ANSWERS));
		this.actions.put(FaultKind.ENDPOINT_ENDLESS, (fault) -> mode(fault, EndpointEmulator.Mode.ENDLESS));
		this.actions.put(FaultKind.ENDPOINT_RESTART, this::restart);
		this.actions.put(FaultKind.ENDPOINT_DRAIN, this::drain);
		this.actions.put(FaultKind.ENDPOINT_WRITES_LATE, this::writeLate);
	}

	/**
	 * Begins to play a plan.
	 * @param plan the plan
	 */
	void start(FaultPlan plan) {
		for (PlannedFault fault : plan.faults()) {
			this.scheduler.schedule(() -> play(fault), fault.startMillis(), TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * Waits until all faults have ended.
	 * @param limitMillis longest wait
	 * @return whether they ended in time
	 * @throws InterruptedException if the wait is interrupted
	 */
	boolean awaitEnd(long limitMillis) throws InterruptedException {
		this.scheduler.shutdown();
		return this.scheduler.awaitTermination(limitMillis, TimeUnit.MILLISECONDS);
	}

	/**
	 * Returns the faults for people who trace a finding.
	 * @return a line for each that was played, with its time
	 */
	List<String> timeline() {
		return List.copyOf(this.timeline);
	}

	/**
	 * Returns the planned work at gateways that was played.
	 * @return the work, in no order
	 */
	PlannedWork plannedWork() {
		return this.processes.plannedWork();
	}

	private void play(PlannedFault fault) {
		try {
			Action action = this.actions.get(fault.kind());
			if (action != null) {
				this.timeline.add(Ledger.now() + " " + fault);
				action.play(fault);
			}
		}
		catch (IOException ex) {
			this.ledger.found(Finding.Promise.PROCESS_LIFE, fault + " could not be played: " + ex.getMessage());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private int index(PlannedFault fault) {
		return fault.target() % this.storeLinks.size();
	}

	private void store(PlannedFault fault, StoreEmulator.Mode mode) throws InterruptedException {
		hold(fault, this.ledger.disturbances().beginAll(), this.store::setMode, mode, StoreEmulator.Mode.SOUND);
	}

	private void rollBack(PlannedFault fault) throws InterruptedException {
		Disturbances.Span span = this.ledger.disturbances().beginAll();
		this.store.setMode(StoreEmulator.Mode.RESET);
		Thread.sleep(fault.lengthMillis() / 2);
		this.store.rollBack(COPY_AGE_STEP_MILLIS * (1 + fault.target()));
		this.store.setMode(StoreEmulator.Mode.SOUND);
		Thread.sleep(OPERATOR_RETURN_MILLIS);
		this.operator.writeAgain();
		this.evacuations.restoreRows();
		Thread.sleep(ENDPOINT_RETURN_MILLIS);
		this.endpoints.writeAgain();
		span.end();
	}

	private void evacuate(PlannedFault fault) throws InterruptedException {
		Evacuation evacuation = this.evacuations.begin(this.endpoints.zone(fault.target()));
		Thread.sleep(fault.lengthMillis());
		this.evacuations.end(evacuation);
	}

	private void killAmidStages(PlannedFault fault) throws IOException, InterruptedException {
		Disturbances.Span span = this.ledger.disturbances().beginEndpoint("of stages");
		this.endpoints.stages().setSlow(true);
		this.processes.killAmidStages(index(fault));
		this.endpoints.stages().setSlow(false);
		span.end();
	}

	// A write that the server sent before it left is performed after its removal.
	private void writeLate(PlannedFault fault) throws IOException, InterruptedException {
		SoakEndpoints.Place place = this.endpoints.place(fault.target());
		String endpoint = place.endpoint();
		SoakEndpoints.Leaving leaving = this.endpoints.removeAndWriteLate(place);
		Thread.sleep(LEAVING_MILLIS);
		Disturbances.Span span = this.ledger.disturbances().beginPlannedEnd(endpoint);
		leaving.end();
		span.end();
	}

	private void leave(PlannedFault fault) throws IOException, InterruptedException {
		SoakEndpoints.Place place = this.endpoints.answeringPlace(fault.target());
		Disturbances.Span span = this.ledger.disturbances().beginEndpoint(place.endpoint());
		SoakEndpoints.Leaving leaving = this.endpoints.leave(place);
		Thread.sleep(LEAVING_MILLIS);
		leaving.end();
		span.end();
	}

	private void storeLink(PlannedFault fault, LoopbackProxy.Harm harm) throws InterruptedException {
		LoopbackProxy link = this.storeLinks.get(index(fault));
		hold(fault, this.ledger.disturbances().beginGateway(index(fault)), link::setHarm, harm,
				LoopbackProxy.Harm.NONE);
	}

	// New calls fail for a moment only, so that the gateway's wait for the lost ones is
	// what delays it.
	private void loseCalls(PlannedFault fault) throws InterruptedException {
		Disturbances.Span span = this.ledger.disturbances().beginAll();
		this.store.silenceConnections();
		this.store.setMode(StoreEmulator.Mode.SILENT);
		Thread.sleep(Math.min(fault.lengthMillis(), LOST_CALLS_MILLIS));
		this.store.setMode(StoreEmulator.Mode.SOUND);
		span.end();
	}

	private void silenceStoreConnections(PlannedFault fault) {
		Disturbances.Span span = this.ledger.disturbances().beginGateway(index(fault));
		this.storeLinks.get(index(fault)).silenceConnections();
		span.end();
	}

	private void silenceEndpointConnections(PlannedFault fault) {
		SoakEndpoints.Place place = this.endpoints.place(fault.target());
		Disturbances.Span span = this.ledger.disturbances().beginLink(place.endpoint());
		place.proxy().silenceConnections();
		span.end();
	}

	private void link(PlannedFault fault, LoopbackProxy.Harm harm) throws InterruptedException {
		SoakEndpoints.Place place = this.endpoints.place(fault.target());
		LoopbackProxy link = place.proxy();
		hold(fault, this.ledger.disturbances().beginLink(place.endpoint()), link::setHarm, harm,
				LoopbackProxy.Harm.NONE);
	}

	private void mode(PlannedFault fault, EndpointEmulator.Mode mode) throws InterruptedException {
		SoakEndpoints.Place place = this.endpoints.answeringPlace(fault.target());
		hold(fault, this.ledger.disturbances().beginEndpoint(place.endpoint()), place::setMode, mode,
				EndpointEmulator.Mode.SOUND);
	}

	private void limitRate(PlannedFault fault) throws InterruptedException {
		SoakEndpoints.Place place = this.endpoints.answeringPlace(fault.target());
		Disturbances.Span span = this.ledger.disturbances().beginEndpoint(place.endpoint());
		place.setMode(EndpointEmulator.Mode.LIMITED);
		Thread.sleep(Math.max(fault.lengthMillis(), LIMITED_MILLIS));
		place.setMode(EndpointEmulator.Mode.SOUND);
		span.end();
	}

	private static <T> void hold(PlannedFault fault, Disturbances.Span span, Consumer<T> setter, T during, T after)
			throws InterruptedException {
		setter.accept(during);
		Thread.sleep(fault.lengthMillis());
		setter.accept(after);
		span.end();
	}

	private void restart(PlannedFault fault) throws IOException {
		SoakEndpoints.Place place = this.endpoints.place(fault.target());
		Disturbances.Span span = this.ledger.disturbances().beginEndpoint(place.endpoint());
		this.endpoints.restart(place);
		span.end();
	}

	private void drain(PlannedFault fault) throws IOException, InterruptedException {
		SoakEndpoints.Place place = this.endpoints.place(fault.target());
		String endpoint = place.endpoint();
		SoakEndpoints.Leaving leaving = this.endpoints.drain(place);
		Thread.sleep(LEAVING_MILLIS);
		Disturbances.Span span = this.ledger.disturbances().beginPlannedEnd(endpoint);
		leaving.end();
		span.end();
	}

	@Override
	public void close() {
		this.scheduler.shutdownNow();
	}

	/**
	 * Plays a fault from its start to its end.
	 */
	@FunctionalInterface
	private interface Action {

		void play(PlannedFault fault) throws IOException, InterruptedException;

	}

}
