package org.magnoliahub.configuration;

import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import org.magnoliahub.store.ObjectStore;
import org.magnoliahub.store.PutCondition;
import org.magnoliahub.store.StoreException;
import org.magnoliahub.store.StoredObject;

/**
 * In-memory object store that can be made unavailable.
 */
public final class FakeObjectStore implements ObjectStore {

	private final TreeMap<String, byte[]> objects = new TreeMap<>();

	/** Whether all calls fail without effect. */
	public boolean down;

	@Override
	public Single<Optional<StoredObject>> get(String key) {
		return call(() -> Optional.ofNullable(this.objects.get(key)).map((content) -> new StoredObject(content, key)));
	}

	@Override
	public Single<Optional<String>> put(String key, byte[] content, PutCondition condition) {
		return call(() -> {
			if (condition instanceof PutCondition.IfAbsent && this.objects.containsKey(key)) {
				return Optional.empty();
			}
			this.objects.put(key, content);
			return Optional.of(key);
		});
	}

	@Override
	public Single<List<String>> list(String prefix, String startAfter, int limit) {
		return call(() -> this.objects.keySet()
			.stream()
			.filter((key) -> key.startsWith(prefix) && key.compareTo(startAfter) > 0)
			.limit(limit)
			.toList());
	}

	@Override
	public Completable delete(String key) {
		return call(() -> Optional.ofNullable(this.objects.remove(key))).ignoreElement();
	}

	private <T> Single<T> call(java.util.concurrent.Callable<T> effect) {
		return Single.defer(() -> this.down ? Single.error(new StoreException("store is down", false))
				: Single.fromCallable(effect));
	}

}
