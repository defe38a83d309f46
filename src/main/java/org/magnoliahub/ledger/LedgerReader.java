package org.magnoliahub.ledger;

import java.io.BufferedReader;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import org.magnoliahub.ledger.EndedRequest.Outcome;

/**
 * Reads the ends of requests from logs. A collector may have put a time in seconds and
 * the name of the gateway before the first line of a block.
 */
public final class LedgerReader {

	private static final int FIRST_FAILURE = 400;

	private static final double MILLIS_PER_SECOND = 1_000;

	private final Consumer<EndedRequest> requests;

	private final Map<String, Double> offsets = new HashMap<>();

	private final GatewayLog log = new GatewayLog(this::accept);

	private String gateway;

	/**
	 * Creates a reader of one log.
	 * @param gateway name of the gateway, for lines that no collector has marked
	 * @param requests receives the ends of requests
	 */
	public LedgerReader(String gateway, Consumer<EndedRequest> requests) {
		this.gateway = gateway;
		this.requests = requests;
	}

	/**
	 * Reads the log to its end.
	 * @param lines its lines
	 * @throws IOException if it cannot be read
	 */
	public void read(BufferedReader lines) throws IOException {
		this.log.read(lines);
	}

	/**
	 * Returns how many lines the gateways left out.
	 * @return number of lines
	 */
	public long omitted() {
		return this.log.omitted();
	}

	/**
	 * Returns how many lines could not be read.
	 * @return number of lines that look like events and are none
	 */
	public long unreadable() {
		return this.log.unreadable();
	}

	private void accept(GatewayLog.Entry entry) {
		mark(entry.prefix().split("\\s+"), entry.event());
		end(entry.event()).ifPresent(this.requests);
	}

	private void mark(String[] prefix, JsonNode event) {
		if (prefix.length != 2) {
			return;
		}
		this.gateway = prefix[1];
		try {
			double offset = Double.parseDouble(prefix[0]) - event.path("ms").asLong() / MILLIS_PER_SECOND;
			// A block is handed on a little after its first line was written.
			this.offsets.merge(this.gateway, offset, Math::min);
		}
		catch (NumberFormatException ex) {
			// The collector writes another kind of time; the clock of the log is used.
			this.offsets.putIfAbsent(this.gateway, 0.0);
		}
	}

	private Optional<EndedRequest> end(JsonNode event) {
		return switch (event.path("event").asText()) {
			case "request_answered" -> Optional.of(request(event, answered(event), "status " + event.path("status")));
			case "request_refused" -> Optional.of(request(event, Outcome.REFUSED, event.path("reason").asText()));
			case "request_failed" -> Optional.of(request(event, Outcome.FAILED, event.path("reason").asText()));
			case "request_cancelled" -> Optional.of(request(event, Outcome.CANCELLED, event.path("state").asText()));
			default -> Optional.empty();
		};
	}

	private static Outcome answered(JsonNode event) {
		if (event.path("status").asInt() >= FIRST_FAILURE) {
			return Outcome.FAILED;
		}
		long first = event.path("first_ms").asLong();
		long decisive = (first >= 0) ? first : event.path("age_ms").asLong();
		return (decisive <= event.path("objective_ms").asLong()) ? Outcome.IN_TIME : Outcome.LATE;
	}

	private EndedRequest request(JsonNode event, Outcome outcome, String reason) {
		int detail = reason.indexOf(':');
		double seconds = event.path("ms").asLong() / MILLIS_PER_SECOND + this.offsets.getOrDefault(this.gateway, 0.0);
		EndedRequest.Steps steps = new EndedRequest.Steps(event.path("queue_ms").asLong(),
				event.path("call_ms").asLong(), event.path("hand_ms").asLong(), event.path("lost_ms").asLong(),
				event.path("engine_ms").asLong(), event.path("pause_ms").asLong());
		return new EndedRequest(this.gateway, event.path("route").asText(), outcome,
				(detail < 0) ? reason : reason.substring(0, detail), (long) Math.floor(seconds), steps);
	}

}
