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
 * Writes events as one JSON object a line. Lines are gathered and handed on a few times a
 * second; a limit for each kind of event and a bounded buffer keep the load bounded, and
 * lines that are left out are counted.
 */
final class EntryLog {

	private static final Duration FLUSH_INTERVAL = Duration.ofMillis(250);

	private static final int BUFFER_CHARACTERS = 262_144;

	private final JsonFactory json = new JsonFactory();

	private final Timers timers;

	private final Consumer<String> output;

	private final StringBuilder buffer = new StringBuilder();

	private final Map<EntryEvent, Integer> written = new EnumMap<>(EntryEvent.class);

	private final Map<EntryEvent, Integer> omitted = new EnumMap<>(EntryEvent.class);

	private long second;

	/**
	 * Creates a log.
	 * @param timers the timer service
	 * @param output takes whole lines, must not block
	 */
	EntryLog(Timers timers, Consumer<String> output) {
		this.timers = timers;
		this.output = output;
	}

	/**
	 * Starts to hand lines on.
	 */
	void start() {
		this.timers.repeat(FLUSH_INTERVAL, () -> flush());
	}

	/**
	 * Hands on what was gathered.
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
	 * @return the line, to be completed with fields and written
	 */
	Line event(EntryEvent kind) {
		return new Line(kind);
	}

	private boolean mayWrite(EntryEvent kind) {
		long current = Math.floorDiv(this.timers.milliTime(), 1_000L);
		if (current != this.second) {
			this.second = current;
			this.written.clear();
			Map<EntryEvent, Integer> left = new EnumMap<>(this.omitted);
			this.omitted.clear();
			left.forEach((event, count) -> append(
					new Line(EntryEvent.LOG_LIMITED).field("kind", event.label()).field("omitted", count)));
		}
		int count = this.written.merge(kind, 1, Integer::sum);
		if (count <= kind.linesPerSecond() && this.buffer.length() < BUFFER_CHARACTERS) {
			return true;
		}
		this.omitted.merge(kind, 1, Integer::sum);
		return false;
	}

	private void append(Line line) {
		this.buffer.append(line.text()).append('\n');
	}

	/**
	 * One line.
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
		 * @param name one of the fields of the kind
		 * @param value text, number or flag
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
		 * Writes the line, unless the limit of its kind is reached.
		 */
		void write() {
			if (mayWrite(this.kind)) {
				append(this);
			}
		}

		private String text() {
			StringWriter text = new StringWriter(160);
			try (JsonGenerator generator = EntryLog.this.json.createGenerator(text)) {
				generator.writeStartObject();
				generator.writeNumberField("ms", EntryLog.this.timers.milliTime());
				generator.writeStringField("event", this.kind.label());
				for (int index = 0; index < this.values.length; index++) {
					write(generator, this.kind.fields().get(index), this.values[index]);
				}
				generator.writeEndObject();
			}
			catch (IOException ex) {
				throw new UncheckedIOException("writing to memory failed", ex);
			}
			return text.toString();
		}

		private static void write(JsonGenerator generator, String name, Object value) throws IOException {
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
