package org.magnoliahub.entry;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.nio.NioEventLoopGroup;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.core.SingleEmitter;
import org.magnoliahub.platform.ObjectFormat;
import org.magnoliahub.platform.PlatformFormatException;
import org.magnoliahub.serving.StoreEra;
import org.magnoliahub.store.ObjectStore;
import org.magnoliahub.store.PutCondition;
import org.magnoliahub.store.StoreException;
import org.magnoliahub.store.StoredObject;

/**
 * The object store of the users' platform. Calls run, and results are emitted, on the
 * event loop of the store client.
 */
public final class PlatformObjectStore implements ObjectStore, AutoCloseable {

	private static final long RESPONSE_TIMEOUT_MILLIS = 3_000;

	private static final int OK = 200;

	private static final int NOT_FOUND = 404;

	private static final int PRECONDITION_FAILED = 412;

	private final StoreCalls client;

	private final Executor loop;

	private final AvailabilityListener availabilityListener;

	private final Runnable closeAction;

	private PlatformObjectStore(StoreCalls client, Executor loop, AvailabilityListener availabilityListener,
			Runnable closeAction) {
		this.availabilityListener = availabilityListener;
		this.client = client;
		this.loop = loop;
		this.closeAction = closeAction;
	}

	/**
	 * Creates an object store that shares the store client of a gateway.
	 * @param client the client
	 * @param loop its event loop
	 * @param availabilityListener receives the outcome of each call
	 * @return the object store
	 */
	static PlatformObjectStore of(StoreCalls client, Executor loop, AvailabilityListener availabilityListener) {
		return new PlatformObjectStore(client, loop, availabilityListener, () -> {
		});
	}

	/**
	 * Creates an object store with its own client, for use by a command.
	 * @param store address of the store
	 * @return the object store, which must be closed
	 */
	public static PlatformObjectStore open(InetSocketAddress store) {
		NioEventLoopGroup group = new NioEventLoopGroup(1);
		EventLoopTimers timers = new EventLoopTimers(group.next(),
				(failure) -> System.err.println("magnoliahub: error: a timer task failed: " + FailureText.of(failure)));
		StoreClient client = new StoreClient(new HttpClient(group, timers), timers, new EntryMetrics(),
				store.getHostString() + ":" + store.getPort(), new StoreEra(), (fault) -> {
				});
		return new PlatformObjectStore(client, group.next(), (reachable, reason) -> {
		}, () -> group.shutdownGracefully(0, 1, TimeUnit.SECONDS));
	}

	@Override
	public Single<Optional<StoredObject>> get(String key) {
		return call((handler) -> this.client.get(ObjectFormat.getTarget(key), RESPONSE_TIMEOUT_MILLIS, handler),
				(status, body, emitter) -> {
					if (status == NOT_FOUND) {
						emitter.onSuccess(Optional.empty());
						return;
					}
					emitter.onSuccess(Optional.of(new StoredObject(body, "")));
				}, NOT_FOUND);
	}

	/**
	 * Writes an object. Objects of the platform have no versions, so a condition on a
	 * version fails.
	 */
	@Override
	public Single<Optional<String>> put(String key, byte[] content, PutCondition condition) {
		if (condition instanceof PutCondition.IfMatches) {
			return Single.error(new StoreException(
					"conditional writes by version are not supported: objects of this platform have no versions",
					false));
		}
		boolean onlyIfAbsent = condition instanceof PutCondition.IfAbsent;
		return call(
				(handler) -> this.client.put(ObjectFormat.putTarget(key), content, onlyIfAbsent,
						RESPONSE_TIMEOUT_MILLIS, handler),
				(status, body, emitter) -> emitter
					.onSuccess((status == PRECONDITION_FAILED) ? Optional.empty() : Optional.of("")),
				PRECONDITION_FAILED);
	}

	@Override
	public Single<List<String>> list(String prefix, String startAfter, int limit) {
		return call((handler) -> this.client.get(ObjectFormat.listTarget(prefix, startAfter), RESPONSE_TIMEOUT_MILLIS,
				handler), (status, body, emitter) -> {
					try {
						List<String> names = ObjectFormat.names(body);
						emitter.onSuccess(names.subList(0, Math.min(limit, names.size())));
					}
					catch (PlatformFormatException ex) {
						emitter.tryOnError(new StoreException("" + ex.getMessage(), false));
					}
				}, OK);
	}

	@Override
	public Completable delete(String key) {
		Single<Boolean> done = call(
				(handler) -> this.client.delete(ObjectFormat.deleteTarget(key), RESPONSE_TIMEOUT_MILLIS, handler),
				(status, body, emitter) -> emitter.onSuccess(true), NOT_FOUND);
		return done.ignoreElement();
	}

	private <T> Single<T> call(Consumer<StoreCalls.Handler> send, ResponseMapper<T> mapper, int additionalStatus) {
		return Single.create((emitter) -> this.loop.execute(() -> send.accept(new StoreCalls.Handler() {

			@Override
			public void onResponse(int status, byte[] body) {
				if (status == OK || status == additionalStatus) {
					PlatformObjectStore.this.availabilityListener.onCallCompleted(true, "");
					mapper.accept(status, body, emitter);
					return;
				}
				PlatformObjectStore.this.availabilityListener.onCallCompleted(false, "status " + status);
				emitter.tryOnError(new StoreException("the store responded with status " + status, false));
			}

			@Override
			public void onFailure(String reason) {
				PlatformObjectStore.this.availabilityListener.onCallCompleted(false, reason);
				emitter.tryOnError(new StoreException("no response from the store: " + reason, true));
			}

		})));
	}

	@Override
	public void close() {
		this.closeAction.run();
	}

	/**
	 * Receives the outcomes of calls, on the event loop.
	 */
	@FunctionalInterface
	interface AvailabilityListener {

		/**
		 * Called after each call.
		 * @param reachable whether the call got an expected status
		 * @param reason the reason if it did not, empty otherwise
		 */
		void onCallCompleted(boolean reachable, String reason);

	}

	/**
	 * Maps a response with an expected status to a result.
	 *
	 * @param <T> type of the result
	 */
	@FunctionalInterface
	private interface ResponseMapper<T> {

		void accept(int status, byte[] body, SingleEmitter<T> emitter);

	}

}
