package org.magnoliahub.entry;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against pipelined requests that are decoded, and so grow, long before they run.
 */
class StrictRequestDecoderTests {

	private static final String REQUEST = "GET / HTTP/1.1\r\n\r\n";

	private final StrictRequestDecoder decoder = new StrictRequestDecoder(8_192, new StrictRequestDecoder.Listener() {
	});

	private final EmbeddedChannel channel = new EmbeddedChannel(this.decoder);

	private void receive(String text) {
		this.channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
	}

	@Test
	void requestsBehindASuspendedDecoderStayBytes() {
		this.decoder.suspend();
		receive(REQUEST.repeat(3));
		assertThat(this.channel.inboundMessages()).isEmpty();
		assertThat(this.decoder.queuedBytes()).isEqualTo(3 * REQUEST.length());
		this.decoder.resume();
		assertThat(this.channel.inboundMessages()).hasSize(6);
	}

	@Test
	void fullQueueStopsReadingUntilItIsDecoded() {
		this.decoder.suspend();
		receive(REQUEST.repeat(1_000));
		assertThat(this.channel.config().isAutoRead()).isFalse();
		this.decoder.resume();
		assertThat(this.channel.config().isAutoRead()).isTrue();
	}

}
