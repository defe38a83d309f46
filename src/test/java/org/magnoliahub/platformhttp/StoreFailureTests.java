package org.magnoliahub.platformhttp;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

import io.reactivex.rxjava3.core.Single;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.magnoliahub.store.PutCondition;
import org.magnoliahub.store.RowKey;
import org.magnoliahub.store.StoreException;
import org.magnoliahub.store.Transaction;
import org.magnoliahub.store.Write;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a failed write that is reported as certainly without effect although it
 * may have one, and against calls that never end.
 */
class StoreFailureTests {

	private static final RowKey KEY = new RowKey("table", "key");

	@RegisterExtension
	final StandInExtension standIn = new StandInExtension();

	@ParameterizedTest
	@CsvSource(quoteCharacter = '"', textBlock = """
			# faults, or empty if the stand-in is stopped; time-out in ms, effect of a write possible
			{'failBeforeProbability':1}, 10000, false
			{'lostAnswerProbability':1}, 1000,  true
			{'unavailable':true},        1000,  true
			{'extraLatencyMillis':9000}, 1000,  true
			"",                          10000, false
			""")
	void failureSaysWhetherAnEffectIsPossible(String faults, long timeoutMillis, boolean effectPossible) {
		// Loads classes and opens a connection, which the short time-outs do not allow
		// for.
		this.standIn.tableStore(Duration.ofSeconds(10)).read(KEY).blockingGet();
		EtcdTableStore tables = this.standIn.tableStore(Duration.ofMillis(timeoutMillis));
		S3ObjectStore objects = this.standIn.objectStore(Duration.ofMillis(timeoutMillis));
		if (faults.isEmpty()) {
			this.standIn.stop();
		}
		else {
			this.standIn.send("POST", "/faults", faults.replace('\'', '"'));
		}
		Transaction transaction = new Transaction(List.of(), List.of(new Write.Put(KEY, "1")));
		List<Boolean> effects = Single.concatEager(List.of(effectPossible(tables.commit(transaction)),
				effectPossible(objects.put("key", new byte[1], new PutCondition.Always())),
				effectPossible(tables.read(KEY)), effectPossible(objects.list("", "", 1))))
			.toList()
			.blockingGet();
		assertThat(effects).containsExactly(effectPossible, effectPossible, false, false);
	}

	private static Single<Boolean> effectPossible(Single<?> call) {
		return call.ignoreElement()
			.materialize()
			.map((end) -> ((StoreException) Objects.requireNonNull(end.getError(), "no failure")).isEffectPossible());
	}

}
