package org.magnoliahub.entry;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;

import io.netty.channel.DefaultEventLoop;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against an uncaught exception of the thread if the gateway stops while it runs.
 */
class BackgroundLoadTests {

	private final List<Throwable> uncaught = new CopyOnWriteArrayList<>();

	private final List<String> used = new CopyOnWriteArrayList<>();

	private final CountDownLatch released = new CountDownLatch(1);

	private String create() {
		Thread.currentThread().setUncaughtExceptionHandler((thread, failure) -> this.uncaught.add(failure));
		try {
			this.released.await();
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
		return "created";
	}

	@Test
	void resultIsDroppedIfTheLoopHasEnded() throws Exception {
		DefaultEventLoop loop = new DefaultEventLoop();
		Thread thread = BackgroundLoad.start("load", this::create, loop, this.used::add);
		loop.shutdownGracefully().syncUninterruptibly();
		this.released.countDown();
		thread.join();
		assertThat(this.uncaught).isEmpty();
		assertThat(this.used).isEmpty();
	}

	@Test
	void resultIsUsedOnTheLoop() throws Exception {
		DefaultEventLoop loop = new DefaultEventLoop();
		this.released.countDown();
		BackgroundLoad.start("load", this::create, loop, this.used::add).join();
		loop.submit(() -> {
		}).syncUninterruptibly();
		assertThat(this.used).containsExactly("created");
		loop.shutdownGracefully();
	}

}
