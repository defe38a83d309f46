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
import org.magnoliahub.serving.PieceResult;
import org.magnoliahub.serving.ResponseHead;
import org.magnoliahub.serving.StageBatch;
import org.magnoliahub.serving.StageQueue;
import org.magnoliahub.serving.StageTask;

/**
 * Sends calls to stage endpoints and gives their results up.
 */
final class StageEndpointClient {

	private static final int CONNECT_MILLIS = 400;

	/** Kept time of a connection for giving results up. */
	private static final long IDLE_MILLIS = 1_000;

	/** A call takes at most this many times its expected time, and the slack. */
	private static final double LONGEST_FACTOR = 5;

	private static final long LONGEST_SLACK_MILLIS = 600;

	/** Longest time until an endpoint has confirmed that results were given up. */
	private static final Duration FREE_LIMIT = Duration.ofMillis(1_500);

	/** Longest pause of an endpoint after which results are still given up. */
	private static final Duration LONGEST_FREE_DELAY = Duration.ofSeconds(30);

	private static final long MAXIMUM_ANSWER_BYTES = 1_048_576;

	private static final int OK = 200;

	private final EntryContext context;

	private final PieceResultListener delivery;

	private final StageCallFormat format = new StageCallFormat();

	StageEndpointClient(EntryContext context, PieceResultListener delivery) {
		this.context = context;
		this.delivery = delivery;
	}

	/**
	 * Sends a call.
	 * @param queue the queue that formed it
	 * @param call the call
	 * @param done called when the endpoint is free again
	 */
	void send(StageQueue queue, StageBatch call, Runnable done) {
		long now = this.context.now();
		this.context.log()
			.event(EntryEvent.STAGE_CALL_SENT)
			.field("service", queue.service())
			.field("endpoint", call.endpoint().record().id())
			.field("pieces", call.tasks().size())
			.field("waiting", queue.size())
			.field("expected_ms", call.expectedMillis())
			.write();
		long budget = 1;
		for (StageTask task : call.tasks()) {
			budget = Math.max(budget, task.job().expiresAt() - now);
		}
		// A new connection for each call: an answer here names no request, so a late
		// second
		// answer to an earlier call could not be told from the right one.
		HttpCall http = new HttpCall(call.endpoint().record().address(), HttpMethod.POST, StageCallFormat.RUN_PATH,
				PlatformHeaders.ownCallHeaders(call.endpoint().record().id(), budget),
				this.format.run(call.tasks(), now), 0, CONNECT_MILLIS, MAXIMUM_ANSWER_BYTES, (head) -> true,
				this.context.endpointNotices().interceptor(call.endpoint(), (head) -> true));
		RunResponseListener answer = new RunResponseListener(queue, call, done, now);
		HttpExchange exchange = this.context.httpClient().send(http, answer);
		long limit = (long) (LONGEST_FACTOR * call.expectedMillis()) + LONGEST_SLACK_MILLIS;
		answer.timeout = this.context.timers().schedule(Duration.ofMillis(limit), () -> {
			exchange.cancel();
			answer.onFailure(true, "no answer within " + limit + " ms");
		});
	}

	/**
	 * Gives results up. Their room counts as free when the endpoint has answered.
	 * @param service the service that made them
	 * @param queue the queue of the service, or {@code null} if this gateway has none
	 * @param handles their handles
	 * @param done called when room is free
	 */
	void free(String service, @Nullable StageQueue queue, List<String> handles, Consumer<StageQueue> done) {
		Map<String, List<String>> byAddress = new HashMap<>();
		for (String handle : handles) {
			byAddress.computeIfAbsent(StageCallFormat.address(handle), (address) -> new ArrayList<>()).add(handle);
		}
		byAddress.forEach((address, list) -> free(service, address, list, () -> {
			if (queue != null) {
				queue.releaseResults(list, this.context.now());
				done.accept(queue);
			}
		}));
	}

	private void free(String service, String address, List<String> handles, Runnable done) {
		Optional<EndpointState> maker = this.context.directory().findByAddress(service, address);
		long now = this.context.now();
		if (maker.isPresent() && maker.get().isPauseRequested(now)) {
			// Results expire by themselves when the pause is longer than their life.
			Duration rest = Duration.ofMillis(maker.get().requestedPauseEnd() - now);
			if (rest.compareTo(LONGEST_FREE_DELAY) <= 0) {
				this.context.timers().schedule(rest, () -> free(service, address, handles, done));
			}
			return;
		}
		EndpointInterceptor contact = maker
			.map((endpoint) -> this.context.endpointNotices().interceptor(endpoint, (head) -> true))
			.orElse(EndpointInterceptor.NONE);
		String id = maker.map((endpoint) -> endpoint.record().id()).orElse("");
		HttpCall call = new HttpCall(address, HttpMethod.POST, StageCallFormat.FREE_PATH,
				PlatformHeaders.ownCallHeaders(id, FREE_LIMIT.toMillis()), this.format.free(handles), IDLE_MILLIS,
				CONNECT_MILLIS, MAXIMUM_ANSWER_BYTES, (head) -> true, contact);
		FreeResponseListener answer = new FreeResponseListener(done);
		HttpExchange exchange = this.context.httpClient().send(call, answer);
		answer.timeout = this.context.timers().schedule(FREE_LIMIT, exchange::cancel);
	}

	/**
	 * Passes the result of a piece on.
	 */
	interface PieceResultListener {

		/**
		 * Called once for each piece that is done or given up.
		 * @param service the service
		 * @param task the piece
		 * @param result its result
		 */
		void onPieceResult(String service, StageTask task, PieceResult result);

	}

	private static final class FreeResponseListener implements ResponseListener {

		private final Runnable done;

		private Disposable timeout = Disposable.disposed();

		private FreeResponseListener(Runnable done) {
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
			// Results expire by themselves.
			this.timeout.dispose();
		}

	}

	private final class RunResponseListener implements ResponseListener {

		private final StageQueue queue;

		private final StageBatch call;

		private final Runnable done;

		private final long sentMillis;

		private final ByteBuf body = Unpooled.buffer();

		private Disposable timeout = Disposable.disposed();

		private ResponseHead head = new ResponseHead(0, null, false, false, false, true, -1, null, EndpointNotice.NONE);

		private boolean over;

		private RunResponseListener(StageQueue queue, StageBatch call, Runnable done, long sentMillis) {
			this.queue = queue;
			this.call = call;
			this.done = done;
			this.sentMillis = sentMillis;
		}

		@Override
		public void onHead(HttpResponse response, ResponseHead read) {
			this.head = read;
		}

		@Override
		public void onBody(ByteBuf data) {
			this.body.writeBytes(data);
		}

		@Override
		public void onEnd() {
			if (this.over) {
				return;
			}
			if (this.head.status() != OK) {
				fail(this.head.notExecuted(), "status " + this.head.status());
				return;
			}
			try {
				List<PieceResult> results = StageEndpointClient.this.format.results(ByteBufUtil.getBytes(this.body),
						this.call.tasks().size(), this.call.endpoint().record().availabilityZone());
				finish();
				long now = StageEndpointClient.this.context.now();
				StageEndpointClient.this.context.metrics()
					.stageCall(this.call.tasks().size(), "done", now - this.sentMillis);
				deliver(this.queue.complete(this.call, results, now));
				this.done.run();
			}
			catch (PlatformFormatException ex) {
				fail(false, ex.getMessage());
			}
		}

		@Override
		public void onFailure(boolean sent, String reason) {
			if (!this.over) {
				fail(false, reason);
			}
		}

		private void finish() {
			this.over = true;
			this.timeout.dispose();
		}

		private void fail(boolean refused, String reason) {
			finish();
			long now = StageEndpointClient.this.context.now();
			StageEndpointClient.this.context.log()
				.event(EntryEvent.STAGE_CALL_FAILED)
				.field("service", this.queue.service())
				.field("endpoint", this.call.endpoint().record().id())
				.field("pieces", this.call.tasks().size())
				.field("reason", reason)
				.field("age_ms", now - this.sentMillis)
				.write();
			StageEndpointClient.this.context.metrics()
				.stageCall(this.call.tasks().size(), "failed", now - this.sentMillis);
			deliver(this.queue.fail(this.call, refused, now));
			this.done.run();
		}

		private void deliver(List<StageQueue.CompletedPiece> pieces) {
			for (StageQueue.CompletedPiece piece : pieces) {
				String handle = piece.result().handle();
				if (handle != null && this.queue.isCancelled(piece.task())) {
					free(this.queue.service(), this.queue, List.of(handle), (queue) -> this.done.run());
					continue;
				}
				StageEndpointClient.this.delivery.onPieceResult(this.queue.service(), piece.task(), piece.result());
			}
		}

	}

}
