package org.magnoliahub.platformhttp;

import java.io.IOException;
import java.time.Duration;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.Dispatcher;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import okhttp3.ResponseBody;
import org.magnoliahub.okhttp.RequestTransmission;
import org.magnoliahub.okhttp.ResponseChecks;
import org.magnoliahub.store.StoreException;

/**
 * Sends requests to one service of the platform and maps failures to
 * {@link StoreException}.
 */
final class HttpCalls {

	// Further calls wait, and the wait counts towards their time-out. The default of 5
	// per
	// host would let a few slow calls hold up all others.
	private static final int MAXIMUM_CONCURRENT_CALLS = 64;

	// A conflict shows up to 50 claims, each with an answer of up to 1 MiB.
	private static final long MAXIMUM_ANSWER_BYTES = 64L * 1024 * 1024;

	private static final int TOO_MANY_REQUESTS = 429;

	private static final int REQUEST_TIMEOUT = 408;

	// Answer of the etcd gateway to a cancelled call.
	private static final int CLIENT_CLOSED_REQUEST = 499;

	private static final int BAD_REQUEST = 400;

	private static final int SERVER_ERROR = 500;

	private final OkHttpClient client;

	private final Scheduler eventLoop;

	private HttpCalls(OkHttpClient client, Scheduler eventLoop) {
		this.client = client;
		this.eventLoop = eventLoop;
	}

	/**
	 * Derives a client. It neither repeats requests nor follows redirects, since a
	 * repeated write would conflict with itself.
	 * @param client shares its connections and threads
	 * @param timeout longest time of a call, positive
	 * @param eventLoop where results are delivered
	 * @return the calls
	 */
	static HttpCalls of(OkHttpClient client, Duration timeout, Scheduler eventLoop) {
		if (timeout.isZero() || timeout.isNegative()) {
			throw new IllegalArgumentException("timeout must be positive, but was " + timeout);
		}
		Dispatcher dispatcher = new Dispatcher(client.dispatcher().executorService());
		dispatcher.setMaxRequests(MAXIMUM_CONCURRENT_CALLS);
		dispatcher.setMaxRequestsPerHost(MAXIMUM_CONCURRENT_CALLS);
		return new HttpCalls(ResponseChecks.addTo(client.newBuilder())
			.dispatcher(dispatcher)
			.callTimeout(timeout)
			.connectTimeout(timeout)
			.readTimeout(timeout)
			.writeTimeout(timeout)
			.retryOnConnectionFailure(false)
			.followRedirects(false)
			.build(), eventLoop);
	}

	Single<HttpAnswer> send(Request.Builder builder, boolean write) {
		return Single.<HttpAnswer>create((emitter) -> {
			RequestTransmission transmission = RequestTransmission.attachTo(builder);
			Call call = this.client.newCall(builder.build());
			emitter.setCancellable(call::cancel);
			call.enqueue(new Callback() {

				@Override
				public void onFailure(Call failed, IOException ex) {
					emitter.tryOnError(failure(failed, ex, write && transmission.hasStarted()));
				}

				@Override
				public void onResponse(Call answered, Response response) {
					try (response) {
						ResponseBody body = response.body();
						if (body != null && body.source().request(MAXIMUM_ANSWER_BYTES + 1)) {
							throw new IOException("answer is longer than " + MAXIMUM_ANSWER_BYTES + " bytes");
						}
						byte[] content = (body != null) ? body.bytes() : new byte[0];
						emitter.onSuccess(new HttpAnswer(response.code(), response.header("ETag", ""), content));
					}
					catch (IOException ex) {
						emitter.tryOnError(failure(answered, ex, write));
					}
				}

			});
		}).observeOn(this.eventLoop);
	}

	static StoreException unexpectedStatus(HttpAnswer answer, boolean write) {
		int status = answer.status();
		boolean refused = status >= BAD_REQUEST && status < SERVER_ERROR && status != REQUEST_TIMEOUT
				&& status != CLIENT_CLOSED_REQUEST;
		String reason = (status == TOO_MANY_REQUESTS) ? " (too many requests)" : "";
		return new StoreException("service answered with HTTP status " + status + reason, write && !refused);
	}

	private static StoreException failure(Call call, IOException cause, boolean effectPossible) {
		StoreException failure = new StoreException("call to " + call.request().url().redact() + " failed: " + cause,
				effectPossible);
		failure.initCause(cause);
		return failure;
	}

}
