package org.magnoliahub.entry;

import java.util.concurrent.atomic.AtomicInteger;

import io.netty.channel.Channel;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against clients that keep all connections of a small server open.
 */
class RecentChannelsTests {

	private final AtomicInteger closed = new AtomicInteger();

	private final RecentChannels channels = new RecentChannels(2, this.closed::incrementAndGet);

	@Test
	void newConnectionReplacesTheOneThatWasNotUsedForLongest() {
		Channel used = new EmbeddedChannel();
		Channel unused = new EmbeddedChannel();
		Channel latest = new EmbeddedChannel();
		this.channels.add(used);
		this.channels.add(unused);
		this.channels.use(used);
		this.channels.add(latest);
		assertThat(unused.isOpen()).isFalse();
		assertThat(used.isOpen()).isTrue();
		assertThat(latest.isOpen()).isTrue();
		assertThat(this.closed).hasValue(1);
	}

}
