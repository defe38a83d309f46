package org.magnoliahub.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import org.junit.jupiter.api.Test;
import org.magnoliahub.platform.MemberRecord;
import org.magnoliahub.platform.StoreFormat;
import org.magnoliahub.platform.emulator.EmulatedSettings;
import org.magnoliahub.serving.EndpointDirectory;
import org.magnoliahub.serving.EndpointRecord;
import org.magnoliahub.serving.EndpointState;
import org.magnoliahub.serving.StoreEra;
import org.magnoliahub.time.SchedulerTimerService;
import org.magnoliahub.time.Timers;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Simulates a store that is restored from older snapshots, with delayed and lost
 * responses, and the tables of three gateways. Guards against a configuration that
 * reverts to an older version, use of endpoints that are known to have left, and gateways
 * that do not converge to the content of the store.
 */
class StoreRestorationModelTests {

	/** Number of seeds in a build; {@code -Dmodel.seeds=5000} runs more. */
	private static final int SEEDS = Integer.getInteger("model.seeds", 150);

	private static final String SERVICE = "plain";

	private static final long STEP_MILLIS = 50;

	private static final long FAULT_PHASE_MILLIS = 30_000;

	private static final long RECOVERY_PHASE_MILLIS = 16_000;

	private static final long HEARTBEAT_MILLIS = 1_200;

	/**
	 * Maximum age of the data in the latest response, whose call may be the retry of one
	 * that got no response.
	 */
	private static final long MAXIMUM_RESPONSE_AGE_MILLIS = 3_500;

	@Test
	void viewsConvergeAfterEveryRestoration() {
		for (int seed = 1; seed <= SEEDS; seed++) {
			new Simulation(seed).run();
		}
	}

	@Test
	void memberRowIsWrittenOnceForEachRestoration() {
		Simulation simulation = new Simulation(7);
		simulation.advance(5_000);
		int before = simulation.gateways.get(0).writes;
		simulation.store.rollBack(300, 4_500);
		simulation.advance(20_000);
		assertThat(simulation.gateways.get(0).writes - before).isLessThanOrEqualTo(1);
		assertThat(simulation.store.keys(StoreFormat.MEMBER_TABLE)).containsExactly("gateway-0", "gateway-1",
				"gateway-2");
	}

	@Test
	void memberCountStaysWhileMemberRowsAreMissing() {
		Simulation simulation = new Simulation(8);
		simulation.advance(3_000);
		Gateway gateway = simulation.gateways.get(0);
		gateway.minimumMemberCount = Integer.MAX_VALUE;
		// The snapshot is older than all member rows.
		simulation.store.rollBack(200, 8_000);
		simulation.advance(12_000);
		assertThat(gateway.minimumMemberCount).isGreaterThanOrEqualTo(2);
	}

	/**
	 * The simulation of one seed.
	 */
	private static final class Simulation {

		private final String name;

		private final TestScheduler scheduler = new TestScheduler();

		private final Timers timers = SchedulerTimerService.virtual(this.scheduler);

		private final SplittableRandom random;

		private final SimulatedStore store;

		private final List<Gateway> gateways = new ArrayList<>();

		private final List<Endpoint> endpoints = new ArrayList<>();

		private final Map<String, Long> written = new HashMap<>();

		private long configurationVersion;

		private long lastProcessStart = 1_000;

		private Simulation(int seed) {
			this.name = "seed " + seed;
			this.random = new SplittableRandom(seed);
			this.store = new SimulatedStore(this.timers, this.random.split());
			for (int index = 0; index < 5; index++) {
				this.endpoints.add(new Endpoint("e-" + index));
			}
			changeConfiguration();
			this.timers.schedulePeriodically(Duration.ofMillis(1_000), this::writeConfiguration);
			for (int index = 0; index < 3; index++) {
				this.gateways.add(new Gateway(this, "gateway-" + index));
			}
		}

		private void changeConfiguration() {
			this.configurationVersion += 1 + this.random.nextInt(3);
			writeConfiguration();
		}

		// The operator rewrites a configuration that the store lost.
		private void writeConfiguration() {
			String text = EmulatedSettings.configuration(this.configurationVersion, List.of());
			if (!this.store.value(StoreFormat.CONFIGURATION_TABLE, StoreFormat.CONFIGURATION_KEY).equals(text)) {
				this.store.write(StoreFormat.CONFIGURATION_TABLE, StoreFormat.CONFIGURATION_KEY, text);
			}
		}

		private void run() {
			this.store.setLossProbability(0.05);
			for (long now = 0; now < FAULT_PHASE_MILLIS; now += STEP_MILLIS) {
				if (this.random.nextInt(12) == 0) {
					injectFault();
				}
				advance(STEP_MILLIS);
			}
			this.store.setLossProbability(0);
			advance(RECOVERY_PHASE_MILLIS);
			this.gateways.forEach(this::checkConvergence);
			assertThat(this.store.keys(StoreFormat.MEMBER_TABLE)).as(this.name)
				.containsExactly("gateway-0", "gateway-1", "gateway-2");
		}

		private void injectFault() {
			Endpoint endpoint = this.endpoints.get(this.random.nextInt(5));
			switch (this.random.nextInt(7)) {
				case 0 -> endpoint.drain();
				case 1 -> endpoint.crash();
				case 2 -> endpoint.restart();
				case 3 -> endpoint.freeze();
				case 4 -> changeConfiguration();
				case 5 -> {
					if (!this.store.isUnavailable()) {
						this.store.rollBack(this.random.nextLong(1, 2_500), this.random.nextLong(0, 6_000));
					}
				}
				default -> {
				}
			}
		}

		private void advance(long millis) {
			for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
				this.scheduler.advanceTimeBy(STEP_MILLIS, TimeUnit.MILLISECONDS);
				this.gateways.forEach(this::checkInvariants);
			}
		}

		private void checkInvariants(Gateway gateway) {
			long now = this.timers.milliTime();
			long version = gateway.configuration.version();
			assertThat(version).as(this.name + ": configuration of " + gateway.name)
				.isGreaterThanOrEqualTo(gateway.highestVersion);
			gateway.highestVersion = version;
			checkNoRemovedEndpointIsAvailable(gateway, now);
			gateway.minimumMemberCount = Math.min(gateway.minimumMemberCount, gateway.memberCount);
		}

		private void checkNoRemovedEndpointIsAvailable(Gateway gateway, long now) {
			Set<Long> listed = new HashSet<>();
			for (EndpointState endpoint : gateway.directory.all()) {
				listed.add(endpoint.record().processStartMillis());
				if (endpoint.isDraining()) {
					gateway.draining.add(endpoint.record().processStartMillis());
				}
			}
			gateway.listed.stream()
				.filter((process) -> !listed.contains(process))
				.forEach((process) -> gateway.removedAt.put(process, now));
			gateway.listed = listed;
			for (EndpointState endpoint : gateway.directory.availableEndpoints(SERVICE, now)) {
				EndpointRecord record = endpoint.record();
				String text = this.name + ": " + record + " at " + gateway.name + ", " + now;
				assertThat(gateway.draining).as(text).doesNotContain(record.processStartMillis());
				// An endpoint that was removed is used again only after it has written a
				// newer row.
				long written = this.written.getOrDefault(record.processStartMillis() + "/" + record.sequence(), 0L);
				assertThat(written).as(text)
					.isGreaterThan(gateway.removedAt.getOrDefault(record.processStartMillis(), 0L)
							- MAXIMUM_RESPONSE_AGE_MILLIS);
			}
		}

		private void checkConvergence(Gateway gateway) {
			long now = this.timers.milliTime();
			Set<Long> available = new TreeSet<>();
			gateway.directory.availableEndpoints(SERVICE, now)
				.forEach((endpoint) -> available.add(endpoint.record().processStartMillis()));
			Set<Long> ready = new TreeSet<>();
			this.endpoints.stream()
				.filter((endpoint) -> !endpoint.stopped && !endpoint.draining)
				.forEach((endpoint) -> ready.add(endpoint.processStart));
			assertThat(available).as(this.name + ": endpoints of " + gateway.name).isEqualTo(ready);
			assertThat(gateway.configuration.version()).as(this.name).isEqualTo(this.configurationVersion);
			assertThat(gateway.memberCount).as(this.name + ": members of " + gateway.name).isEqualTo(3);
		}

		/**
		 * An endpoint that rewrites its row periodically.
		 */
		private final class Endpoint {

			private final String id;

			private long processStart;

			private long sequence;

			private boolean draining;

			private boolean stopped;

			private long frozenUntil;

			private Endpoint(String id) {
				this.id = id;
				this.processStart = ++Simulation.this.lastProcessStart;
				Simulation.this.timers.schedule(Duration.ofMillis(Simulation.this.random.nextLong(HEARTBEAT_MILLIS)),
						this::write);
				Simulation.this.timers.schedulePeriodically(Duration.ofMillis(HEARTBEAT_MILLIS), this::write);
			}

			private void write() {
				if (this.stopped || Simulation.this.timers.milliTime() < this.frozenUntil) {
					return;
				}
				Simulation.this.written.put(this.processStart + "/" + (this.sequence + 1),
						Simulation.this.timers.milliTime());
				Simulation.this.store.write(StoreFormat.ENDPOINT_TABLE, this.id,
						EmulatedSettings.endpoint(SERVICE, "10.0.0.1:80", 4, this.draining ? "draining" : "ready",
								new EmulatedSettings.Write(this.processStart, ++this.sequence)));
			}

			private void drain() {
				if (this.stopped || this.draining) {
					return;
				}
				this.draining = true;
				write();
				long process = this.processStart;
				Simulation.this.timers.schedule(Duration.ofMillis(Simulation.this.random.nextLong(2_000, 4_000)),
						() -> {
							if (process == this.processStart) {
								this.stopped = true;
								Simulation.this.store.remove(StoreFormat.ENDPOINT_TABLE, this.id);
							}
						});
			}

			private void crash() {
				this.stopped = true;
			}

			private void freeze() {
				this.frozenUntil = Simulation.this.timers.milliTime() + Simulation.this.random.nextLong(500, 7_000);
			}

			private void restart() {
				if (!this.stopped) {
					return;
				}
				this.stopped = false;
				this.draining = false;
				this.frozenUntil = 0;
				this.processStart = ++Simulation.this.lastProcessStart;
				this.sequence = 0;
				write();
			}

		}

	}

	/**
	 * The tables of one gateway.
	 */
	private static final class Gateway {

		private final String name;

		private final EndpointDirectory directory = new EndpointDirectory();

		private final ConfigurationTable configuration;

		private final Set<Long> draining = new HashSet<>();

		private final Map<Long, Long> removedAt = new HashMap<>();

		private Set<Long> listed = new HashSet<>();

		private long highestVersion;

		private int memberCount;

		private int minimumMemberCount = Integer.MAX_VALUE;

		private int writes;

		private Gateway(Simulation simulation, String name) {
			this.name = name;
			StoreEra era = new StoreEra();
			EntryLog log = new EntryLog(simulation.timers, (line) -> {
			});
			List<TableWatcher> watchers = new ArrayList<>();
			StoreRestorationReport restorationReport = new StoreRestorationReport(simulation.timers, log,
					new EntryMetrics(), () -> watchers.get(0).revision());
			StoreCalls calls = simulation.store.calls(era, () -> this.writes++);
			this.configuration = new ConfigurationTable(simulation.timers, log, era, restorationReport, (newer) -> {
			});
			MemberTable members = new MemberTable(calls, simulation.timers, log,
					new MemberRecord(name, "10.0.0.2:7740", simulation.random.nextLong(1, 1_000_000)),
					restorationReport, (listed) -> this.memberCount = listed.size());
			SplittableRandom random = simulation.random.split();
			watchers.add(new TableWatcher(calls, simulation.timers, random, log, StoreFormat.CONFIGURATION_TABLE,
					() -> new TableWatcher.PollTiming(0, 2_000), this.configuration));
			watchers.add(new TableWatcher(calls, simulation.timers, random, log, StoreFormat.ENDPOINT_TABLE,
					() -> new TableWatcher.PollTiming(700, 0),
					new EndpointTable(this.directory, simulation.timers, log, restorationReport, null)));
			watchers.add(new TableWatcher(calls, simulation.timers, random, log, StoreFormat.MEMBER_TABLE,
					() -> new TableWatcher.PollTiming(3_000, 0), members));
			era.subscribe((previous, current) -> {
				if (previous != StoreEra.UNKNOWN) {
					restorationReport.begin(previous, current);
				}
				watchers.forEach(TableWatcher::onNewEra);
			});
			watchers.forEach(TableWatcher::start);
			members.start();
		}

	}

}
