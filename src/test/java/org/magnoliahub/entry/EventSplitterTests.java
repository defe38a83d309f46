package org.magnoliahub.entry;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

import io.netty.buffer.Unpooled;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against incomplete events that are relayed to a caller.
 */
class EventSplitterTests {

	private static final String STREAM = "id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\nid: 3\r\ndata: d\r\n\r\n";

	private static byte[] add(EventSplitter splitter, String text) {
		return splitter.add(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
	}

	@Test
	void incompleteEventIsHeldBack() {
		EventSplitter splitter = new EventSplitter();
		assertThat(add(splitter, "id: 1\ndata: a\n")).isEmpty();
		assertThat(new String(add(splitter, "\nid: 2"), StandardCharsets.UTF_8)).isEqualTo("id: 1\ndata: a\n\n");
		assertThat(new String(splitter.incompleteEvent(), StandardCharsets.UTF_8)).isEqualTo("id: 2");
	}

	@Test
	void findsIdsOfEvents() {
		List<StreamEvent> events = StreamEvent.parse(STREAM.getBytes(StandardCharsets.UTF_8));
		assertThat(events).extracting(StreamEvent::id).containsExactly("1", "2", "3");
		assertThat(StreamEvent.parse("data: id: 9\n\n".getBytes(StandardCharsets.UTF_8)))
			.containsExactly(new StreamEvent(0, null));
	}

	@Test
	void streamIsContinuedOnlyAfterLastRelayedEvent() {
		StreamPosition position = new StreamPosition("text/event-stream");
		position.advance("id: 4\ndata: x\n\n".getBytes(StandardCharsets.UTF_8));
		assertThat(position.isContinuedBy("id: 5\ndata: y\n\n".getBytes(StandardCharsets.UTF_8))).isTrue();
		assertThat(position.isContinuedBy("id: 4\ndata: x\n\n".getBytes(StandardCharsets.UTF_8))).isFalse();
		assertThat(position.isContinuedBy("data: y\n\n".getBytes(StandardCharsets.UTF_8))).isFalse();
	}

	/**
	 * Guards against an event that is held back because it ends with carriage returns.
	 */
	@Property(tries = 200)
	void eventsEndWithAnyLineEnd(@ForAll @IntRange(min = 0, max = 2) int lineEnd,
			@ForAll @IntRange(min = 1, max = 12) int size) {
		String stream = STREAM.replace("\r\n", "\n").replace("\n", List.of("\n", "\r\n", "\r").get(lineEnd));
		EventSplitter splitter = new EventSplitter();
		ByteArrayOutputStream returned = new ByteArrayOutputStream();
		for (int start = 0; start < stream.length(); start += size) {
			returned.writeBytes(add(splitter, stream.substring(start, Math.min(stream.length(), start + size))));
		}
		assertThat(returned.toString(StandardCharsets.UTF_8)).isEqualTo(stream);
		assertThat(StreamEvent.parse(returned.toByteArray())).extracting(StreamEvent::id)
			.containsExactly("1", "2", "3");
		assertThat(splitter.endsInsideEvent()).isFalse();
	}

	/** Guards against a cut at any byte that is taken for the end of the stream. */
	@Property(tries = 200)
	void streamEndsInsideAnEventUnlessItEndsBehindOne(@ForAll @IntRange(min = 0, max = 2) int lineEnd,
			@ForAll @IntRange(min = 0, max = 60) int cut) {
		String end = List.of("\n", "\r\n", "\r").get(lineEnd);
		String stream = STREAM.replace("\r\n", "\n").replace("\n", end);
		String part = stream.substring(0, Math.min(stream.length(), cut));
		EventSplitter splitter = new EventSplitter();
		add(splitter, part);
		// A carriage return alone ends a line, so the line feed behind the last event may
		// be missing.
		boolean whole = part.isEmpty() || part.endsWith(end + end) || part.endsWith("\r\n\r");
		assertThat(splitter.endsInsideEvent()).isEqualTo(!whole);
	}

	@Property(tries = 200)
	void bytesAreUnchangedForAnyChunkSize(@ForAll @IntRange(min = 1, max = 12) int size) {
		EventSplitter splitter = new EventSplitter();
		ByteArrayOutputStream returned = new ByteArrayOutputStream();
		for (int start = 0; start < STREAM.length(); start += size) {
			returned.writeBytes(add(splitter, STREAM.substring(start, Math.min(STREAM.length(), start + size))));
		}
		assertThat(returned.toString(StandardCharsets.UTF_8)).isEqualTo(STREAM);
		assertThat(splitter.incompleteEvent()).isEmpty();
	}

}
