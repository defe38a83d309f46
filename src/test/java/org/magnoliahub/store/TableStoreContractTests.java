package org.magnoliahub.store;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Contract that every implementation of {@link TableStore} must meet, so that tests that
 * use the in-memory store also hold for the store of the platform.
 */
public abstract class TableStoreContractTests {

	private static final RowKey A = new RowKey("table", "a");

	private static final RowKey B = new RowKey("table", "b/ü\u20AC");

	/**
	 * Returns the store under test.
	 * @return an empty store
	 */
	protected abstract TableStore store();

	private TransactionResult commit(List<Condition> conditions, Write... writes) {
		return store().commit(new Transaction(conditions, List.of(writes))).blockingGet();
	}

	private long put(RowKey key, String value) {
		return ((TransactionResult.Committed) commit(List.of(), new Write.Put(key, value))).revision();
	}

	@Test
	void absentRowIsEmpty() {
		assertThat(store().read(A).blockingGet()).isEmpty();
	}

	@Test
	void allRowsOfATransactionHaveItsRevision() {
		TransactionResult result = commit(List.of(new Condition.Absent(A), new Condition.Absent(B)),
				new Write.Put(A, "1"), new Write.Put(B, "ü"));
		long revision = ((TransactionResult.Committed) result).revision();
		assertThat(store().read(A).blockingGet()).contains(new Row(A, "1", revision));
		assertThat(store().read(B).blockingGet()).contains(new Row(B, "ü", revision));
	}

	@Test
	void conflictReturnsCurrentRowsAndWritesNothing() {
		long first = put(A, "1");
		long second = put(A, "2");
		assertThat(second).isGreaterThan(first);
		TransactionResult result = commit(List.of(new Condition.RevisionEquals(A, first), new Condition.Absent(B)),
				new Write.Put(A, "3"), new Write.Put(B, "3"));
		assertThat(result).isEqualTo(new TransactionResult.Conflict(List.of(new Row(A, "2", second))));
		assertThat(store().read(B).blockingGet()).isEmpty();
	}

	@Test
	void conditionOnARevisionFailsForAnAbsentRow() {
		TransactionResult result = commit(List.of(new Condition.RevisionEquals(A, 1)), new Write.Put(A, "1"));
		assertThat(result).isEqualTo(new TransactionResult.Conflict(List.of()));
	}

	@Test
	void deletedRowIsAbsent() {
		long revision = put(A, "1");
		commit(List.of(new Condition.RevisionEquals(A, revision)), new Write.Delete(A));
		assertThat(commit(List.of(new Condition.Absent(A)), new Write.Put(A, "2")))
			.isInstanceOf(TransactionResult.Committed.class);
	}

	@Test
	void scanIsOrderedBoundedAndLimitedToTheTable() {
		for (String key : List.of("c", "a", "b/1", "b")) {
			put(new RowKey("table", key), key);
		}
		put(new RowKey("tabl", "x"), "x");
		put(new RowKey("table0", "x"), "x");
		assertThat(store().scan("table", "", 10).blockingGet()).extracting(Row::value)
			.containsExactly("a", "b", "b/1", "c");
		assertThat(store().scan("table", "b", 2).blockingGet()).extracting(Row::value).containsExactly("b", "b/1");
		assertThat(store().scan("other", "", 1).blockingGet()).isEmpty();
	}

	@Test
	void largestTransactionIsAccepted() {
		Write[] writes = new Write[Transaction.MAXIMUM_WRITES];
		for (int index = 0; index < writes.length; index++) {
			writes[index] = new Write.Put(new RowKey("table", "row-" + index), "value");
		}
		assertThat(commit(List.of(), writes)).isInstanceOf(TransactionResult.Committed.class);
	}

}
