package org.magnoliahub.store;

import java.util.List;
import java.util.Optional;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;

/**
 * The platform's object store. Every result can be a {@link StoreException}.
 */
public interface ObjectStore {

	/**
	 * Reads an object.
	 * @param key the object's key
	 * @return the object, empty if it does not exist
	 */
	Single<Optional<StoredObject>> get(String key);

	/**
	 * Writes an object if a condition holds.
	 * @param key the object's key
	 * @param content the content
	 * @param condition the condition
	 * @return the new entity tag, empty if the condition did not hold
	 */
	Single<Optional<String>> put(String key, byte[] content, PutCondition condition);

	/**
	 * Lists keys in ascending order.
	 * @param prefix prefix of the keys wanted
	 * @param startAfter only keys greater than this; empty text for the start
	 * @param limit most keys wanted, at least 1
	 * @return the keys, possibly none
	 */
	Single<List<String>> list(String prefix, String startAfter, int limit);

	/**
	 * Removes an object, which may be absent.
	 * @param key the object's key
	 * @return completes when the object is gone
	 */
	Completable delete(String key);

}
