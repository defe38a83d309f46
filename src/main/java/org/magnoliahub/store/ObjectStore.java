package org.magnoliahub.store;

import java.util.List;
import java.util.Optional;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;

/**
 * Object store of the platform. Every operation can fail with a {@link StoreException}.
 */
public interface ObjectStore {

	/**
	 * Reads an object.
	 * @param key key of the object
	 * @return the object, empty if it does not exist
	 */
	Single<Optional<StoredObject>> get(String key);

	/**
	 * Creates or replaces an object if a condition holds.
	 * @param key key of the object
	 * @param content the new content
	 * @param condition the condition
	 * @return the new entity tag, empty if the condition did not hold
	 */
	Single<Optional<String>> put(String key, byte[] content, PutCondition condition);

	/**
	 * Lists keys in ascending order.
	 * @param prefix common prefix of the keys
	 * @param startAfter lower bound of the keys, exclusive; empty to list from the start
	 * @param limit maximum number of keys, at least 1
	 * @return the keys, possibly empty
	 */
	Single<List<String>> list(String prefix, String startAfter, int limit);

	/**
	 * Removes an object. Does nothing if it does not exist.
	 * @param key key of the object
	 * @return completes when the object has been removed
	 */
	Completable delete(String key);

}
