package org.magnoliahub.enginehttp;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

import okhttp3.Call;
import okhttp3.EventListener;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.magnoliahub.agent.EndpointException;

/**
 * One HTTP request and its response. Observes whether any byte of the request may have
 * reached the back end.
 */
final class Exchange extends EventListener {

	private static final int TOO_MANY_REQUESTS = 429;

	private static final int SERVICE_UNAVAILABLE = 503;

	private final Call call;

	private volatile boolean sent;

	private Exchange(OkHttpClient client, Request.Builder request, Duration budget) {
		this.call = client.newCall(request.tag(Exchange.class, this).build());
		this.call.timeout().timeout(budget.toMillis(), TimeUnit.MILLISECONDS);
	}

	static Exchange create(OkHttpClient client, Request.Builder request, Duration budget) {
		return new Exchange(client, request, budget);
	}

	static EventListener listenerOf(Call call) {
		Exchange exchange = call.request().tag(Exchange.class);
		return (exchange != null) ? exchange : EventListener.NONE;
	}

	/**
	 * Sends the request and waits for the head of the response.
	 * @return the response with status 2xx, which the caller closes
	 * @throws EndpointException if there is no such response
	 */
	Response execute() throws EndpointException {
		Response response;
		try {
			response = this.call.execute();
		}
		catch (IOException ex) {
			throw failure(ex);
		}
		if (!response.isSuccessful()) {
			int status = response.code();
			response.close();
			boolean notStarted = status == TOO_MANY_REQUESTS || status == SERVICE_UNAVAILABLE;
			throw new EndpointException("back end answered with status " + status, !notStarted);
		}
		return response;
	}

	EndpointException failure(IOException cause) {
		String phase = this.sent ? "call to back end failed: " : "back end cannot be reached: ";
		return new EndpointException(phase + cause.getMessage(), this.sent);
	}

	void cancel() {
		this.call.cancel();
	}

	@Override
	public void requestHeadersStart(Call started) {
		this.sent = true;
	}

}
