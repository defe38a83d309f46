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
 * Acquires, renews and releases the lease of one duty. Clocks of different processes are
 * never compared: the holder measures the duration of the lease from before its write, a
 * candidate from after its read.
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

	private final SerialDisposable cycle = new SerialDisposable();

	private Optional<HeldLease> heldLease = Optional.empty();

	/** Last revision that a candidate has read, and when it was read first. */
	private Optional<ObservedRevision> observedRevision = Optional.empty();

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
	 * Starts to read the row periodically, and acquires the lease when it is free.
	 */
	public void start() {
		runCycle();
	}

	/**
	 * Stops and, if this process holds the lease, releases it, so that a candidate can
	 * take over at once.
	 * @return completes when the write has succeeded or failed
	 */
	public Completable release() {
		this.cycle.dispose();
		Optional<HeldLease> held = this.heldLease;
		this.heldLease = Optional.empty();
		if (held.isEmpty()) {
			return Completable.complete();
		}
		LeaseRow row = new LeaseRow("", held.get().row().fencingNumber(), held.get().row().renewals() + 1);
		return this.tableStore.commit(transaction(new Condition.RevisionEquals(this.key, held.get().revision()), row))
			.ignoreElement()
			.onErrorComplete();
	}

	/**
	 * Returns the fencing number if this process holds a valid lease. Callers get it
	 * before each command and send it with the command, because the lease may expire
	 * during a process pause after this call.
	 * @return the number, empty if the lease is not held or about to expire
	 */
	public OptionalLong fencingNumber() {
		return this.heldLease.filter((held) -> this.timers.nanoTime() - held.validUntilNanos() < 0)
			.map((held) -> OptionalLong.of(held.row().fencingNumber()))
			.orElse(OptionalLong.empty());
	}

	private void runCycle() {
		Completable work = this.heldLease.isPresent() ? renew(this.heldLease.get()) : acquireIfFree();
		// A response that takes longer than the interval is not awaited; the next cycle
		// reads the row again.
		this.cycle.set(work.takeUntil(this.timers.after(this.settings.renewalInterval()))
			.onErrorComplete()
			.andThen(this.timers.after(this.settings.renewalInterval()))
			.subscribe(this::runCycle));
	}

	private Completable renew(HeldLease held) {
		if (held.revision() == HeldLease.UNKNOWN_REVISION) {
			return resolveUnknownWrite(held);
		}
		LeaseRow next = held.row().renewed();
		return commit(new Condition.RevisionEquals(this.key, held.revision()), next, held);
	}

	// Reads the row after a write whose response was lost.
	private Completable resolveUnknownWrite(HeldLease held) {
		return this.tableStore.read(this.key).flatMapCompletable((row) -> {
			if (row.isEmpty()) {
				return dropLease();
			}
			LeaseRow current = decode(row.get());
			if (!isOwn(current, held.row().fencingNumber())) {
				return dropLease();
			}
			return commit(new Condition.RevisionEquals(this.key, row.get().revision()), current.renewed(), held);
		});
	}

	private boolean isOwn(LeaseRow row, long fencingNumber) {
		return row.holder().equals(this.settings.holder()) && row.fencingNumber() == fencingNumber;
	}

	private Completable dropLease() {
		return Completable.fromAction(() -> {
			this.heldLease = Optional.empty();
			this.observedRevision = Optional.empty();
		});
	}

	private Completable acquireIfFree() {
		return this.tableStore.read(this.key).flatMapCompletable((row) -> {
			if (row.isEmpty()) {
				return acquire(new Condition.Absent(this.key), 1);
			}
			LeaseRow current = decode(row.get());
			if (isFree(row.get(), current)) {
				return acquire(new Condition.RevisionEquals(this.key, row.get().revision()),
						current.fencingNumber() + 1);
			}
			return Completable.complete();
		});
	}

	// Returns whether no process can hold a valid lease by this row: it was released, or
	// has not changed for the duration of the lease.
	private boolean isFree(Row row, LeaseRow lease) {
		if (lease.holder().isEmpty()) {
			return true;
		}
		long now = this.timers.nanoTime();
		if (this.observedRevision.filter((observed) -> observed.revision() == row.revision()).isEmpty()) {
			this.observedRevision = Optional.of(new ObservedRevision(row.revision(), now));
		}
		long unchangedNanos = now - this.observedRevision.get().firstSeenNanos();
		return unchangedNanos >= this.settings.duration().toNanos();
	}

	private Completable acquire(Condition condition, long fencingNumber) {
		LeaseRow row = new LeaseRow(this.settings.holder(), fencingNumber, 0);
		HeldLease candidate = new HeldLease(row, HeldLease.UNKNOWN_REVISION, this.timers.nanoTime());
		return commit(condition, row, candidate);
	}

	private Completable commit(Condition condition, LeaseRow row, HeldLease previous) {
		long validUntilNanos = this.timers.nanoTime() + this.settings.holderDuration().toNanos();
		// Recorded before the response, so that the next cycle reads the row if the
		// response is lost. The validity is not extended before the write is known to
		// have succeeded.
		this.heldLease = Optional.of(previous.withUnknownRevision());
		return this.tableStore.commit(transaction(condition, row)).flatMapCompletable((result) -> {
			if (result instanceof TransactionResult.Committed committed) {
				return Completable.fromAction(
						() -> this.heldLease = Optional.of(new HeldLease(row, committed.revision(), validUntilNanos)));
			}
			return Completable.complete();
		});
	}

	private Transaction transaction(Condition condition, LeaseRow row) {
		return new Transaction(List.of(condition), List.of(new Write.Put(this.key, encode(row))));
	}

	private static String encode(LeaseRow row) {
		try {
			return MAPPER.writeValueAsString(row);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("cannot encode a lease row as JSON", ex);
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
