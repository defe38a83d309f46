package org.magnoliahub.entry;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

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
	void findsFirstAndLastId() {
		byte[] events = STREAM.getBytes(StandardCharsets.UTF_8);
		assertThat(EventSplitter.firstId(events)).isEqualTo("1");
		assertThat(EventSplitter.lastId(events)).isEqualTo("3");
		assertThat(EventSplitter.lastId("data: id: 9\n\n".getBytes(StandardCharsets.UTF_8))).isNull();
	}

	@Test
	void streamIsContinuedOnlyAfterLastRelayedEvent() {
		StreamPosition position = new StreamPosition("text/event-stream");
		position.advance("id: 4\ndata: x\n\n".getBytes(StandardCharsets.UTF_8));
		assertThat(position.isContinuedBy("id: 5\ndata: y\n\n".getBytes(StandardCharsets.UTF_8))).isTrue();
		assertThat(position.isContinuedBy("id: 4\ndata: x\n\n".getBytes(StandardCharsets.UTF_8))).isFalse();
		assertThat(position.isContinuedBy("data: y\n\n".getBytes(StandardCharsets.UTF_8))).isFalse();
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
