package org.magnoliahub.entry;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.reactivex.rxjava3.disposables.Disposable;
import org.jspecify.annotations.Nullable;
import org.magnoliahub.platform.PlatformFormatException;
import org.magnoliahub.platform.PlatformHeaders;
import org.magnoliahub.platform.StoreFormat;
import org.magnoliahub.serving.ResponseHead;
import org.magnoliahub.serving.StoreEra;
import org.magnoliahub.time.Timers;

/**
 * HTTP client of the platform's store. Each call has a timeout.
 */
final class StoreClient implements StoreCalls {

	private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

	/**
	 * Idle time of reused connections of a feed. Responses of the store name no request,
	 * so each feed has connections of its own, and each other call has a new one: a
	 * repeated response to a read of another table would hide changes, and one to another
	 * write would confirm a write that was not done.
	 */
	private static final long MAXIMUM_IDLE_MILLIS = 10_000;

	/** A configuration of 14,000 routes with its encoding takes about 8 MB. */
	private static final long MAXIMUM_RESPONSE_BYTES = 9_437_184;

	/**
	 * Time without a further part of a response after which it counts as lost. A large
	 * configuration takes longer than the timeout of a call on a slow link, and would be
	 * requested again and again.
	 */
	private static final long PROGRESS_TIMEOUT_MILLIS = 600;

	/** Limit on a response that arrives in small parts without an end. */
	private static final long MAXIMUM_TRANSFER_MILLIS = 20_000;

	private static final byte[] EMPTY = new byte[0];

	private final HttpClient httpClient;

	private final Timers timers;

	private final EntryMetrics metrics;

	private final String address;

	private final StoreEra era;

	private final Consumer<String> eraFaults;

	/**
	 * Creates a client.
	 * @param httpClient sends the calls
	 * @param timers the timer service
	 * @param metrics counts the calls
	 * @param address host and port of the store
	 * @param era tracks the era that responses state
	 * @param eraFaults receives descriptions of invalid and outdated eras
	 */
	StoreClient(HttpClient httpClient, Timers timers, EntryMetrics metrics, String address, StoreEra era,
			Consumer<String> eraFaults) {
		this.httpClient = httpClient;
		this.timers = timers;
		this.metrics = metrics;
		this.address = address;
		this.era = era;
		this.eraFaults = eraFaults;
	}

	@Override
	public void get(String target, long timeoutMillis, Handler handler) {
		call(HttpMethod.GET, target, PlatformHeaders.ownCallHeaders("", 0), EMPTY, timeoutMillis, handler);
	}

	@Override
	public void delete(String target, long timeoutMillis, Handler handler) {
		call(HttpMethod.DELETE, target, PlatformHeaders.ownCallHeaders("", 0), EMPTY, timeoutMillis, handler);
	}

	@Override
	public void put(String target, byte[] body, boolean onlyIfAbsent, long timeoutMillis, Handler handler) {
		HttpHeaders headers = PlatformHeaders.ownCallHeaders("", 0);
		if (onlyIfAbsent) {
			headers.set(HttpHeaderNames.IF_NONE_MATCH, "*");
		}
		call(HttpMethod.PUT, target, headers, body, timeoutMillis, handler);
	}

	@Override
	public void post(String target, byte[] body, long timeoutMillis, Handler handler) {
		call(HttpMethod.POST, target, PlatformHeaders.ownCallHeaders("", 0), body, timeoutMillis, handler);
	}

	private void call(HttpMethod method, String target, HttpHeaders headers, byte[] body, long timeoutMillis,
			Handler handler) {
		String feed = StoreFormat.feed(target);
		HttpCall call = new HttpCall(this.address, feed, method, target, headers, body,
				feed.isEmpty() ? 0 : MAXIMUM_IDLE_MILLIS, CONNECT_TIMEOUT_MILLIS, MAXIMUM_RESPONSE_BYTES, null,
				EndpointInterceptor.NONE);
		BodyCollector collector = new BodyCollector(method, handler);
		collector.exchange = this.httpClient.send(call, collector);
		collector.scheduleTimeout(Duration.ofMillis(timeoutMillis));
	}

	private final class BodyCollector implements ResponseListener {

		private final HttpMethod method;

		private final Handler handler;

		private final ByteBuf body = Unpooled.buffer();

		private final long startedMillis = StoreClient.this.timers.milliTime();

		private @Nullable HttpExchange exchange;

		private Disposable timeout = Disposable.disposed();

		private long lastPartMillis = this.startedMillis - PROGRESS_TIMEOUT_MILLIS;

		private int status;

		private @Nullable String discardReason;

		private boolean completed;

		private BodyCollector(HttpMethod method, Handler handler) {
			this.method = method;
			this.handler = handler;
		}

		private void scheduleTimeout(Duration delay) {
			this.timeout = StoreClient.this.timers.schedule(delay, this::onTimeout);
		}

		private void onTimeout() {
			long now = StoreClient.this.timers.milliTime();
			long elapsedMillis = now - this.startedMillis;
			long remainingMillis = this.lastPartMillis + PROGRESS_TIMEOUT_MILLIS - now;
			if (remainingMillis > 0 && elapsedMillis < MAXIMUM_TRANSFER_MILLIS) {
				scheduleTimeout(Duration.ofMillis(remainingMillis));
				return;
			}
			if (this.exchange != null) {
				this.exchange.cancel();
			}
			// Other connections that were open at the same time may be silent as well.
			StoreClient.this.httpClient.closeIdle(StoreClient.this.address);
			onFailure(true, "no complete response within " + elapsedMillis + " ms, " + this.body.readableBytes()
					+ " bytes received");
		}

		@Override
		public void onHead(HttpResponse response, ResponseHead head) {
			this.status = response.status().code();
			this.discardReason = checkEra(response);
		}

		private @Nullable String checkEra(HttpResponse response) {
			OptionalLong statedEra;
			try {
				statedEra = PlatformHeaders.storeEra(response);
			}
			catch (PlatformFormatException ex) {
				StoreClient.this.eraFaults.accept(ex.getMessage());
				return null;
			}
			if (StoreClient.this.era.observe(statedEra)) {
				return null;
			}
			String reason = "response from era " + statedEra.getAsLong() + " after a response from era "
					+ StoreClient.this.era.current();
			StoreClient.this.eraFaults.accept(reason);
			return reason;
		}

		@Override
		public void onBody(ByteBuf data) {
			this.lastPartMillis = StoreClient.this.timers.milliTime();
			this.body.writeBytes(data);
		}

		@Override
		public void onEnd() {
			if (!complete(Integer.toString(this.status))) {
				return;
			}
			if (this.discardReason != null) {
				this.handler.onFailure(this.discardReason);
				return;
			}
			this.handler.onResponse(this.status, ByteBufUtil.getBytes(this.body));
		}

		@Override
		public void onFailure(boolean sent, String reason) {
			if (complete("none")) {
				this.handler.onFailure(reason);
			}
		}

		// Returns whether the call was still open before.
		private boolean complete(String outcome) {
			if (this.completed) {
				return false;
			}
			this.completed = true;
			this.timeout.dispose();
			StoreClient.this.metrics.storeCall(this.method.name(), outcome);
			return true;
		}

	}

}
