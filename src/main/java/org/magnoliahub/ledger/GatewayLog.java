package org.magnoliahub.ledger;

import java.io.BufferedReader;
import java.io.IOException;
import java.util.function.Consumer;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Reads the events of logs of entry gateways. A collector may have put its own fields
 * before them, and lines of other programs may be mixed in.
 */
public final class GatewayLog {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final Consumer<Entry> entries;

	private long omitted;

	private long unreadable;

	/**
	 * Creates a reader.
	 * @param entries receives the events
	 */
	public GatewayLog(Consumer<Entry> entries) {
		this.entries = entries;
	}

	/**
	 * Reads a log to its end.
	 * @param log the log
	 * @throws IOException if it cannot be read
	 */
	public void read(BufferedReader log) throws IOException {
		String line = log.readLine();
		while (line != null) {
			accept(line);
			line = log.readLine();
		}
	}

	/**
	 * Returns how many lines the gateways left out.
	 * @return number of lines
	 */
	public long omitted() {
		return this.omitted;
	}

	/**
	 * Returns how many lines could not be read.
	 * @return number of lines that look like events and are none
	 */
	public long unreadable() {
		return this.unreadable;
	}

	private void accept(String line) {
		int start = line.indexOf('{');
		if (start < 0) {
			return;
		}
		JsonNode event;
		try {
			event = MAPPER.readTree(line.substring(start));
		}
		catch (JsonProcessingException ex) {
			this.unreadable++;
			return;
		}
		this.omitted += event.path("omitted").asLong(0);
		this.entries.accept(new Entry(line, line.substring(0, start).trim(), event));
	}

	/**
	 * An event of a log.
	 *
	 * @param line the whole line
	 * @param prefix what a collector has put before the event, possibly nothing
	 * @param event the event
	 */
	public record Entry(String line, String prefix, JsonNode event) {
	}

}
