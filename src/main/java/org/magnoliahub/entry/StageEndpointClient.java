package org.magnoliahub.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.reactivex.rxjava3.disposables.Disposable;
import org.jspecify.annotations.Nullable;
import org.magnoliahub.platform.PlatformFormatException;
import org.magnoliahub.platform.PlatformHeaders;
import org.magnoliahub.platform.StageCallFormat;
import org.magnoliahub.serving.EndpointNotice;
import org.magnoliahub.serving.EndpointState;
import org.magnoliahub.serving.PieceFailure;
import org.magnoliahub.serving.PieceResult;
import org.magnoliahub.serving.ResponseHead;
import org.magnoliahub.serving.SendLimit;
import org.magnoliahub.serving.StageBatch;
import org.magnoliahub.serving.StageQueue;
import org.magnoliahub.serving.StageTask;

/**
 * Sends batches to stage endpoints and releases the results stored there.
 */
final class StageEndpointClient {

	private static final int CONNECT_TIMEOUT_MILLIS = 400;

	/** Maximum idle time of a reused connection for releasing results. */
	private static final long RELEASE_IDLE_MILLIS = 1_000;

	/** A batch times out after this multiple of its expected time, plus the slack. */
	private static final double TIMEOUT_FACTOR = 5;

	private static final long TIMEOUT_SLACK_MILLIS = 600;

	/** Timeout for an endpoint to confirm the release of results. */
	private static final Duration RELEASE_TIMEOUT = Duration.ofMillis(1_500);

	/** Longest requested pause after which results are still released. */
	private static final Duration MAXIMUM_RELEASE_DELAY = Duration.ofSeconds(30);

	private static final long MAXIMUM_RESPONSE_BYTES = 1_048_576;

	private static final int OK = 200;

	private static final String RUN_GROUP = "stage run";

	private static final String RELEASE_GROUP = "stage release";

	private final EntryContext context;

	private final PieceResultListener resultListener;

	private final StageCallFormat format = new StageCallFormat();

	StageEndpointClient(EntryContext context, PieceResultListener resultListener) {
		this.context = context;
		this.resultListener = resultListener;
	}

	/**
	 * Sends a batch.
	 * @param queue the queue that formed the batch
	 * @param batch the batch
	 * @param done called when the endpoint has capacity again
	 */
	void send(StageQueue queue, StageBatch batch, Runnable done) {
		long now = this.context.now();
		this.context.log()
			.event(EntryEvent.STAGE_CALL_SENT)
			.field("service", queue.service())
			.field("endpoint", batch.endpoint().record().id())
			.field("pieces", batch.tasks().size())
			.field("waiting", queue.size())
			.field("expected_ms", batch.expectedMillis())
			.field("room_bytes", batch.freeBytes())
			.field("stored_ms", queue.meanStorageMillis())
			.write();
		long budget = 1;
		for (StageTask task : batch.tasks()) {
			budget = Math.max(budget, task.job().expiresAt() - now);
		}
		// Each batch gets a new connection: responses to batches carry no request id, so
		// a late duplicate of an earlier response could be mistaken for the right one.
		HttpCall call = new HttpCall(batch.endpoint().record().address(), RUN_GROUP, HttpMethod.POST,
				StageCallFormat.RUN_PATH, PlatformHeaders.ownCallHeaders(batch.endpoint().record().id(), budget),
				this.format.run(batch.tasks(), now), 0, CONNECT_TIMEOUT_MILLIS, MAXIMUM_RESPONSE_BYTES, null,
				this.context.endpointNotices().stageInterceptor(batch.endpoint()));
		RunResponseListener listener = new RunResponseListener(queue, batch, done, now);
		HttpExchange exchange = this.context.httpClient().send(call, listener);
		long timeoutMillis = (long) (TIMEOUT_FACTOR * batch.expectedMillis()) + TIMEOUT_SLACK_MILLIS;
		listener.timeout = this.context.timers().schedule(Duration.ofMillis(timeoutMillis), () -> {
			exchange.cancel();
			listener.onFailure(true, "no answer within " + timeoutMillis + " ms");
		});
	}

	/**
	 * Releases results. Their capacity counts as free when the endpoint has responded.
	 * @param service the service that produced them
	 * @param queue the queue of the service, or {@code null} if this gateway has none
	 * @param handles the handles of the results
	 * @param done called with the queue when result capacity is free
	 */
	void release(String service, @Nullable StageQueue queue, List<String> handles, Consumer<StageQueue> done) {
		Map<String, List<String>> byAddress = new HashMap<>();
		for (String handle : handles) {
			byAddress.computeIfAbsent(StageCallFormat.address(handle), (address) -> new ArrayList<>()).add(handle);
		}
		byAddress.forEach((address, list) -> release(service, address, list, () -> {
			if (queue != null) {
				queue.releaseResults(list, this.context.now());
				done.accept(queue);
			}
		}));
	}

	private void release(String service, String address, List<String> handles, Runnable done) {
		Optional<EndpointState> producer = this.context.directory().findByAddress(service, address);
		long now = this.context.now();
		long blockedUntil = producer.map((endpoint) -> blockedUntil(endpoint, now)).orElse(now);
		if (blockedUntil > now) {
			// During a longer pause the results expire without a release.
			Duration remaining = Duration.ofMillis(blockedUntil - now);
			if (remaining.compareTo(MAXIMUM_RELEASE_DELAY) <= 0) {
				this.context.timers().schedule(remaining, () -> release(service, address, handles, done));
			}
			return;
		}
		if (producer.isPresent() && producer.get().requestsPerSecond() > 0) {
			// The few requests that the endpoint accepts are used for batches; the
			// results expire.
			return;
		}
		EndpointInterceptor interceptor = producer
			.map((endpoint) -> this.context.endpointNotices().releaseInterceptor(endpoint))
			.orElse(EndpointInterceptor.NONE);
		String id = producer.map((endpoint) -> endpoint.record().id()).orElse("");
		HttpCall call = new HttpCall(address, RELEASE_GROUP, HttpMethod.POST, StageCallFormat.FREE_PATH,
				PlatformHeaders.ownCallHeaders(id, RELEASE_TIMEOUT.toMillis()), this.format.free(handles),
				RELEASE_IDLE_MILLIS, CONNECT_TIMEOUT_MILLIS, MAXIMUM_RESPONSE_BYTES, null, interceptor);
		ReleaseResponseListener listener = new ReleaseResponseListener(done);
		HttpExchange exchange = this.context.httpClient().send(call, listener);
		listener.timeout = this.context.timers().schedule(RELEASE_TIMEOUT, exchange::cancel);
	}

	// The few requests that a cold endpoint accepts are used for batches.
	private static long blockedUntil(EndpointState endpoint, long now) {
		SendLimit limit = endpoint.sendLimit();
		long coldUntil = (limit != null && limit.isActive(now)) ? limit.until() : now;
		return Math.max(coldUntil, endpoint.requestedPauseEnd());
	}

	/**
	 * Receives the results of pieces.
	 */
	interface PieceResultListener {

		/**
		 * Called once for each piece that has completed or failed.
		 * @param service the stage service
		 * @param task the queued piece
		 * @param result the result of the piece
		 */
		void onPieceResult(String service, StageTask task, PieceResult result);

	}

	private static final class ReleaseResponseListener implements ResponseListener {

		private final Runnable done;

		private Disposable timeout = Disposable.disposed();

		private ReleaseResponseListener(Runnable done) {
			this.done = done;
		}

		@Override
		public void onHead(HttpResponse response, ResponseHead head) {
		}

		@Override
		public void onBody(ByteBuf data) {
		}

		@Override
		public void onEnd() {
			this.timeout.dispose();
			this.done.run();
		}

		@Override
		public void onFailure(boolean sent, String reason) {
			// Results that were not released expire at the end of their lifetime.
			this.timeout.dispose();
		}

	}

	private final class RunResponseListener implements ResponseListener {

		private final StageQueue queue;

		private final StageBatch batch;

		private final Runnable done;

		private final long sentMillis;

		private final ByteBuf body = Unpooled.buffer();

		private Disposable timeout = Disposable.disposed();

		private ResponseHead head = new ResponseHead(0, null, false, false, false, true, false, -1, null,
				EndpointNotice.NONE);

		private boolean ended;

		private RunResponseListener(StageQueue queue, StageBatch batch, Runnable done, long sentMillis) {
			this.queue = queue;
			this.batch = batch;
			this.done = done;
			this.sentMillis = sentMillis;
		}

		@Override
		public void onHead(HttpResponse response, ResponseHead responseHead) {
			this.head = responseHead;
		}

		@Override
		public void onBody(ByteBuf data) {
			this.body.writeBytes(data);
		}

		@Override
		public void onEnd() {
			if (this.ended) {
				return;
			}
			if (this.head.status() != OK) {
				fail(this.head.notExecuted(), "status " + this.head.status());
				return;
			}
			try {
				List<PieceResult> results = StageEndpointClient.this.format.results(ByteBufUtil.getBytes(this.body),
						this.batch.tasks().size(), this.batch.endpoint().record().availabilityZone());
				finish();
				reportMissingCapacity(results);
				long now = StageEndpointClient.this.context.now();
				StageEndpointClient.this.context.metrics()
					.stageCall(this.batch.tasks().size(), "done", now - this.sentMillis);
				deliver(this.queue.complete(this.batch, results, now));
				this.done.run();
			}
			catch (PlatformFormatException ex) {
				fail(false, ex.getMessage());
			}
		}

		@Override
		public void onFailure(boolean sent, String reason) {
			if (this.ended) {
				return;
			}
			if (!sent && StageEndpointClient.this.context.directory().isEvacuated(this.batch.endpoint())) {
				withdraw(reason);
				return;
			}
			fail(false, reason);
		}

		private void reportMissingCapacity(List<PieceResult> results) {
			long missing = results.stream().filter((result) -> result.failure() == PieceFailure.NO_ROOM).count();
			if (missing == 0) {
				return;
			}
			StageEndpointClient.this.context.log()
				.event(EntryEvent.STAGE_CAPACITY_MISSING)
				.field("service", this.queue.service())
				.field("endpoint", this.batch.endpoint().record().id())
				.field("pieces", results.size())
				.field("missing", missing)
				.field("room_bytes", this.batch.freeBytes())
				.write();
		}

		private void finish() {
			this.ended = true;
			this.timeout.dispose();
		}

		private void withdraw(String reason) {
			finish();
			long now = StageEndpointClient.this.context.now();
			report("withheld", reason, now);
			deliver(this.queue.withdraw(this.batch, now));
			this.done.run();
		}

		private void fail(boolean notExecuted, String reason) {
			finish();
			long now = StageEndpointClient.this.context.now();
			report("failed", reason, now);
			deliver(this.queue.fail(this.batch, notExecuted, now));
			this.done.run();
		}

		private void report(String outcome, String reason, long now) {
			StageEndpointClient.this.context.log()
				.event(EntryEvent.STAGE_CALL_FAILED)
				.field("service", this.queue.service())
				.field("endpoint", this.batch.endpoint().record().id())
				.field("pieces", this.batch.tasks().size())
				.field("reason", reason)
				.field("age_ms", now - this.sentMillis)
				.write();
			StageEndpointClient.this.context.metrics()
				.stageCall(this.batch.tasks().size(), outcome, now - this.sentMillis);
		}

		private void deliver(List<StageQueue.CompletedPiece> pieces) {
			for (StageQueue.CompletedPiece piece : pieces) {
				String handle = piece.result().handle();
				if (handle != null && this.queue.isCancelled(piece.task())) {
					release(this.queue.service(), this.queue, List.of(handle), (queue) -> this.done.run());
					continue;
				}
				StageEndpointClient.this.resultListener.onPieceResult(this.queue.service(), piece.task(),
						piece.result());
			}
		}

	}

}
