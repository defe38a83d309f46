package org.magnoliahub.server;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.handler.ErrorHandler;
import org.jspecify.annotations.Nullable;
import org.magnoliahub.model.Outcome;
import org.magnoliahub.model.RefusalReason;

/**
 * Answers requests that the HTTP parser refuses, such as those with an oversized header,
 * in the form of all other refusals.
 */
final class BadMessageHandler extends ErrorHandler {

	@Override
	public ByteBuffer badMessageError(int status, @Nullable String reason, HttpFields.Mutable fields) {
		fields.put(HttpHeader.CONTENT_TYPE, "application/json");
		Outcome.NotRun refusal = new Outcome.NotRun(RefusalReason.INVALID_REQUEST,
				"the HTTP message is not accepted: " + ((reason != null) ? reason : HttpStatus.getMessage(status))
						+ " (status " + status + "; header limit " + HttpServers.MAXIMUM_HEADER_BYTES + " bytes)",
				Duration.ZERO);
		return ByteBuffer.wrap(OutcomeJson.render("", refusal).getBytes(StandardCharsets.UTF_8));
	}

}
