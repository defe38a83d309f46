package org.magnoliahub.lease;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.disposables.SerialDisposable;
import org.magnoliahub.store.Condition;
import org.magnoliahub.store.Row;
import org.magnoliahub.store.RowKey;
import org.magnoliahub.store.TableStore;
import org.magnoliahub.store.Transaction;
import org.magnoliahub.store.TransactionResult;
import org.magnoliahub.store.Write;
import org.magnoliahub.time.TimerService;

/**
 * Acquires, renews and gives up the lease of one duty. Clocks of different processes are
 * never compared: the holder counts from the moment before it wrote, a candidate from the
 * moment after it read.
 */
public final class LeaseManager {

	static final String TABLE = "leases";

	private static final JsonMapper MAPPER = JsonMapper.builder()
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.build();

	private final TableStore tableStore;

	private final TimerService timers;

	private final LeaseSettings settings;

	private final RowKey key;

	private final SerialDisposable round = new SerialDisposable();

	private Optional<HeldLease> holding = Optional.empty();

	private Optional<ObservedRevision> observation = Optional.empty();

	private LeaseManager(TableStore tableStore, TimerService timers, LeaseSettings settings) {
		this.tableStore = tableStore;
		this.timers = timers;
		this.settings = settings;
		this.key = new RowKey(TABLE, settings.duty());
	}

	/**
	 * Creates a manager that does not hold the lease.
	 * @param tableStore the table service, whose results arrive on the event loop
	 * @param timers timer service of the event loop
	 * @param settings the settings
	 * @return the manager
	 */
	public static LeaseManager of(TableStore tableStore, TimerService timers, LeaseSettings settings) {
		return new LeaseManager(tableStore, timers, settings);
	}

	/**
	 * Starts to watch the row and to take the lease when it is free.
	 */
	public void start() {
		runRound();
	}

	/**
	 * Stops and, if this process holds the lease, frees it for an immediate takeover.
	 * @return completes when the row was written or could not be written
	 */
	public Completable release() {
		this.round.dispose();
		Optional<HeldLease> held = this.holding;
		this.holding = Optional.empty();
		if (held.isEmpty()) {
			return Completable.complete();
		}
		LeaseRow row = new LeaseRow("", held.get().row().fencingNumber(), held.get().row().renewals() + 1);
		return this.tableStore.commit(write(new Condition.RevisionEquals(this.key, held.get().revision()), row))
			.ignoreElement()
			.onErrorComplete();
	}

	/**
	 * Returns the fencing number if this process may act now. Callers ask before each
	 * command and attach the number, because a pause after the answer is not detected.
	 * @return the number, empty if the lease is not held or about to end
	 */
	public OptionalLong fencingNumber() {
		return this.holding.filter((held) -> this.timers.nanoTime() - held.validUntilNanos() < 0)
			.map((held) -> OptionalLong.of(held.row().fencingNumber()))
			.orElse(OptionalLong.empty());
	}

	private void runRound() {
		Completable work = this.holding.isPresent() ? renew(this.holding.get()) : watch();
		// An answer that takes longer than the interval is of no use; the row is read
		// again.
		this.round.set(work.takeUntil(this.timers.after(this.settings.interval()))
			.onErrorComplete()
			.andThen(this.timers.after(this.settings.interval()))
			.subscribe(this::runRound));
	}

	private Completable renew(HeldLease held) {
		if (held.revision() == HeldLease.UNKNOWN_REVISION) {
			return resolve(held);
		}
		LeaseRow next = held.row().renewed();
		return put(new Condition.RevisionEquals(this.key, held.revision()), next, held);
	}

	// Reads the row after a write without an answer.
	private Completable resolve(HeldLease held) {
		return this.tableStore.read(this.key).flatMapCompletable((row) -> {
			if (row.isEmpty()) {
				return loseLease();
			}
			LeaseRow current = decode(row.get());
			if (!isOwn(current, held.row().fencingNumber())) {
				return loseLease();
			}
			return put(new Condition.RevisionEquals(this.key, row.get().revision()), current.renewed(), held);
		});
	}

	private boolean isOwn(LeaseRow row, long fencingNumber) {
		return row.holder().equals(this.settings.holder()) && row.fencingNumber() == fencingNumber;
	}

	private Completable loseLease() {
		return Completable.fromAction(() -> {
			this.holding = Optional.empty();
			this.observation = Optional.empty();
		});
	}

	private Completable watch() {
		return this.tableStore.read(this.key).flatMapCompletable((row) -> {
			if (row.isEmpty()) {
				return take(new Condition.Absent(this.key), 1);
			}
			LeaseRow current = decode(row.get());
			if (isFree(row.get(), current)) {
				return take(new Condition.RevisionEquals(this.key, row.get().revision()), current.fencingNumber() + 1);
			}
			return Completable.complete();
		});
	}

	// Tells whether nobody can be acting under the row.
	private boolean isFree(Row row, LeaseRow lease) {
		if (lease.holder().isEmpty()) {
			return true;
		}
		long now = this.timers.nanoTime();
		if (this.observation.filter((seen) -> seen.revision() == row.revision()).isEmpty()) {
			this.observation = Optional.of(new ObservedRevision(row.revision(), now));
		}
		long unchangedNanos = now - this.observation.get().firstSeenNanos();
		return unchangedNanos >= this.settings.duration().toNanos();
	}

	private Completable take(Condition condition, long fencingNumber) {
		LeaseRow row = new LeaseRow(this.settings.holder(), fencingNumber, 0);
		HeldLease wanted = new HeldLease(row, HeldLease.UNKNOWN_REVISION, this.timers.nanoTime());
		return put(condition, row, wanted);
	}

	private Completable put(Condition condition, LeaseRow row, HeldLease before) {
		long validUntilNanos = this.timers.nanoTime() + this.settings.holderDuration().toNanos();
		// The holding is noted before the answer, so that a lost answer is resolved by
		// reading the row; it allows no action before the write is known to have
		// succeeded.
		this.holding = Optional.of(before.withUnknownRevision());
		return this.tableStore.commit(write(condition, row)).flatMapCompletable((result) -> {
			if (result instanceof TransactionResult.Committed committed) {
				return Completable.fromAction(
						() -> this.holding = Optional.of(new HeldLease(row, committed.revision(), validUntilNanos)));
			}
			return Completable.complete();
		});
	}

	private Transaction write(Condition condition, LeaseRow row) {
		return new Transaction(List.of(condition), List.of(new Write.Put(this.key, encode(row))));
	}

	private static String encode(LeaseRow row) {
		try {
			return MAPPER.writeValueAsString(row);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("cannot encode a lease", ex);
		}
	}

	static LeaseRow decode(Row row) throws JsonProcessingException {
		return MAPPER.readValue(row.value(), LeaseRow.class);
	}

	record LeaseRow(String holder, long fencingNumber, long renewals) {

		LeaseRow renewed() {
			return new LeaseRow(this.holder, this.fencingNumber, this.renewals + 1);
		}

	}

	private record ObservedRevision(long revision, long firstSeenNanos) {
	}

	private record HeldLease(LeaseRow row, long revision, long validUntilNanos) {

		static final long UNKNOWN_REVISION = -1;

		HeldLease withUnknownRevision() {
			return new HeldLease(this.row, UNKNOWN_REVISION, this.validUntilNanos);
		}

	}

}
