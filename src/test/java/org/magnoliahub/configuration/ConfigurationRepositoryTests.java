package org.magnoliahub.configuration;

import java.time.Instant;
import java.util.List;
import java.util.Random;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import org.junit.jupiter.api.Test;
import org.magnoliahub.model.Configuration;
import org.magnoliahub.store.StoreException;
import org.magnoliahub.time.SchedulerTimerService;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class ConfigurationRepositoryTests {

	private final FakeTableStore tableStore = new FakeTableStore();

	private final FakeObjectStore objectStore = new FakeObjectStore();

	private final ConfigurationRepository repository = ConfigurationRepository.of(this.tableStore, this.objectStore);

	private ConfigurationRepository newRepository() {
		return ConfigurationRepository.of(this.tableStore, this.objectStore);
	}

	private CommitResult commit(String id, long base, ItemChange... items) {
		return this.repository.commit(Samples.change(id, base, items)).blockingGet();
	}

	/**
	 * Guards against a lost update when two operators change the same version, and
	 * against a retried commit that takes effect twice or changes the audit trail.
	 */
	@Test
	void repeatedCommitsReturnTheSameResult() {
		for (int repeat = 0; repeat < 2; repeat++) {
			assertThat(commit("one", 0, Samples.putWorkspace("a", 1))).isEqualTo(new CommitResult.Accepted(1));
			assertThat(commit("two", 0, Samples.putWorkspace("a", 2))).isEqualTo(
					new CommitResult.Conflict(1, List.of(Samples.change("one", 0, Samples.putWorkspace("a", 1)))));
			assertThat(commit("one", 1, Samples.putWorkspace("a", 3))).isEqualTo(new CommitResult.IdReused(1));
			assertThat(commit("bad", 1, Samples.putWorkspace("a/", 3))).isInstanceOf(CommitResult.Invalid.class);
		}
		assertThat(this.repository.head().blockingGet().version()).isEqualTo(1);
		assertThat(this.repository.readAuditTrail(Instant.EPOCH, "", 10).blockingGet())
			.extracting((row) -> row.entry().changeId() + " " + row.entry().result())
			.containsExactlyInAnyOrder("one ACCEPTED", "two CONFLICT", "one ID_REUSED", "bad INVALID");
		assertThat(this.tableStore.auditRowRewritten).isFalse();
	}

	/**
	 * Guards against a change that is reported as failed or applied twice when the store
	 * commits it but its response is lost.
	 */
	@Test
	void resolvesLostResponses() {
		for (int seed = 0; seed < 30; seed++) {
			FakeTableStore store = new FakeTableStore();
			TestScheduler scheduler = new TestScheduler();
			FakeTableStore.Connection connection = new FakeTableStore.Connection(store,
					SchedulerTimerService.virtual(scheduler), new Random(seed));
			connection.lostResponseProbability = 1;
			ConfigurationRepository faulty = ConfigurationRepository.of(connection, this.objectStore);
			Single<CommitResult> commit = faulty.commit(Samples.change("one", 0, Samples.putWorkspace("a", 1)));
			var first = commit.test();
			scheduler.advanceTimeBy(5, java.util.concurrent.TimeUnit.SECONDS);
			if (first.values().isEmpty()) {
				first.assertError((error) -> error instanceof StoreException ex && ex.isEffectPossible());
			}
			connection.lostResponseProbability = 0;
			var second = commit.test();
			scheduler.advanceTimeBy(5, java.util.concurrent.TimeUnit.SECONDS);
			second.assertValue(new CommitResult.Accepted(1));
			assertThat(ConfigurationRepository.of(store, this.objectStore).head().blockingGet().version()).isEqualTo(1);
		}
	}

	/**
	 * Guards against a snapshot that differs from the changes, a snapshot that is never
	 * written after the object store failed once, and a load that fails while the object
	 * store is down.
	 */
	@Test
	void loadsTheSameContentWithAndWithoutSnapshots() {
		for (int version = 0; version < 205; version++) {
			this.objectStore.down = version == 199;
			commit("c" + version, version, Samples.putWorkspace("w" + version % 7, 1 + version));
		}
		assertThat(this.repository.newestSnapshotVersion(205).blockingGet()).isEqualTo(201);
		Configuration loaded = this.repository.load().blockingGet();
		assertThat(loaded.version()).isEqualTo(205);
		assertThat(loaded.workspaces()).hasSize(7).containsEntry("w1", Samples.workspace("w1", 205));
		for (long version : new long[] { 1, 100, 101, 199, 205 }) {
			this.objectStore.down = false;
			Configuration withSnapshot = newRepository().load(version).blockingGet();
			this.objectStore.down = true;
			assertThat(newRepository().load(version).blockingGet()).isEqualTo(withSnapshot);
		}
		assertThatThrownBy(() -> this.repository.load(206).blockingGet()).hasMessageContaining("does not exist");
	}

	/**
	 * Guards against commits that fail while the object store is down, and against a
	 * search that does not find an old snapshot beyond the first listing.
	 */
	@Test
	void commitsThroughALongOutageOfTheObjectStore() {
		for (int version = 0; version < 2_150; version++) {
			this.objectStore.down = version >= 100;
			commit("c" + version, version, Samples.putWorkspace("w" + version % 7, 1 + version));
		}
		this.objectStore.down = false;
		assertThat(newRepository().newestSnapshotVersion(2_150).blockingGet()).isEqualTo(100);
		assertThat(newRepository().load().blockingGet()).isEqualTo(this.repository.load().blockingGet());
	}

	/** Guards against rows that a process of another release cannot read. */
	@Test
	void jsonRoundTripPreservesContent() throws ConfigurationFormatException {
		List<ItemChange> items = ConfigurationEdits.difference(Configuration.empty(), Samples.configuration());
		ConfigurationChange change = Samples.change("c", 4, items.toArray(ItemChange[]::new));
		String text = ConfigurationCodec.encode(change);
		assertThat(ConfigurationCodec.decode(text, ConfigurationUpdate.class)).isEqualTo(change);
		assertThat(ConfigurationCodec.decode(text.replaceFirst("\\{", "{\"later\":1,"), ConfigurationChange.class))
			.isEqualTo(change);
		assertThat(ConfigurationCodec.decodeSnapshot(ConfigurationCodec.encodeSnapshot(Samples.configuration())))
			.isEqualTo(Samples.configuration());
		assertThatThrownBy(
				() -> ConfigurationCodec.decode(text.replace("\"baseVersion\":4,", ""), ConfigurationChange.class))
			.isInstanceOf(ConfigurationFormatException.class);
	}

}
