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
 * The objects of the users' platform. Calls run on the event loop of the store client;
 * results arrive there.
 */
public final class PlatformObjectStore implements ObjectStore, AutoCloseable {

	private static final long ANSWER_MILLIS = 3_000;

	private static final int OK = 200;

	private static final int NOT_FOUND = 404;

	private static final int PRECONDITION_FAILED = 412;

	private final StoreCalls client;

	private final Executor loop;

	private final AvailabilityListener contact;

	private final Runnable closing;

	private PlatformObjectStore(StoreCalls client, Executor loop, AvailabilityListener contact, Runnable closing) {
		this.contact = contact;
		this.client = client;
		this.loop = loop;
		this.closing = closing;
	}

	/**
	 * Uses the client of a gateway.
	 * @param client the client
	 * @param loop its event loop
	 * @param contact learns whether calls succeed
	 * @return the objects
	 */
	static PlatformObjectStore of(StoreCalls client, Executor loop, AvailabilityListener contact) {
		return new PlatformObjectStore(client, loop, contact, () -> {
		});
	}

	/**
	 * Opens a client of its own, for a command.
	 * @param store address of the store
	 * @return the objects, to be closed
	 */
	public static PlatformObjectStore open(InetSocketAddress store) {
		NioEventLoopGroup group = new NioEventLoopGroup(1);
		EventLoopTimers timers = new EventLoopTimers(group.next());
		StoreClient client = new StoreClient(new HttpClient(group, timers), timers, new EntryMetrics(),
				store.getHostString() + ":" + store.getPort(), new StoreEra(), (fault) -> {
				});
		return new PlatformObjectStore(client, group.next(), (reachable, reason) -> {
		}, () -> group.shutdownGracefully(0, 1, TimeUnit.SECONDS));
	}

	@Override
	public Single<Optional<StoredObject>> get(String key) {
		return call((handler) -> this.client.get(ObjectFormat.getTarget(key), ANSWER_MILLIS, handler),
				(status, body, emitter) -> {
					if (status == NOT_FOUND) {
						emitter.onSuccess(Optional.empty());
						return;
					}
					emitter.onSuccess(Optional.of(new StoredObject(body, "")));
				}, NOT_FOUND);
	}

	/**
	 * Writes an object. The platform knows no versions of objects, so the condition must
	 * not name one.
	 */
	@Override
	public Single<Optional<String>> put(String key, byte[] content, PutCondition condition) {
		if (condition instanceof PutCondition.IfMatches) {
			return Single.error(new StoreException("objects of this platform have no versions", false));
		}
		boolean absent = condition instanceof PutCondition.IfAbsent;
		return call((handler) -> this.client.put(ObjectFormat.putTarget(key), content, absent, ANSWER_MILLIS, handler),
				(status, body, emitter) -> emitter
					.onSuccess((status == PRECONDITION_FAILED) ? Optional.empty() : Optional.of("")),
				PRECONDITION_FAILED);
	}

	@Override
	public Single<List<String>> list(String prefix, String startAfter, int limit) {
		return call((handler) -> this.client.get(ObjectFormat.listTarget(prefix, startAfter), ANSWER_MILLIS, handler),
				(status, body, emitter) -> {
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
				(handler) -> this.client.delete(ObjectFormat.deleteTarget(key), ANSWER_MILLIS, handler),
				(status, body, emitter) -> emitter.onSuccess(true), NOT_FOUND);
		return done.ignoreElement();
	}

	private <T> Single<T> call(Consumer<StoreCalls.Handler> send, ResponseMapper<T> success, int alsoExpected) {
		return Single.create((emitter) -> this.loop.execute(() -> send.accept(new StoreCalls.Handler() {

			@Override
			public void onAnswer(int status, byte[] body) {
				if (status == OK || status == alsoExpected) {
					PlatformObjectStore.this.contact.changed(true, "");
					success.accept(status, body, emitter);
					return;
				}
				PlatformObjectStore.this.contact.changed(false, "status " + status);
				emitter.tryOnError(new StoreException("the store answered with status " + status, false));
			}

			@Override
			public void onFailure(String reason) {
				PlatformObjectStore.this.contact.changed(false, reason);
				emitter.tryOnError(new StoreException("the store did not answer: " + reason, true));
			}

		})));
	}

	@Override
	public void close() {
		this.closing.run();
	}

	/**
	 * Learns on the event loop whether the store answers.
	 */
	@FunctionalInterface
	interface AvailabilityListener {

		/**
		 * Called after each call.
		 * @param reachable whether it was answered as expected
		 * @param reason why not
		 */
		void changed(boolean reachable, String reason);

	}

	/**
	 * Turns an expected answer into a result.
	 *
	 * @param <T> type of the result
	 */
	@FunctionalInterface
	private interface ResponseMapper<T> {

		void accept(int status, byte[] body, SingleEmitter<T> emitter);

	}

}
