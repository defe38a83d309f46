package org.magnoliahub.entry;

import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against the loss of reload requests that come before the gateway has started.
 */
class ReloadRequestsTests {

	@Test
	void earlyRequestsCauseOneReload() {
		ReloadRequests requests = new ReloadRequests();
		AtomicInteger reloads = new AtomicInteger();
		requests.request();
		requests.request();
		requests.setReload(reloads::incrementAndGet);
		assertThat(reloads).hasValue(1);
		requests.request();
		assertThat(reloads).hasValue(2);
	}

}
