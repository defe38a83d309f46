package org.magnoliahub.claim;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

import io.reactivex.rxjava3.core.Single;
import org.jspecify.annotations.Nullable;
import org.magnoliahub.store.Condition;
import org.magnoliahub.store.Row;
import org.magnoliahub.store.RowKey;
import org.magnoliahub.store.StoreException;
import org.magnoliahub.store.TableStore;
import org.magnoliahub.store.Transaction;
import org.magnoliahub.store.TransactionResult;
import org.magnoliahub.store.Write;
import org.magnoliahub.time.TimerService;

/**
 * Groups conditional writes of claims into transactions. On a conflict, the store returns
 * the current rows: writes whose result these rows determine are completed, the others
 * are sent again. A transaction whose response was lost is sent again with the same
 * conditions; if it had taken effect, the conflict returns the rows that it wrote. A
 * single transaction thus reads back all rows of a batch.
 */
final class GroupCommit {

	// The table service accepts requests of up to 1.5 MiB by default, and one claim can
	// hold an answer of up to 1 MiB. The limit counts characters.
	private static final int MAXIMUM_TRANSACTION_LENGTH = 512 * 1024;

	// Prevents overflow. With default settings, the maximum backoff is already reached at
	// 2^6 times the minimum.
	private static final int MAXIMUM_BACKOFF_DOUBLINGS = 20;

	// Exceeds the round trip with 30 gateways under full load, see docs/measurements.md.
	private static final Duration STALL_TIMEOUT = Duration.ofMillis(250);

	private final TableStore store;

	private final TimerService timers;

	private final RandomGenerator random;

	private final ClaimSettings settings;

	private final Deque<ClaimWrite> queue = new ArrayDeque<>();

	private @Nullable Row epoch;

	private int inFlight;

	private boolean flushScheduled;

	private long lastSentNanos;

	private int consecutiveFailures;

	private long lastFailureNanos;

	GroupCommit(TableStore store, TimerService timers, RandomGenerator random, ClaimSettings settings) {
		this.store = store;
		this.timers = timers;
		this.random = random;
		this.settings = settings;
	}

	Single<ClaimWrite.Result> submit(RowKey key, String value, long expectedRevision, Duration budget) {
		return Single.defer(() -> {
			if (this.queue.size() >= this.settings.maximumQueuedWrites()) {
				this.queue.removeIf(ClaimWrite::isDone);
			}
			if (this.queue.size() >= this.settings.maximumQueuedWrites()) {
				return Single.just(new ClaimWrite.Result.Unavailable(false, "too many writes wait for the store"));
			}
			ClaimWrite write = new ClaimWrite(key, value, expectedRevision);
			write.setDeadline(this.timers.after(budget).subscribe(write::expire));
			this.queue.addLast(write);
			scheduleFlush();
			return write.result;
		});
	}

	Duration backoff(int failures) {
		int doublings = Math.min(Math.max(0, failures - 1), MAXIMUM_BACKOFF_DOUBLINGS);
		long limit = Math.min(this.settings.maximumBackoff().toNanos(),
				this.settings.minimumBackoff().toNanos() << doublings);
		return Duration.ofNanos((long) (limit * (0.5 + 0.5 * this.random.nextDouble())));
	}

	<T> Single<T> withTimeout(Single<T> call, boolean effectPossible) {
		Duration timeout = this.settings.transactionTimeout();
		return Single.ambArray(call,
				this.timers.after(timeout)
					.andThen(Single
						.error(() -> new StoreException("store did not answer within " + timeout.toMillis() + " ms",
								effectPossible))));
	}

	boolean isStoreAvailable(int failuresUntilUnavailable, Duration probeInterval) {
		return this.consecutiveFailures < failuresUntilUnavailable
				|| this.timers.nanoTime() - this.lastFailureNanos >= probeInterval.toNanos();
	}

	private void scheduleFlush() {
		if (this.flushScheduled) {
			return;
		}
		this.flushScheduled = true;
		this.timers.after(this.settings.batchWindow()).subscribe(() -> {
			this.flushScheduled = false;
			flush();
		});
	}

	private void flush() {
		while (canSend()) {
			List<ClaimWrite> batch = takeBatch();
			if (batch.isEmpty()) {
				return;
			}
			send(batch);
		}
	}

	// A single transaction in flight groups the most writes. Another one is sent only if
	// it would be full or the previous one seems lost. With 30 gateways and a store limit
	// of 300 transactions per second, the 99th percentile was 530 ms with four
	// transactions in flight per gateway and 200 ms with one.
	private boolean canSend() {
		if (this.inFlight == 0) {
			return true;
		}
		if (this.inFlight >= this.settings.maximumTransactionsInFlight()) {
			return false;
		}
		// An insert needs two writes: the claim row and its expiry row.
		boolean full = this.queue.size() >= Math.min(this.settings.maximumWritesPerTransaction(),
				Transaction.MAXIMUM_WRITES / 2);
		return full || this.timers.nanoTime() - this.lastSentNanos >= STALL_TIMEOUT.toNanos();
	}

	private List<ClaimWrite> takeBatch() {
		List<ClaimWrite> batch = new ArrayList<>();
		Set<RowKey> keys = new HashSet<>();
		// One write is reserved for the initial epoch row.
		int writes = 1;
		long length = 0;
		Iterator<ClaimWrite> candidates = this.queue.iterator();
		while (candidates.hasNext() && batch.size() < this.settings.maximumWritesPerTransaction()) {
			ClaimWrite write = candidates.next();
			if (write.isDone()) {
				candidates.remove();
				continue;
			}
			writes += write.isInsert() ? 2 : 1;
			length += write.value.length();
			if (writes > Transaction.MAXIMUM_WRITES || (length > MAXIMUM_TRANSACTION_LENGTH && !batch.isEmpty())) {
				break;
			}
			if (keys.add(write.key)) {
				candidates.remove();
				batch.add(write);
			}
		}
		return batch;
	}

	private void send(List<ClaimWrite> batch) {
		this.inFlight++;
		this.lastSentNanos = this.timers.nanoTime();
		this.timers.after(STALL_TIMEOUT).subscribe(this::flush);
		batch.forEach(ClaimWrite::markSent);
		Row epochUsed = this.epoch;
		withTimeout(this.store.commit(transaction(batch, epochUsed)), true).subscribe((result) -> {
			this.inFlight--;
			this.consecutiveFailures = 0;
			handleResult(batch, epochUsed, result);
			flush();
		}, (error) -> {
			this.inFlight--;
			this.consecutiveFailures++;
			this.lastFailureNanos = this.timers.nanoTime();
			handleFailure(batch, error);
			flush();
		});
	}

	private static Transaction transaction(List<ClaimWrite> batch, @Nullable Row epoch) {
		List<Condition> conditions = new ArrayList<>();
		List<Write> writes = new ArrayList<>();
		long epochNumber = (epoch != null) ? ClaimTables.epochNumber(epoch) : 0;
		boolean inserts = false;
		for (ClaimWrite write : batch) {
			conditions.add(write.condition());
			writes.add(new Write.Put(write.key, write.value));
			if (write.isInsert()) {
				inserts = true;
				writes.add(new Write.Put(ClaimTables.expiryKey(epochNumber, write.key), "{}"));
			}
		}
		// A claim that is inserted under an old epoch would be removed before its
		// retention period has elapsed.
		if (inserts && epoch != null) {
			conditions.add(new Condition.RevisionEquals(ClaimTables.EPOCH, epoch.revision()));
		}
		else if (inserts) {
			conditions.add(new Condition.Absent(ClaimTables.EPOCH));
			writes.add(new Write.Put(ClaimTables.EPOCH, "0"));
		}
		return new Transaction(conditions, writes);
	}

	private void handleResult(List<ClaimWrite> batch, @Nullable Row epochUsed, TransactionResult result) {
		if (result instanceof TransactionResult.Committed committed) {
			boolean inserts = batch.stream().anyMatch(ClaimWrite::isInsert);
			if (epochUsed == null && inserts) {
				this.epoch = new Row(ClaimTables.EPOCH, "0", committed.revision());
			}
			batch.forEach((write) -> write.complete(new ClaimWrite.Result.Written(committed.revision())));
			return;
		}
		Map<RowKey, Row> current = new HashMap<>();
		((TransactionResult.Conflict) result).currentRows().forEach((row) -> current.put(row.key(), row));
		Row epochRow = current.get(ClaimTables.EPOCH);
		if (epochRow != null) {
			this.epoch = epochRow;
		}
		List<ClaimWrite> incomplete = batch.stream()
			.filter((write) -> !write.completeAfterConflict(current.get(write.key)))
			.toList();
		boolean progress = incomplete.size() < batch.size()
				|| (epochRow != null && (epochUsed == null || epochUsed.revision() != epochRow.revision()));
		if (progress) {
			requeue(incomplete);
			return;
		}
		handleFailure(incomplete, new StoreException("store reported a conflict without a changed row", false));
	}

	private void handleFailure(List<ClaimWrite> batch, Throwable error) {
		boolean effectPossible = !(error instanceof StoreException failure) || failure.isEffectPossible();
		batch.forEach((write) -> write.recordFailure(String.valueOf(error.getMessage()), effectPossible));
		int failures = batch.stream().mapToInt(ClaimWrite::failures).min().orElse(1);
		this.timers.after(backoff(failures)).subscribe(() -> {
			requeue(batch);
			flush();
		});
	}

	private void requeue(List<ClaimWrite> batch) {
		List<ClaimWrite> reversed = new ArrayList<>(batch);
		Collections.reverse(reversed);
		reversed.forEach(this.queue::addFirst);
	}

}
