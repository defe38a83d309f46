package org.magnoliahub.store;

import java.time.Duration;
import java.util.List;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import org.jspecify.annotations.Nullable;
import org.magnoliahub.model.Arguments;
import org.magnoliahub.time.TimerService;

/**
 * In-memory {@link ObjectStore}. All calls take effect on the event loop of the timer
 * service.
 */
public final class InMemoryObjectStore implements ObjectStore {

	private final SimulatedLatency latency;

	private final NavigableMap<String, StoredObject> objects = new TreeMap<>(KeyOrder.BY_UTF8_BYTES);

	private long lastVersion;

	private InMemoryObjectStore(SimulatedLatency latency) {
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
	public static InMemoryObjectStore of(TimerService timers, Duration latency) {
		return new InMemoryObjectStore(SimulatedLatency.ofRoundTrip(timers, latency));
	}

	@Override
	public Single<Optional<StoredObject>> get(String key) {
		return this.latency.call(() -> Optional.ofNullable(this.objects.get(key))
			.map((object) -> new StoredObject(object.content().clone(), object.entityTag())));
	}

	@Override
	public Single<Optional<String>> put(String key, byte[] content, PutCondition condition) {
		Arguments.requireText(key, "object key");
		byte[] copy = content.clone();
		return this.latency.call(() -> apply(key, copy, condition));
	}

	@Override
	public Single<List<String>> list(String prefix, String startAfter, int limit) {
		Arguments.requireRange(limit, 1, Integer.MAX_VALUE, "list limit");
		return this.latency.call(() -> this.objects.tailMap(startAfter, false)
			.keySet()
			.stream()
			.filter((key) -> key.startsWith(prefix))
			.limit(limit)
			.toList());
	}

	@Override
	public Completable delete(String key) {
		return this.latency.call(() -> Optional.ofNullable(this.objects.remove(key))).ignoreElement();
	}

	private Optional<String> apply(String key, byte[] content, PutCondition condition) {
		if (!holds(this.objects.get(key), condition)) {
			return Optional.empty();
		}
		this.lastVersion++;
		String entityTag = "\"" + this.lastVersion + "\"";
		this.objects.put(key, new StoredObject(content, entityTag));
		return Optional.of(entityTag);
	}

	private static boolean holds(@Nullable StoredObject object, PutCondition condition) {
		if (condition instanceof PutCondition.IfAbsent) {
			return object == null;
		}
		if (condition instanceof PutCondition.IfMatches expected) {
			return object != null && object.entityTag().equals(expected.entityTag());
		}
		return true;
	}

}
