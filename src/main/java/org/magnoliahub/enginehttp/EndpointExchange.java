package org.magnoliahub.enginehttp;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

import okhttp3.Call;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.magnoliahub.agent.EndpointException;
import org.magnoliahub.okhttp.RequestTransmission;

/**
 * An HTTP request and its response. Tracks whether any byte of the request may have
 * reached the back end.
 */
final class EndpointExchange {

	private static final int TOO_MANY_REQUESTS = 429;

	private static final int SERVICE_UNAVAILABLE = 503;

	private final OkHttpClient client;

	private final Call call;

	private final RequestTransmission transmission;

	private EndpointExchange(OkHttpClient client, Request.Builder request, Duration timeout) {
		this.client = client;
		this.transmission = RequestTransmission.attachTo(request);
		this.call = client.newCall(request.build());
		this.call.timeout().timeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
	}

	static EndpointExchange create(OkHttpClient client, Request.Builder request, Duration timeout) {
		return new EndpointExchange(client, request, timeout);
	}

	/**
	 * Sends the request and waits for the response headers.
	 * @return a response with status 2xx, to be closed by the caller
	 * @throws EndpointException if the request fails or the status is not 2xx
	 */
	Response execute() throws EndpointException {
		Response response;
		try {
			response = this.call.execute();
		}
		catch (IOException ex) {
			throw toEndpointException(ex);
		}
		if (!response.isSuccessful()) {
			int status = response.code();
			response.close();
			// Responses name no request, so a refusal that the back end repeats on a kept
			// connection would count as proof that the next call did not run.
			this.client.connectionPool().evictAll();
			boolean rejected = status == TOO_MANY_REQUESTS || status == SERVICE_UNAVAILABLE;
			throw new EndpointException("back end answered with status " + status, !rejected);
		}
		return response;
	}

	EndpointException toEndpointException(IOException cause) {
		boolean started = this.transmission.hasStarted();
		String phase = started ? "call to back end failed: " : "back end cannot be reached: ";
		return new EndpointException(phase + cause.getMessage(), started);
	}

	void cancel() {
		this.call.cancel();
	}

}
