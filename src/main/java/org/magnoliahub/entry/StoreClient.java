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
import org.magnoliahub.serving.ResponseHead;
import org.magnoliahub.serving.StoreEra;
import org.magnoliahub.time.Timers;

/**
 * HTTP client of the platform's store. Each call has a timeout.
 */
final class StoreClient implements StoreCalls {

	private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

	private static final long MAXIMUM_IDLE_MILLIS = 10_000;

	/** Larger than any page of rows with its encoding. */
	private static final long MAXIMUM_RESPONSE_BYTES = 4_194_304;

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
		HttpCall call = new HttpCall(this.address, method, target, headers, body, MAXIMUM_IDLE_MILLIS,
				CONNECT_TIMEOUT_MILLIS, MAXIMUM_RESPONSE_BYTES, null, EndpointInterceptor.NONE);
		BodyCollector collector = new BodyCollector(method, handler);
		HttpExchange exchange = this.httpClient.send(call, collector);
		collector.timeout = this.timers.schedule(Duration.ofMillis(timeoutMillis), () -> {
			exchange.cancel();
			// Other connections that were open at the same time may be silent as well.
			this.httpClient.closeIdle(this.address);
			collector.onFailure(true, "no response within " + timeoutMillis + " ms");
		});
	}

	private final class BodyCollector implements ResponseListener {

		private final HttpMethod method;

		private final Handler handler;

		private final ByteBuf body = Unpooled.buffer();

		private Disposable timeout = Disposable.disposed();

		private int status;

		private @Nullable String discardReason;

		private boolean completed;

		private BodyCollector(HttpMethod method, Handler handler) {
			this.method = method;
			this.handler = handler;
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
