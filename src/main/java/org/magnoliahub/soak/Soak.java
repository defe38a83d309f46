package org.magnoliahub.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.magnoliahub.platform.emulator.EmulatedSettings;
import org.magnoliahub.platform.emulator.StoreEmulator;

/**
 * One run: starts the store, endpoints, gateways and callers, plays the faults of a seed,
 * and checks the promises.
 */
public final class Soak {

	/** Small enough that an endpoint that refuses everything reaches the budget. */
	private static final EmulatedSettings.Budget BUDGET = new EmulatedSettings.Budget(0.1, 12);

	/** With these counts of endpoints no service is in one zone alone. */
	private static final List<String> ZONES = List.of("z1", "z2", "z3");

	private static final long FAULTS_END_LIMIT_MILLIS = 90_000;

	private static final long RECOVERED_AFTER_MILLIS = 5_000;

	private static final long RECOVERY_SPAN_MILLIS = 3_000;

	private static final long LAST_RUNS_MILLIS = 1_500;

	private static final int THREAD_STACK_BYTES = 256 * 1024;

	private final SoakOptions options;

	private final FaultPlan plan;

	private final Path directory;

	private final Ledger ledger = new Ledger();

	private final List<GatewayChild> gateways = new ArrayList<>();

	private final List<LoopbackProxy> storeLinks = new ArrayList<>();

	private final List<SoakCaller> callers = new ArrayList<>();

	private final List<CrashingCaller> crashingCallers = new ArrayList<>();

	private final List<VersionProbe> probes = new ArrayList<>();

	private final List<Thread> threads = new ArrayList<>();

	private Soak(SoakOptions options, FaultPlan plan) {
		this.options = options;
		this.plan = plan;
		this.directory = options.directory().resolve("seed-" + plan.seed());
	}

	/**
	 * Runs a seed.
	 * @param options how
	 * @param seed decides the faults and what callers do
	 * @param output takes a report for people
	 * @return whether all promises were kept
	 * @throws IOException if something cannot be started
	 * @throws InterruptedException if the run is interrupted
	 */
	public static boolean run(SoakOptions options, long seed, Consumer<String> output)
			throws IOException, InterruptedException {
		FaultPlan plan = FaultPlan.draw(seed, options.seconds() * 1_000);
		SoakResult result = new Soak(options, plan).run();
		output.accept(result.report());
		return result.findings().isEmpty();
	}

	/**
	 * Returns the shortest load that leaves room for faults.
	 * @return length in seconds
	 */
	public static long minimumSeconds() {
		return FaultPlan.MINIMUM_MILLIS / 1_000;
	}

	private SoakResult run() throws IOException, InterruptedException {
		Files.createDirectories(this.directory);
		Thread atExit = new Thread(this::killGateways, "soak-exit");
		Runtime.getRuntime().addShutdownHook(atExit);
		try (StoreEmulator store = new StoreEmulator();
				SoakEndpoints endpoints = SoakEndpoints.start(store, this.ledger, endpointCounts(), ZONES)) {
			ConfigurationOperator operator = new ConfigurationOperator(store, this.ledger.configurations().versions());
			operator.change();
			startGateways(store);
			startLoad();
			try (FaultInjector injector = new FaultInjector(store, endpoints, this.gateways, this.storeLinks, operator,
					this.ledger)) {
				return play(injector, endpoints);
			}
		}
		finally {
			close();
			Runtime.getRuntime().removeShutdownHook(atExit);
		}
	}

	// Gateways do not end with this process by themselves when it is interrupted.
	private void killGateways() {
		this.gateways.forEach(GatewayChild::kill);
	}

	private static Map<String, Integer> endpointCounts() {
		Map<String, Integer> counts = new LinkedHashMap<>();
		counts.put("plain", 3);
		counts.put("model", 3);
		counts.put("read", 2);
		counts.put("rank", 2);
		counts.put("long", 2);
		return counts;
	}

	private void startGateways(StoreEmulator store) throws IOException, InterruptedException {
		String network = GatewayChild.network();
		for (int index = 0; index < this.options.gateways(); index++) {
			LoopbackProxy link = LoopbackProxy.start(store.address());
			this.storeLinks.add(link);
			GatewayChild gateway = GatewayChild.prepare("gateway-" + index, network + (index + 1), BUDGET,
					link.address(), this.directory);
			this.gateways.add(gateway);
			gateway.start();
		}
		for (GatewayChild gateway : this.gateways) {
			gateway.awaitReady();
		}
	}

	private void startLoad() {
		int patient = this.options.gateways();
		for (int index = 0; index < this.options.callers() + patient; index++) {
			SoakCaller.Habit habit = (index < patient) ? SoakCaller.Habit.SENDS_LONG_REQUESTS
					: SoakCaller.Habit.of(index);
			SoakCaller caller = new SoakCaller(this.gateways, this.ledger, this.plan.seed() * 1_000 + index, habit);
			this.callers.add(caller);
			start(caller);
		}
		if (this.plan.crashesFromMillis() >= 0) {
			CrashingCaller caller = new CrashingCaller(this.gateways, this.ledger, this.plan.seed(),
					this.plan.crashesFromMillis());
			this.crashingCallers.add(caller);
			start(caller);
		}
		for (int index = 0; index < this.gateways.size(); index++) {
			for (VersionProbe.Kind kind : VersionProbe.Kind.values()) {
				VersionProbe probe = new VersionProbe(kind, index, this.gateways.get(index), this.ledger);
				this.probes.add(probe);
				start(probe);
			}
		}
	}

	private void start(Runnable task) {
		Thread thread = new Thread(null, task, "soak-caller", THREAD_STACK_BYTES);
		thread.setDaemon(true);
		this.threads.add(thread);
		thread.start();
	}

	private SoakResult play(FaultInjector injector, SoakEndpoints endpoints) throws IOException, InterruptedException {
		injector.start(this.plan);
		if (!injector.awaitEnd(this.plan.lengthMillis() + FAULTS_END_LIMIT_MILLIS)) {
			this.ledger.found(Finding.Promise.PROCESS_LIFE, "faults did not end in time");
		}
		Thread.sleep(RECOVERED_AFTER_MILLIS);
		long recoveredAt = Ledger.now();
		Thread.sleep(RECOVERY_SPAN_MILLIS);
		PromiseChecks.Recovery recovery = new PromiseChecks.Recovery(recoveredAt, Ledger.now());
		stopLoad();
		for (GatewayChild gateway : this.gateways) {
			if (gateway.hasEndedByItself()) {
				this.ledger.found(Finding.Promise.PROCESS_LIFE, "a gateway ended by itself");
			}
		}
		endpoints.stages().faults().forEach((fault) -> this.ledger.found(Finding.Promise.OWN_ANSWER, fault));
		List<Finding> findings = PromiseChecks.check(this.ledger, BUDGET, injector.plannedWork(), readRequests(),
				recovery);
		writeTimeline(injector);
		long served = this.ledger.stories().stream().filter(RequestStory::isServed).count();
		return new SoakResult(this.plan, this.ledger.stories().size(), served, findings);
	}

	private void writeTimeline(FaultInjector injector) throws IOException {
		List<String> lines = new ArrayList<>(injector.timeline());
		lines.addAll(this.ledger.disturbances().timeline());
		lines.add(injector.plannedWork().toString());
		this.ledger.evacuations().evacuations().forEach((evacuation) -> lines.add(evacuation.toString()));
		this.ledger.configurations().versions().versions().forEach((version) -> lines.add(version.toString()));
		Files.write(this.directory.resolve("timeline.txt"), lines);
	}

	private Set<String> readRequests() throws IOException {
		Set<String> read = new HashSet<>();
		for (GatewayChild gateway : this.gateways) {
			read.addAll(gateway.readRequests());
		}
		return read;
	}

	private void stopLoad() throws InterruptedException {
		this.callers.forEach(SoakCaller::stop);
		this.crashingCallers.forEach(CrashingCaller::stop);
		this.probes.forEach(VersionProbe::stop);
		for (Thread thread : this.threads) {
			thread.join(FAULTS_END_LIMIT_MILLIS);
		}
		Thread.sleep(LAST_RUNS_MILLIS);
	}

	private void close() throws IOException, InterruptedException {
		for (GatewayChild gateway : this.gateways) {
			gateway.close();
		}
		for (LoopbackProxy link : this.storeLinks) {
			link.close();
		}
	}

}
