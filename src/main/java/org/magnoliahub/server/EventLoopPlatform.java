package org.magnoliahub.server;

import java.util.List;
import java.util.Optional;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import org.magnoliahub.platform.ObjectStore;
import org.magnoliahub.platform.PlatformServices;
import org.magnoliahub.platform.PutCondition;
import org.magnoliahub.platform.Row;
import org.magnoliahub.platform.RowKey;
import org.magnoliahub.platform.StoredObject;
import org.magnoliahub.platform.TableStore;
import org.magnoliahub.platform.Transaction;
import org.magnoliahub.platform.TransactionResult;

/**
 * Hands the results of the platform's services over to an event loop.
 */
public final class EventLoopPlatform {

	private EventLoopPlatform() {
	}

	/**
	 * Wraps the services of the platform.
	 * @param services the services, whose results arrive on any thread
	 * @param eventLoop the scheduler of the event loop
	 * @return the same services with results on the event loop
	 */
	public static PlatformServices of(PlatformServices services, Scheduler eventLoop) {
		return new PlatformServices(tableStore(services.tableStore(), eventLoop),
				objectStore(services.objectStore(), eventLoop),
				() -> services.vmInventory().list().observeOn(eventLoop));
	}

	private static TableStore tableStore(TableStore store, Scheduler eventLoop) {
		return new TableStore() {

			@Override
			public Single<Optional<Row>> read(RowKey key) {
				return store.read(key).observeOn(eventLoop);
			}

			@Override
			public Single<List<Row>> scan(String table, String fromKey, int limit) {
				return store.scan(table, fromKey, limit).observeOn(eventLoop);
			}

			@Override
			public Single<TransactionResult> commit(Transaction transaction) {
				return store.commit(transaction).observeOn(eventLoop);
			}

		};
	}

	private static ObjectStore objectStore(ObjectStore store, Scheduler eventLoop) {
		return new ObjectStore() {

			@Override
			public Single<Optional<StoredObject>> get(String key) {
				return store.get(key).observeOn(eventLoop);
			}

			@Override
			public Single<Optional<String>> put(String key, byte[] content, PutCondition condition) {
				return store.put(key, content, condition).observeOn(eventLoop);
			}

			@Override
			public Single<List<String>> list(String prefix, String startAfter, int limit) {
				return store.list(prefix, startAfter, limit).observeOn(eventLoop);
			}

		};
	}

}
