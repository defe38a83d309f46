package org.magnoliahub.store;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import io.reactivex.rxjava3.core.Flowable;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Contract that every implementation of {@link ObjectStore} must meet, so that tests that
 * use the in-memory store also hold for the store of the platform.
 */
public abstract class ObjectStoreContractTests {

	/**
	 * Returns the store under test.
	 * @return an empty store
	 */
	protected abstract ObjectStore store();

	private Optional<String> put(String key, String content, PutCondition condition) {
		return store().put(key, content.getBytes(StandardCharsets.UTF_8), condition).blockingGet();
	}

	private String content(String key) {
		return store().get(key)
			.blockingGet()
			.map((object) -> new String(object.content(), StandardCharsets.UTF_8))
			.orElse("absent");
	}

	@Test
	void objectIsReadAsWritten() {
		String tag = put("a/b ü&<%.json", "content", new PutCondition.Always()).orElseThrow();
		assertThat(content("a/b ü&<%.json")).isEqualTo("content");
		assertThat(store().get("a/b ü&<%.json").blockingGet().orElseThrow().entityTag()).isEqualTo(tag);
		assertThat(content("a")).isEqualTo("absent");
	}

	@Test
	void conditionsAreChecked() {
		assertThat(put("key", "0", new PutCondition.IfMatches("\"1\""))).isEmpty();
		String first = put("key", "1", new PutCondition.IfAbsent()).orElseThrow();
		assertThat(put("key", "2", new PutCondition.IfAbsent())).isEmpty();
		String second = put("key", "3", new PutCondition.IfMatches(first)).orElseThrow();
		assertThat(second).isNotEqualTo(first);
		assertThat(put("key", "4", new PutCondition.IfMatches(first))).isEmpty();
		assertThat(content("key")).isEqualTo("3");
	}

	@Test
	void listIsOrderedAndBounded() {
		for (String key : new String[] { "p/3", "p/1", "q/1", "p/2 &<ü", "o/1" }) {
			put(key, "", new PutCondition.Always());
		}
		assertThat(store().list("p/", "", 10).blockingGet()).containsExactly("p/1", "p/2 &<ü", "p/3");
		assertThat(store().list("p/", "p/1", 1).blockingGet()).containsExactly("p/2 &<ü");
		assertThat(store().list("x", "", 1).blockingGet()).isEmpty();
	}

	@Test
	void deletionIsIdempotent() {
		put("d/1", "1", new PutCondition.Always());
		put("d/2", "2", new PutCondition.Always());
		store().delete("d/1").blockingAwait();
		store().delete("d/1").blockingAwait();
		assertThat(store().list("d/", "", 10).blockingGet()).containsExactly("d/2");
	}

	@Test
	void listExceedsOnePageOfTheProtocol() {
		Flowable.range(10_000, 1005)
			.flatMapSingle((index) -> store().put("key-" + index, new byte[0], new PutCondition.Always()), false, 16)
			.blockingSubscribe();
		assertThat(store().list("key-", "", 1004).blockingGet()).hasSize(1004).doesNotHaveDuplicates();
	}

}
