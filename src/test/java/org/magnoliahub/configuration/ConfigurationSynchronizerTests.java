package org.magnoliahub.configuration;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.magnoliahub.model.Configuration;
import org.magnoliahub.model.Workspace;
import org.magnoliahub.protocol.Message;
import org.magnoliahub.time.SchedulerTimerService;
import org.magnoliahub.time.TimerService;

import static org.assertj.core.api.Assertions.assertThat;

class ConfigurationSynchronizerTests {

	private static final int PROCESSES = 5;

	private static final int OPERATORS = 3;

	/**
	 * Guards against configurations that revert, diverge between processes, propagate too
	 * late or lose a change. Operators commit concurrently while processes restart, the
	 * stores fail or respond slowly and messages are lost.
	 */
	@Property(tries = 40)
	void convergesWithinTheLimitAndNeverReverts(@ForAll long seed) {
		Simulation simulation = new Simulation(seed);
		for (int index = 0; index < OPERATORS; index++) {
			new Operator(simulation, index).scheduleNextChange();
		}
		for (int second = 0; second < 60; second++) {
			simulation.injectFaults();
			simulation.advance(Duration.ofSeconds(1));
		}
		simulation.endFaults();
		simulation.advance(Duration.ofSeconds(15));
		simulation.operatorsStopped = true;
		simulation.advance(Duration.ofSeconds(15));
		simulation.checkFinalState();
	}

	/**
	 * Guards against a process that never becomes ready because the store is down when it
	 * starts, and against peers that send a snapshot in oversized messages.
	 */
	@Test
	void startsFromPeersWhileTheStoreIsDown() {
		Simulation simulation = new Simulation(1);
		ItemChange[] items = new ItemChange[2_000];
		for (int index = 0; index < items.length; index++) {
			items[index] = Samples.putWorkspace("workspace-" + index, 1);
		}
		simulation.commit(Samples.change("large", 0, items));
		simulation.advance(Duration.ofSeconds(12));
		simulation.processes.forEach((process) -> process.connection.down = true);
		simulation.networkUp = false;
		Process restarted = simulation.restart(0, true);
		simulation.advance(Duration.ofSeconds(27));
		assertThat(restarted.holder.status().ready()).isFalse();
		assertThat(restarted.holder.status().stale()).isTrue();
		assertThat(simulation.processes.get(1).holder.status()).matches(ConfigurationStatus::ready)
			.matches(ConfigurationStatus::stale)
			.extracting(ConfigurationStatus::version)
			.isEqualTo(1L);
		simulation.networkUp = true;
		simulation.advance(Duration.ofSeconds(5));
		assertThat(restarted.holder.status().ready()).isTrue();
		assertThat(restarted.holder.status().stale()).isFalse();
		assertThat(restarted.holder.configuration()).isEqualTo(simulation.processes.get(1).holder.configuration());
		assertThat(simulation.largestMessageCharacters).isLessThan(ConfigurationRepository.MAXIMUM_CHANGE_CHARACTERS);
	}

	/**
	 * Guards against applying malformed updates or updates for another version, and
	 * against peers that request such an update endlessly.
	 */
	@Test
	void ignoresMalformedAndInapplicableUpdates() {
		Simulation simulation = new Simulation(2);
		simulation.commit(Samples.change("one", 0, Samples.putWorkspace("a", 1)));
		simulation.advance(Duration.ofSeconds(12));
		ConfigurationSynchronizer holder = simulation.processes.get(0).holder;
		simulation.processes.get(0).connection.down = true;
		for (ConfigurationUpdate update : List.<ConfigurationUpdate>of(
				Samples.change("old", 0, Samples.putWorkspace("a", 9)),
				Samples.change("gap", 2, Samples.putWorkspace("a", 9)),
				new ConfigurationUpdate.SnapshotPart(1, 0, 1, List.of()),
				new ConfigurationUpdate.SnapshotPart(7, 1, 2, List.of()))) {
			holder.receive("process-1",
					new Message.ConfigurationChanges(8, List.of(ConfigurationCodec.encode(update), "{")));
		}
		simulation.advance(Duration.ofSeconds(12));
		assertThat(holder.configuration().workspaces()).containsExactly(Map.entry("a", Samples.workspace("a", 1)));
		assertThat(holder.status().malformedUpdates()).isEqualTo(4);
		assertThat(simulation.messageCount).isLessThan(200);
	}

	private static final class Simulation {

		final TestScheduler scheduler = new TestScheduler();

		final TimerService timers = SchedulerTimerService.virtual(this.scheduler);

		final Random random;

		final FakeTableStore store = new FakeTableStore();

		final FakeObjectStore objectStore = new FakeObjectStore();

		final List<Process> processes = new ArrayList<>();

		final Map<String, CommitResult> commitResults = new HashMap<>();

		final Set<String> violations = new HashSet<>();

		boolean networkUp = true;

		boolean faultsEnded;

		boolean operatorsStopped;

		double messageLoss;

		int messageCount;

		int largestMessageCharacters;

		Simulation(long seed) {
			this.random = new Random(seed);
			for (int index = 0; index < PROCESSES; index++) {
				this.processes.add(new Process(this, index, false));
			}
		}

		Process restart(int index, boolean down) {
			this.processes.get(index).holder.stop();
			this.processes.set(index, new Process(this, index, down));
			return this.processes.get(index);
		}

		void commit(ConfigurationChange change) {
			CommitResult result = ConfigurationRepository.of(this.store, this.objectStore).commit(change).blockingGet();
			assertThat(result).isEqualTo(new CommitResult.Accepted(change.version()));
		}

		void injectFaults() {
			this.messageLoss = this.random.nextDouble();
			this.objectStore.down = this.random.nextInt(4) == 0;
			for (int index = 0; index < PROCESSES; index++) {
				if (this.random.nextInt(20) == 0) {
					restart(index, this.random.nextBoolean());
				}
				FakeTableStore.Connection connection = this.processes.get(index).connection;
				connection.down = this.random.nextInt(3) == 0;
				connection.unresponsive = this.random.nextInt(6) == 0;
				connection.nextResponseDelay = Duration.ofMillis(this.random.nextInt(1_900));
			}
		}

		void endFaults() {
			this.faultsEnded = true;
			this.messageLoss = 0;
			this.objectStore.down = false;
			for (Process process : this.processes) {
				process.connection.down = false;
				process.connection.unresponsive = false;
			}
		}

		void advance(Duration duration) {
			this.scheduler.advanceTimeBy(duration.toNanos(), TimeUnit.NANOSECONDS);
		}

		void send(int from, String to, Message.ConfigurationChanges message) {
			this.messageCount++;
			this.largestMessageCharacters = Math.max(this.largestMessageCharacters,
					message.changes().stream().mapToInt(String::length).sum());
			if (!this.networkUp || this.random.nextDouble() < this.messageLoss) {
				return;
			}
			int index = Integer.parseInt(to.substring("process-".length()));
			this.timers.after(Duration.ofMillis(1 + this.random.nextInt(50)))
				.subscribe(() -> this.processes.get(index).holder.receive("process-" + from, message));
		}

		void expectPropagation(long version) {
			if (!this.faultsEnded) {
				return;
			}
			this.timers.after(Duration.ofSeconds(13)).subscribe(() -> {
				for (Process process : this.processes) {
					if (process.holder.configuration().version() < version) {
						this.violations.add("version " + version + " at process " + process.index);
					}
				}
			});
		}

		void checkFinalState() {
			ConfigurationRepository repository = ConfigurationRepository.of(this.store, this.objectStore);
			Configuration newest = repository.load().blockingGet();
			Map<String, Long> committed = new HashMap<>();
			for (long version = 1; version <= newest.version(); version++) {
				committed.put(repository.findChange(version).blockingGet().orElseThrow().id(), version);
			}
			assertThat(newest.version()).isGreaterThan(3);
			this.commitResults.forEach((id, result) -> assertThat(Optional.ofNullable(committed.get(id))).as(id)
				.isEqualTo((result instanceof CommitResult.Accepted accepted) ? Optional.of(accepted.version())
						: Optional.empty()));
			assertThat(this.commitResults.keySet()).containsAll(committed.keySet());
			assertThat(this.violations).isEmpty();
			assertThat(this.store.auditRowRewritten).isFalse();
			for (Process process : this.processes) {
				assertThat(process.holder.status().ready()).isTrue();
				assertThat(process.holder.configuration()).isEqualTo(newest);
				process.observedVersions.forEach(
						(version, content) -> assertThat(content).isEqualTo(repository.load(version).blockingGet()));
			}
		}

	}

	private static final class Process implements ConfigurationPeers {

		final Simulation simulation;

		final int index;

		final FakeTableStore.Connection connection;

		final ConfigurationSynchronizer holder;

		final Map<Long, Configuration> observedVersions = new HashMap<>();

		long highestVersion;

		Process(Simulation simulation, int index, boolean down) {
			this.simulation = simulation;
			this.index = index;
			this.connection = new FakeTableStore.Connection(simulation.store, simulation.timers, simulation.random);
			this.connection.down = down;
			this.holder = ConfigurationSynchronizer.of(
					ConfigurationRepository.of(this.connection, simulation.objectStore), this, simulation.timers,
					simulation.random);
			this.holder.configurations().subscribe((configuration) -> {
				if (configuration.version() < this.highestVersion) {
					simulation.violations.add("process " + index + " went from version " + this.highestVersion + " to "
							+ configuration.version());
				}
				this.highestVersion = configuration.version();
				this.observedVersions.put(configuration.version(), configuration);
			});
			this.holder.start();
		}

		@Override
		public List<String> connected() {
			return this.simulation.processes.stream()
				.filter((process) -> process.index != this.index)
				.map((process) -> "process-" + process.index)
				.toList();
		}

		@Override
		public void send(String peer, Message.ConfigurationChanges message) {
			this.simulation.send(this.index, peer, message);
		}

	}

	/**
	 * Commits changes based on the version it last read, and retries each until its
	 * result is known.
	 */
	private static final class Operator {

		final Simulation simulation;

		final int index;

		final FakeTableStore.Connection connection;

		final ConfigurationRepository repository;

		int changeCount;

		Operator(Simulation simulation, int index) {
			this.simulation = simulation;
			this.index = index;
			this.connection = new FakeTableStore.Connection(simulation.store, simulation.timers, simulation.random);
			this.connection.lostResponseProbability = 0.3;
			this.repository = ConfigurationRepository.of(this.connection, simulation.objectStore);
		}

		void scheduleNextChange() {
			randomDelay().subscribe(this::submitNextChange);
		}

		private io.reactivex.rxjava3.core.Completable randomDelay() {
			return this.simulation.timers.after(Duration.ofMillis(this.simulation.random.nextInt(1_500)));
		}

		private void submitNextChange() {
			if (this.simulation.operatorsStopped) {
				return;
			}
			this.connection.down = !this.simulation.faultsEnded && this.simulation.random.nextInt(5) == 0;
			this.repository.head()
				.subscribe((head) -> submit(createChange(head.version())), (error) -> scheduleNextChange());
		}

		private ConfigurationChange createChange(long base) {
			String id = this.index + "-" + this.changeCount++;
			Workspace randomWorkspace = Samples.workspace("w" + this.simulation.random.nextInt(4), this.changeCount);
			Workspace shared = Samples.workspace("shared", 1 + this.index);
			return ConfigurationChange.of(id, base, "operator",
					Instant.ofEpochMilli(this.simulation.timers.milliTime()), "",
					List.of(new ItemChange.PutWorkspace(randomWorkspace), new ItemChange.PutWorkspace(shared)));
		}

		private void submit(ConfigurationChange change) {
			this.connection.nextResponseDelay = Duration.ofMillis(this.simulation.random.nextInt(400));
			this.repository.commit(change).subscribe((result) -> {
				this.simulation.commitResults.put(change.id(), result);
				if (result instanceof CommitResult.Accepted accepted) {
					this.simulation.expectPropagation(accepted.version());
				}
				scheduleNextChange();
			}, (error) -> randomDelay().subscribe(() -> {
				this.connection.down = false;
				submit(change);
			}));
		}

	}

}
