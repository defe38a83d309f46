package org.magnoliahub.entry;

import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.Consumer;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import org.magnoliahub.time.Timers;

/**
 * Writes each event as one line of JSON. Lines are buffered and flushed a few times a
 * second. Each kind of event has a rate limit, and the buffer is bounded; omitted lines
 * are counted.
 */
final class EntryLog {

	private static final Duration FLUSH_INTERVAL = Duration.ofMillis(250);

	private static final int MAXIMUM_BUFFER_CHARACTERS = 262_144;

	private final JsonFactory json = new JsonFactory();

	private final Timers timers;

	private final Consumer<String> output;

	private final StringBuilder buffer = new StringBuilder();

	private final Map<EntryEvent, Integer> writtenLines = new EnumMap<>(EntryEvent.class);

	private final Map<EntryEvent, Integer> omittedLines = new EnumMap<>(EntryEvent.class);

	private long currentSecond;

	/**
	 * Creates a log.
	 * @param timers the timer service
	 * @param output receives whole lines, must not block
	 */
	EntryLog(Timers timers, Consumer<String> output) {
		this.timers = timers;
		this.output = output;
	}

	/**
	 * Starts the periodic flush.
	 */
	void start() {
		this.timers.schedulePeriodically(FLUSH_INTERVAL, () -> flush());
	}

	/**
	 * Passes the buffered lines to the output.
	 */
	void flush() {
		if (this.buffer.length() > 0) {
			this.output.accept(this.buffer.toString());
			this.buffer.setLength(0);
		}
	}

	/**
	 * Starts a line.
	 * @param kind the kind of event
	 * @return a line to which fields can be added before it is written
	 */
	Line event(EntryEvent kind) {
		return new Line(kind);
	}

	private boolean tryAcquire(EntryEvent kind) {
		long second = Math.floorDiv(this.timers.milliTime(), 1_000L);
		if (second != this.currentSecond) {
			this.currentSecond = second;
			this.writtenLines.clear();
			Map<EntryEvent, Integer> previouslyOmitted = new EnumMap<>(this.omittedLines);
			this.omittedLines.clear();
			previouslyOmitted.forEach((event, count) -> append(
					new Line(EntryEvent.LOG_LIMITED).field("kind", event.label()).field("omitted", count)));
		}
		int count = this.writtenLines.merge(kind, 1, Integer::sum);
		if (count <= kind.linesPerSecond() && this.buffer.length() < MAXIMUM_BUFFER_CHARACTERS) {
			return true;
		}
		this.omittedLines.merge(kind, 1, Integer::sum);
		return false;
	}

	private void append(Line line) {
		this.buffer.append(line.toJson()).append('\n');
	}

	/**
	 * A log line under construction.
	 */
	final class Line {

		private final EntryEvent kind;

		private final Object[] values;

		private Line(EntryEvent kind) {
			this.kind = kind;
			this.values = new Object[kind.fields().size()];
		}

		/**
		 * Sets a field.
		 * @param name name of a field of the kind
		 * @param value a string, number or boolean
		 * @return this line
		 * @throws IllegalArgumentException if the kind has no such field
		 */
		Line field(String name, Object value) {
			int index = this.kind.fields().indexOf(name);
			if (index < 0) {
				throw new IllegalArgumentException(this.kind + " has no field " + name);
			}
			this.values[index] = value;
			return this;
		}

		/**
		 * Writes the line unless the rate limit of its kind or the size limit of the
		 * buffer is reached.
		 */
		void write() {
			if (tryAcquire(this.kind)) {
				append(this);
			}
		}

		private String toJson() {
			StringWriter text = new StringWriter(160);
			try (JsonGenerator generator = EntryLog.this.json.createGenerator(text)) {
				generator.writeStartObject();
				generator.writeNumberField("ms", EntryLog.this.timers.milliTime());
				generator.writeStringField("event", this.kind.label());
				for (int index = 0; index < this.values.length; index++) {
					writeField(generator, this.kind.fields().get(index), this.values[index]);
				}
				generator.writeEndObject();
			}
			catch (IOException ex) {
				throw new UncheckedIOException("writing to memory failed", ex);
			}
			return text.toString();
		}

		private static void writeField(JsonGenerator generator, String name, Object value) throws IOException {
			if (value instanceof Integer || value instanceof Long) {
				generator.writeNumberField(name, ((Number) value).longValue());
			}
			else if (value instanceof Double number) {
				generator.writeNumberField(name, Math.round(number));
			}
			else if (value instanceof Boolean flag) {
				generator.writeBooleanField(name, flag);
			}
			else if (value != null) {
				generator.writeStringField(name, value.toString());
			}
		}

	}

}
