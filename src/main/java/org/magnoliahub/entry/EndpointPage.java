package org.magnoliahub.entry;

import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.Comparator;
import java.util.List;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import org.magnoliahub.serving.EndpointDirectory;
import org.magnoliahub.serving.EndpointState;

/**
 * The page that lists the endpoints of a gateway with their states, one JSON object per
 * line.
 */
public final class EndpointPage {

	/** Path of the page, on the metrics port. */
	public static final String PATH = "/endpoints";

	private EndpointPage() {
	}

	/**
	 * Writes the page.
	 * @param directory the endpoints
	 * @param now monotonic time, in milliseconds
	 * @return the lines, sorted by service and id
	 */
	static String text(EndpointDirectory directory, long now) {
		List<EndpointState> endpoints = directory.all()
			.stream()
			.sorted(Comparator.comparing((EndpointState endpoint) -> endpoint.record().service())
				.thenComparing((endpoint) -> endpoint.record().id()))
			.toList();
		StringWriter text = new StringWriter();
		try (JsonGenerator json = new JsonFactory().createGenerator(text)) {
			json.setRootValueSeparator(null);
			for (EndpointState endpoint : endpoints) {
				write(json, endpoint, state(directory, endpoint, now), now);
				json.writeRaw('\n');
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException("writing to memory failed", ex);
		}
		return text.toString();
	}

	private static void write(JsonGenerator json, EndpointState endpoint, String state, long now) throws IOException {
		json.writeStartObject();
		json.writeStringField("name", endpoint.record().id());
		json.writeStringField("pool", endpoint.record().service());
		json.writeStringField("zone", endpoint.record().availabilityZone());
		json.writeStringField("address", endpoint.record().address());
		json.writeStringField("state", state);
		json.writeNumberField("paused_ms", Math.max(0, endpoint.requestedPauseEnd() - now));
		if (endpoint.requestsPerSecond() > 0) {
			json.writeNumberField("requests_per_second", endpoint.requestsPerSecond());
		}
		if (endpoint.statesSlowdown(now)) {
			json.writeNumberField("slowdown_percent", endpoint.slowdownPercent(now));
		}
		json.writeEndObject();
	}

	private static String state(EndpointDirectory directory, EndpointState endpoint, long now) {
		if (endpoint.isDraining()) {
			return "draining";
		}
		if (directory.isEvacuated(endpoint)) {
			return "evacuated";
		}
		if (endpoint.isPauseRequested(now)) {
			return "paused";
		}
		if (endpoint.isSendLimited(now)) {
			return "cold";
		}
		if (endpoint.requestsPerSecond() > 0) {
			return "limited";
		}
		return endpoint.isAvailable(now) ? "usable" : "returning";
	}

}
