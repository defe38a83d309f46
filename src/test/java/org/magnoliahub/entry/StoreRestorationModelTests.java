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
 * Plays a store that comes back from older copies, with late and lost answers, against
 * the tables of three gateways. Guards against a configuration that goes back, work for
 * endpoints that are known to have left, and views that do not become those of the store.
 */
class StoreRestorationModelTests {

	/** Seeds of a build; {@code -Dmodel.seeds=5000} plays more. */
	private static final int SEEDS = Integer.getInteger("model.seeds", 150);

	private static final String SERVICE = "plain";

	private static final long STEP_MILLIS = 50;

	private static final long PLAY_MILLIS = 30_000;

	private static final long QUIET_MILLIS = 16_000;

	private static final long HEARTBEAT_MILLIS = 1_200;

	/**
	 * Age of what the latest answer says, which may have been lost and asked for again.
	 */
	private static final long ANSWER_MILLIS = 3_500;

	@Test
	void viewsFollowTheStoreThroughEveryReturn() {
		for (int seed = 1; seed <= SEEDS; seed++) {
			new Simulation(seed).run();
		}
	}

	@Test
	void ownRowIsWrittenOnceForEachReturn() {
		Simulation play = new Simulation(7);
		play.pass(5_000);
		int before = play.gateways.get(0).writes;
		play.store.rollBack(300, 4_500);
		play.pass(20_000);
		assertThat(play.gateways.get(0).writes - before).isLessThanOrEqualTo(1);
		assertThat(play.store.keys(StoreFormat.MEMBER_TABLE)).containsExactly("gateway-0", "gateway-1", "gateway-2");
	}

	@Test
	void sharesStayWhileRowsOfGatewaysAreMissing() {
		Simulation play = new Simulation(8);
		play.pass(3_000);
		Gateway gateway = play.gateways.get(0);
		gateway.smallest = Integer.MAX_VALUE;
		// The copy is older than all rows of gateways.
		play.store.rollBack(200, 8_000);
		play.pass(12_000);
		assertThat(gateway.smallest).isGreaterThanOrEqualTo(2);
	}

	/**
	 * One seed.
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

		private long born = 1_000;

		private Simulation(int seed) {
			this.name = "seed " + seed;
			this.random = new SplittableRandom(seed);
			this.store = new SimulatedStore(this.timers, this.random.split());
			for (int index = 0; index < 5; index++) {
				this.endpoints.add(new Endpoint("e-" + index));
			}
			changeConfiguration();
			this.timers.repeat(Duration.ofMillis(1_000), this::writeConfiguration);
			for (int index = 0; index < 3; index++) {
				this.gateways.add(new Gateway(this, "gateway-" + index));
			}
		}

		private void changeConfiguration() {
			this.configurationVersion += 1 + this.random.nextInt(3);
			writeConfiguration();
		}

		// The operator writes again what the store lost.
		private void writeConfiguration() {
			String text = EmulatedSettings.configuration(this.configurationVersion, List.of());
			if (!this.store.value(StoreFormat.CONFIGURATION_TABLE, StoreFormat.CONFIGURATION_KEY).equals(text)) {
				this.store.write(StoreFormat.CONFIGURATION_TABLE, StoreFormat.CONFIGURATION_KEY, text);
			}
		}

		private void run() {
			this.store.setLostShare(0.05);
			for (long now = 0; now < PLAY_MILLIS; now += STEP_MILLIS) {
				if (this.random.nextInt(12) == 0) {
					disturb();
				}
				pass(STEP_MILLIS);
			}
			this.store.setLostShare(0);
			pass(QUIET_MILLIS);
			this.gateways.forEach(this::checkView);
			assertThat(this.store.keys(StoreFormat.MEMBER_TABLE)).as(this.name)
				.containsExactly("gateway-0", "gateway-1", "gateway-2");
		}

		private void disturb() {
			Endpoint endpoint = this.endpoints.get(this.random.nextInt(5));
			switch (this.random.nextInt(7)) {
				case 0 -> endpoint.drain();
				case 1 -> endpoint.crash();
				case 2 -> endpoint.startAgain();
				case 3 -> endpoint.freeze();
				case 4 -> changeConfiguration();
				case 5 -> {
					if (!this.store.isAway()) {
						this.store.rollBack(this.random.nextLong(1, 2_500), this.random.nextLong(0, 6_000));
					}
				}
				default -> {
				}
			}
		}

		private void pass(long millis) {
			for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
				this.scheduler.advanceTimeBy(STEP_MILLIS, TimeUnit.MILLISECONDS);
				this.gateways.forEach(this::checkAlways);
			}
		}

		private void checkAlways(Gateway gateway) {
			long now = this.timers.milliTime();
			long version = gateway.configuration.version();
			assertThat(version).as(this.name + ": configuration of " + gateway.name)
				.isGreaterThanOrEqualTo(gateway.seen);
			gateway.seen = version;
			checkLeft(gateway, now);
			gateway.smallest = Math.min(gateway.smallest, gateway.memberCount);
		}

		private void checkLeft(Gateway gateway, long now) {
			Set<Long> listed = new HashSet<>();
			for (EndpointState endpoint : gateway.directory.all()) {
				listed.add(endpoint.record().processStartMillis());
				if (endpoint.isDraining()) {
					gateway.leaving.add(endpoint.record().processStartMillis());
				}
			}
			gateway.listed.stream()
				.filter((process) -> !listed.contains(process))
				.forEach((process) -> gateway.goneAt.put(process, now));
			gateway.listed = listed;
			for (EndpointState endpoint : gateway.directory.availableEndpoints(SERVICE, now)) {
				EndpointRecord record = endpoint.record();
				String text = this.name + ": " + record + " at " + gateway.name + ", " + now;
				assertThat(gateway.leaving).as(text).doesNotContain(record.processStartMillis());
				// An endpoint that is gone is back only by a write that it made since.
				long written = this.written.getOrDefault(record.processStartMillis() + "/" + record.sequence(), 0L);
				assertThat(written).as(text)
					.isGreaterThan(gateway.goneAt.getOrDefault(record.processStartMillis(), 0L) - ANSWER_MILLIS);
			}
		}

		private void checkView(Gateway gateway) {
			long now = this.timers.milliTime();
			Set<Long> usable = new TreeSet<>();
			gateway.directory.availableEndpoints(SERVICE, now)
				.forEach((endpoint) -> usable.add(endpoint.record().processStartMillis()));
			Set<Long> ready = new TreeSet<>();
			this.endpoints.stream()
				.filter((endpoint) -> !endpoint.ended && !endpoint.draining)
				.forEach((endpoint) -> ready.add(endpoint.bornMillis));
			assertThat(usable).as(this.name + ": endpoints of " + gateway.name).isEqualTo(ready);
			assertThat(gateway.configuration.version()).as(this.name).isEqualTo(this.configurationVersion);
			assertThat(gateway.memberCount).as(this.name + ": members of " + gateway.name).isEqualTo(3);
		}

		/**
		 * An endpoint that writes its row again and again.
		 */
		private final class Endpoint {

			private final String id;

			private long bornMillis;

			private long sequence;

			private boolean draining;

			private boolean ended;

			private long frozenUntil;

			private Endpoint(String id) {
				this.id = id;
				this.bornMillis = ++Simulation.this.born;
				Simulation.this.timers.schedule(Duration.ofMillis(Simulation.this.random.nextLong(HEARTBEAT_MILLIS)),
						this::write);
				Simulation.this.timers.repeat(Duration.ofMillis(HEARTBEAT_MILLIS), this::write);
			}

			private void write() {
				if (this.ended || Simulation.this.timers.milliTime() < this.frozenUntil) {
					return;
				}
				Simulation.this.written.put(this.bornMillis + "/" + (this.sequence + 1),
						Simulation.this.timers.milliTime());
				Simulation.this.store.write(StoreFormat.ENDPOINT_TABLE, this.id,
						EmulatedSettings.endpoint(SERVICE, "10.0.0.1:80", 4, this.draining ? "draining" : "ready",
								new EmulatedSettings.Write(this.bornMillis, ++this.sequence)));
			}

			private void drain() {
				if (this.ended || this.draining) {
					return;
				}
				this.draining = true;
				write();
				long process = this.bornMillis;
				Simulation.this.timers.schedule(Duration.ofMillis(Simulation.this.random.nextLong(2_000, 4_000)),
						() -> {
							if (process == this.bornMillis) {
								this.ended = true;
								Simulation.this.store.remove(StoreFormat.ENDPOINT_TABLE, this.id);
							}
						});
			}

			private void crash() {
				this.ended = true;
			}

			private void freeze() {
				this.frozenUntil = Simulation.this.timers.milliTime() + Simulation.this.random.nextLong(500, 7_000);
			}

			private void startAgain() {
				if (!this.ended) {
					return;
				}
				this.ended = false;
				this.draining = false;
				this.frozenUntil = 0;
				this.bornMillis = ++Simulation.this.born;
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

		private final Set<Long> leaving = new HashSet<>();

		private final Map<Long, Long> goneAt = new HashMap<>();

		private Set<Long> listed = new HashSet<>();

		private long seen;

		private int memberCount;

		private int smallest = Integer.MAX_VALUE;

		private int writes;

		private Gateway(Simulation play, String name) {
			this.name = name;
			StoreEra era = new StoreEra();
			EntryLog log = new EntryLog(play.timers, (line) -> {
			});
			List<TableWatcher> watchers = new ArrayList<>();
			StoreRestorationReport restoration = new StoreRestorationReport(play.timers, log, new EntryMetrics(),
					() -> watchers.get(0).revision());
			StoreCalls calls = play.store.calls(era, () -> this.writes++);
			this.configuration = new ConfigurationTable(log, restoration, (newer) -> {
			});
			MemberTable members = new MemberTable(calls, play.timers, log,
					new MemberRecord(name, "10.0.0.2:7740", play.random.nextLong(1, 1_000_000)), restoration,
					(listed) -> this.memberCount = listed.size());
			SplittableRandom random = play.random.split();
			watchers.add(new TableWatcher(calls, play.timers, random, log, StoreFormat.CONFIGURATION_TABLE,
					() -> new TableWatcher.PollTiming(0, 2_000), this.configuration));
			watchers.add(new TableWatcher(calls, play.timers, random, log, StoreFormat.ENDPOINT_TABLE,
					() -> new TableWatcher.PollTiming(700, 0),
					new EndpointTable(this.directory, play.timers, log, restoration)));
			watchers.add(new TableWatcher(calls, play.timers, random, log, StoreFormat.MEMBER_TABLE,
					() -> new TableWatcher.PollTiming(3_000, 0), members));
			era.subscribe((previous, current) -> {
				if (previous != StoreEra.UNKNOWN) {
					restoration.begin(previous, current);
				}
				watchers.forEach(TableWatcher::onNewEra);
			});
			watchers.forEach(TableWatcher::start);
			members.start();
		}

	}

}
