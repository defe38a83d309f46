package org.magnoliahub.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;

import io.reactivex.rxjava3.core.Single;
import org.jspecify.annotations.Nullable;
import org.magnoliahub.model.Arguments;
import org.magnoliahub.time.TimerService;

/**
 * In-memory {@link TableStore}. All calls take effect on the event loop of the timer
 * service, so a run in virtual time is reproducible.
 */
public final class InMemoryTableStore implements TableStore {

	private final SimulatedLatency latency;

	private final Map<String, NavigableMap<String, Row>> tables = new HashMap<>();

	private long lastRevision;

	private InMemoryTableStore(SimulatedLatency latency) {
		this.latency = latency;
	}

	/**
	 * Creates an empty store.
	 * @param timers timer service that delays effects and responses
	 * @param latency round-trip time of each call, not negative; writes take effect after
	 * half of it
	 * @return the store
	 * @throws IllegalArgumentException if the latency is negative
	 */
	public static InMemoryTableStore of(TimerService timers, Duration latency) {
		return new InMemoryTableStore(SimulatedLatency.ofRoundTrip(timers, latency));
	}

	@Override
	public Single<Optional<Row>> read(RowKey key) {
		return this.latency.call(() -> Optional.ofNullable(find(key)));
	}

	@Override
	public Single<List<Row>> scan(String table, String fromKey, int limit) {
		Arguments.requireRange(limit, 1, Integer.MAX_VALUE, "scan limit");
		return this.latency.call(() -> rows(table).tailMap(fromKey, true).values().stream().limit(limit).toList());
	}

	@Override
	public Single<TransactionResult> commit(Transaction transaction) {
		return this.latency.call(() -> apply(transaction));
	}

	/**
	 * Counts the rows of a table immediately, without latency.
	 * @param table the table
	 * @return the number of rows
	 */
	public int size(String table) {
		return rows(table).size();
	}

	private TransactionResult apply(Transaction transaction) {
		if (!transaction.conditions().stream().allMatch(this::holds)) {
			List<Row> current = new ArrayList<>();
			for (Condition condition : transaction.conditions()) {
				Row row = find(condition.key());
				if (row != null) {
					current.add(row);
				}
			}
			return new TransactionResult.Conflict(current);
		}
		this.lastRevision++;
		for (Write write : transaction.writes()) {
			RowKey key = write.key();
			if (write instanceof Write.Put put) {
				rows(key.table()).put(key.key(), new Row(key, put.value(), this.lastRevision));
			}
			else {
				rows(key.table()).remove(key.key());
			}
		}
		return new TransactionResult.Committed(this.lastRevision);
	}

	private boolean holds(Condition condition) {
		Row row = find(condition.key());
		if (condition instanceof Condition.RevisionEquals expected) {
			return row != null && row.revision() == expected.revision();
		}
		return row == null;
	}

	private @Nullable Row find(RowKey key) {
		return rows(key.table()).get(key.key());
	}

	private NavigableMap<String, Row> rows(String table) {
		return this.tables.computeIfAbsent(table, (name) -> new TreeMap<>(KeyOrder.BY_UTF8_BYTES));
	}

}
