package org.magnoliahub.configuration;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import org.magnoliahub.model.Configuration;
import org.magnoliahub.store.Condition;
import org.magnoliahub.store.ObjectStore;
import org.magnoliahub.store.PutCondition;
import org.magnoliahub.store.Row;
import org.magnoliahub.store.RowKey;
import org.magnoliahub.store.StoreException;
import org.magnoliahub.store.TableStore;
import org.magnoliahub.store.Transaction;
import org.magnoliahub.store.TransactionResult;
import org.magnoliahub.store.Write;

/**
 * Stores configuration versions as changes in the table service and as snapshots in the
 * object store. Every operation can fail with a {@link StoreException}.
 */
public final class ConfigurationRepository {

	/** Maximum number of changes that one read returns. */
	public static final int MAXIMUM_CHANGES_PER_READ = 100;

	/**
	 * Maximum size of a change as JSON, in characters. Its UTF-8 form has at most three
	 * times as many bytes, which fits into one message of 1 MiB between processes.
	 */
	public static final int MAXIMUM_CHANGE_CHARACTERS = 256 * 1024;

	/** Number of versions from one snapshot to the next. */
	static final int SNAPSHOT_INTERVAL = 100;

	/** Maximum version that is rebuilt from changes alone if no snapshot can be read. */
	static final int MAXIMUM_CHANGES_WITHOUT_SNAPSHOT = 5_000;

	/**
	 * Number of versions that one listing of snapshots covers, counted down from the
	 * requested version.
	 */
	private static final int SNAPSHOT_SEARCH_RANGE = 20 * SNAPSHOT_INTERVAL;

	/** Limit of one listing, above the number of snapshots in its range. */
	private static final int MAXIMUM_SNAPSHOT_KEYS = 100;

	/** Changes per read while loading. It limits the response if changes are large. */
	private static final int CHANGES_PER_LOAD_READ = 20;

	private static final int MAXIMUM_ATTEMPTS = 3;

	private static final RowKey HEAD = new RowKey("configuration_head", "head");

	private static final String CHANGES = "configuration_changes";

	private static final String CHANGE_IDS = "configuration_change_ids";

	private static final String AUDIT = "configuration_audit";

	private static final String SNAPSHOTS = "configuration/snapshots/";

	private final TableStore tableStore;

	private final ObjectStore objectStore;

	/** Newest loaded version, cached so that a commit needs few reads and no snapshot. */
	private Loaded latestLoaded = new Loaded(Configuration.empty(), 0);

	private ConfigurationRepository(TableStore tableStore, ObjectStore objectStore) {
		this.tableStore = tableStore;
		this.objectStore = objectStore;
	}

	/**
	 * Creates a repository.
	 * @param tableStore the table service
	 * @param objectStore the object store
	 * @return the repository
	 */
	public static ConfigurationRepository of(TableStore tableStore, ObjectStore objectStore) {
		return new ConfigurationRepository(tableStore, objectStore);
	}

	private static String zeroPadded(long number) {
		return String.format("%019d", number);
	}

	private static RowKey changeKey(long version) {
		return new RowKey(CHANGES, zeroPadded(version));
	}

	private static String snapshotKey(long version) {
		return SNAPSHOTS + zeroPadded(version) + ".json";
	}

	private static long snapshotVersion(String key) {
		return Long.parseLong(key.substring(SNAPSHOTS.length(), key.length() - ".json".length()));
	}

	private static <T> Single<T> decode(String text, Class<T> type) {
		return Single.fromCallable(() -> ConfigurationCodec.decode(text, type));
	}

	/**
	 * Reads the newest version.
	 * @return the head
	 */
	public Single<ConfigurationHead> head() {
		return this.tableStore.read(HEAD).flatMap((row) -> {
			if (row.isEmpty()) {
				return Single.just(new ConfigurationHead(0, "", 0));
			}
			return decode(row.get().value(), HeadRow.class)
				.map((head) -> new ConfigurationHead(head.version(), head.changeId(), row.get().revision()));
		});
	}

	/**
	 * Commits a change if its base version is still the newest. A commit can be retried
	 * safely with the same id and then has the same result.
	 * @param change the change
	 * @return the result; a {@link StoreException} with a possible effect means that the
	 * same change must be committed again to learn the result
	 */
	public Single<CommitResult> commit(ConfigurationChange change) {
		int characters = ConfigurationCodec.encode(change).length();
		if (characters > MAXIMUM_CHANGE_CHARACTERS) {
			return refuse(change, AuditEntry.Result.TOO_LARGE, change.baseVersion(),
					List.of(characters + " characters"), new CommitResult.TooLarge(characters));
		}
		return attemptCommit(change, MAXIMUM_ATTEMPTS);
	}

	/**
	 * Reads the changes after a version.
	 * @param version the version before the first change to read
	 * @param limit maximum number of changes, at least 1; a limit above
	 * {@value #MAXIMUM_CHANGES_PER_READ} is reduced to that
	 * @return the changes, oldest first, possibly empty
	 */
	public Single<List<ConfigurationChange>> changesSince(long version, int limit) {
		return this.tableStore.scan(CHANGES, zeroPadded(version + 1), Math.min(limit, MAXIMUM_CHANGES_PER_READ))
			.map((rows) -> {
				List<ConfigurationChange> changes = new ArrayList<>();
				for (Row row : rows) {
					ConfigurationChange change = ConfigurationCodec.decode(row.value(), ConfigurationChange.class);
					if (change.version() != version + changes.size() + 1) {
						throw new StoreException("expected the change of version " + (version + changes.size() + 1)
								+ " in the table " + CHANGES + ", but found version " + change.version(), false);
					}
					changes.add(change);
				}
				return changes;
			});
	}

	/**
	 * Finds the change that created a version.
	 * @param version the version
	 * @return the change, empty if there is no such version
	 */
	public Single<Optional<ConfigurationChange>> findChange(long version) {
		return this.tableStore.read(changeKey(version)).flatMap((row) -> {
			if (row.isEmpty()) {
				return Single.just(Optional.empty());
			}
			return decode(row.get().value(), ConfigurationChange.class).map(Optional::of);
		});
	}

	/**
	 * Loads the newest configuration.
	 * @return the configuration, which is empty before the first commit
	 */
	public Single<Configuration> load() {
		return head().flatMap((head) -> load(head.version()));
	}

	/**
	 * Loads the configuration of a version.
	 * @param version the version, at least 0
	 * @return the configuration; a {@link StoreException} if the version does not exist
	 */
	public Single<Configuration> load(long version) {
		return loadWithSnapshot(version).map(Loaded::configuration);
	}

	/**
	 * Finds the newest snapshot that is not newer than a version.
	 * @param version the version
	 * @return the version of the snapshot, 0 if there is none
	 */
	public Single<Long> newestSnapshotVersion(long version) {
		long lowest = Math.max(0, version - SNAPSHOT_SEARCH_RANGE);
		return this.objectStore.list(SNAPSHOTS, snapshotKey(lowest), MAXIMUM_SNAPSHOT_KEYS).flatMap((keys) -> {
			long newest = keys.stream()
				.mapToLong(ConfigurationRepository::snapshotVersion)
				.filter((candidate) -> candidate <= version)
				.max()
				.orElse(0);
			return (newest == 0 && lowest > 0) ? newestSnapshotVersion(lowest) : Single.just(newest);
		});
	}

	/**
	 * Reads a page of the audit trail.
	 * @param from earliest time of an entry, used for the first page only
	 * @param after key of the last entry of the previous page, empty for the first page
	 * @param limit maximum number of entries, at least 1
	 * @return entries with their keys, in order of time
	 */
	public Single<List<AuditRow>> readAuditTrail(Instant from, String after, int limit) {
		// Appending a zero character gives the smallest key greater than the given one.
		String fromKey = after.isEmpty() ? zeroPadded(from.toEpochMilli()) : after + '\0';
		return this.tableStore.scan(AUDIT, fromKey, limit).map((rows) -> {
			List<AuditRow> entries = new ArrayList<>();
			for (Row row : rows) {
				entries.add(new AuditRow(row.key().key(), ConfigurationCodec.decode(row.value(), AuditEntry.class)));
			}
			return entries;
		});
	}

	/**
	 * Adds an entry to the audit trail. Adding the same entry again has no effect.
	 * @param entry the entry
	 * @return completes when the entry is stored
	 */
	public Completable appendAuditEntry(AuditEntry entry) {
		Write.Put write = auditWrite(entry);
		Transaction insert = new Transaction(List.of(new Condition.Absent(write.key())), List.of(write));
		// If the row exists, an earlier attempt wrote it and its response was lost.
		return this.tableStore.commit(insert).retry(MAXIMUM_ATTEMPTS - 1).ignoreElement();
	}

	/**
	 * Returns the write that adds an entry, for use in a transaction with other writes.
	 * @param entry the entry
	 * @return the write, which must not replace an existing row
	 */
	public static Write.Put auditWrite(AuditEntry entry) {
		return new Write.Put(auditKey(entry), ConfigurationCodec.encode(entry));
	}

	private Single<CommitResult> attemptCommit(ConfigurationChange change, int attemptsLeft) {
		// The head is read before the id. In the opposite order, a delayed write of this
		// change that takes effect between the two reads would look like a conflict.
		return head().flatMap((head) -> findChangeById(change.id()).flatMap((recorded) -> {
			if (recorded.isPresent()) {
				return resolveRepeatedCommit(change, recorded.get());
			}
			if (head.version() != change.baseVersion()) {
				return refuseConflict(change, head);
			}
			return loadWithSnapshot(head.version())
				.flatMap((base) -> validateAndWrite(change, head, base, attemptsLeft));
		}));
	}

	private Single<Optional<ConfigurationChange>> findChangeById(String id) {
		return this.tableStore.read(new RowKey(CHANGE_IDS, id)).flatMap((row) -> {
			if (row.isEmpty()) {
				return Single.just(Optional.empty());
			}
			return decode(row.get().value(), IdRow.class).flatMap((idRow) -> findChange(idRow.version()));
		});
	}

	private Single<CommitResult> resolveRepeatedCommit(ConfigurationChange change, ConfigurationChange recorded) {
		if (recorded.hasSameEffectAs(change)) {
			return Single.just(new CommitResult.Accepted(recorded.version()));
		}
		return refuse(change, AuditEntry.Result.ID_REUSED, recorded.version(),
				List.of("the id belongs to version " + recorded.version()),
				new CommitResult.IdReused(recorded.version()));
	}

	private Single<CommitResult> refuseConflict(ConfigurationChange change, ConfigurationHead head) {
		return changesSince(change.baseVersion(), MAXIMUM_CHANGES_PER_READ).flatMap((changes) -> refuse(change,
				AuditEntry.Result.CONFLICT, head.version(), List.of("the newest version is " + head.version()),
				new CommitResult.Conflict(head.version(), changes)));
	}

	private Single<CommitResult> validateAndWrite(ConfigurationChange change, ConfigurationHead head, Loaded base,
			int attemptsLeft) {
		List<ConfigurationFault> faults = ConfigurationValidator.validate(base.configuration(), change);
		if (!faults.isEmpty()) {
			return refuse(change, AuditEntry.Result.INVALID, head.version(),
					faults.stream().map(ConfigurationFault::toString).toList(), new CommitResult.Invalid(faults));
		}
		return this.tableStore.commit(commitTransaction(change, head))
			.map(TransactionResult.Committed.class::isInstance)
			.onErrorResumeNext((error) -> mayHaveTakenEffect(error) ? Single.just(false) : Single.error(error))
			.flatMap((committed) -> committed ? Single.just(new CommitResult.Accepted(change.version()))
					: retryAfterUnknownOutcome(change, attemptsLeft))
			.flatMap((result) -> (result instanceof CommitResult.Accepted)
					? writeSnapshot(change, base).andThen(Single.just(result)) : Single.just(result));
	}

	private Single<CommitResult> retryAfterUnknownOutcome(ConfigurationChange change, int attemptsLeft) {
		StoreException outcomeUnknown = new StoreException("outcome of the commit of change " + change.id()
				+ " is unknown; commit it again with the same id to learn the outcome", true);
		if (attemptsLeft <= 1) {
			return Single.error(outcomeUnknown);
		}
		return attemptCommit(change, attemptsLeft - 1).onErrorResumeNext((error) -> Single.error(outcomeUnknown));
	}

	private static boolean mayHaveTakenEffect(Throwable error) {
		return !(error instanceof StoreException storeException) || storeException.isEffectPossible();
	}

	private Transaction commitTransaction(ConfigurationChange change, ConfigurationHead head) {
		RowKey id = new RowKey(CHANGE_IDS, change.id());
		AuditEntry entry = AuditEntry.of(change, AuditEntry.Result.ACCEPTED, change.version(), List.of());
		RowKey audit = auditKey(entry);
		Condition headUnchanged = (head.revision() == 0) ? new Condition.Absent(HEAD)
				: new Condition.RevisionEquals(HEAD, head.revision());
		return new Transaction(
				List.of(headUnchanged, new Condition.Absent(id), new Condition.Absent(changeKey(change.version())),
						new Condition.Absent(audit)),
				List.of(new Write.Put(HEAD, ConfigurationCodec.encode(new HeadRow(change.version(), change.id()))),
						new Write.Put(id, ConfigurationCodec.encode(new IdRow(change.version()))),
						new Write.Put(changeKey(change.version()), ConfigurationCodec.encode(change)),
						new Write.Put(audit, ConfigurationCodec.encode(entry))));
	}

	private static RowKey auditKey(AuditEntry entry) {
		return new RowKey(AUDIT,
				zeroPadded(entry.time().toEpochMilli()) + "-" + entry.changeId() + "-" + entry.result().name());
	}

	private Single<CommitResult> refuse(ConfigurationChange change, AuditEntry.Result result, long version,
			List<String> faults, CommitResult commitResult) {
		return appendAuditEntry(AuditEntry.of(change, result, version, faults)).andThen(Single.just(commitResult));
	}

	private Completable writeSnapshot(ConfigurationChange change, Loaded base) {
		if (change.version() % SNAPSHOT_INTERVAL != 0 && change.version() - base.snapshot() < SNAPSHOT_INTERVAL) {
			return Completable.complete();
		}
		Configuration configuration = ConfigurationEdits.applyAll(base.configuration(), List.of(change));
		// The change is already committed, so a failure is ignored. A later commit writes
		// the missing snapshot.
		return this.objectStore
			.put(snapshotKey(change.version()), ConfigurationCodec.encodeSnapshot(configuration),
					new PutCondition.IfAbsent())
			.doOnSuccess((tag) -> this.latestLoaded = new Loaded(configuration, change.version()))
			.ignoreElement()
			.onErrorComplete();
	}

	private Single<Loaded> loadWithSnapshot(long version) {
		if (version == 0) {
			return Single.just(new Loaded(Configuration.empty(), 0));
		}
		long missing = version - this.latestLoaded.configuration().version();
		Single<Loaded> start = (missing >= 0 && missing <= SNAPSHOT_INTERVAL) ? Single.just(this.latestLoaded)
				: newestSnapshotVersion(version).flatMap(this::readSnapshot)
					.onErrorResumeNext((error) -> (version <= MAXIMUM_CHANGES_WITHOUT_SNAPSHOT)
							? Single.just(Configuration.empty()) : Single.error(error))
					.map((snapshot) -> new Loaded(snapshot, snapshot.version()));
		return start
			.flatMap((base) -> applyUpTo(base.configuration(), version)
				.map((configuration) -> new Loaded(configuration, base.snapshot())))
			.doOnSuccess((loaded) -> {
				if (version > this.latestLoaded.configuration().version()) {
					this.latestLoaded = loaded;
				}
			});
	}

	private Single<Configuration> readSnapshot(long version) {
		if (version == 0) {
			return Single.just(Configuration.empty());
		}
		return this.objectStore.get(snapshotKey(version))
			.map((object) -> ConfigurationCodec.decodeSnapshot(object
				.orElseThrow(() -> new StoreException("snapshot of version " + version + " does not exist", false))
				.content()));
	}

	private Single<Configuration> applyUpTo(Configuration configuration, long version) {
		long missing = version - configuration.version();
		if (missing == 0) {
			return Single.just(configuration);
		}
		return changesSince(configuration.version(), (int) Math.min(missing, CHANGES_PER_LOAD_READ))
			.flatMap((changes) -> {
				if (changes.isEmpty()) {
					return Single.error(new StoreException(
							"version " + version + " does not exist, the newest version is " + configuration.version(),
							false));
				}
				return applyUpTo(ConfigurationEdits.applyAll(configuration, changes), version);
			});
	}

	/**
	 * Audit entry with the key of its row.
	 *
	 * @param key key of the row
	 * @param entry the entry
	 */
	public record AuditRow(String key, AuditEntry entry) {
	}

	private record HeadRow(long version, String changeId) {
	}

	private record IdRow(long version) {
	}

	private record Loaded(Configuration configuration, long snapshot) {
	}

}
