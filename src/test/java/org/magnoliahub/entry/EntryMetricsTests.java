package org.magnoliahub.entry;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against lost updates in the first seconds after a start, before the registry is
 * set.
 */
class EntryMetricsTests {

	private final EntryMetrics metrics = new EntryMetrics();

	@Test
	void updatesBeforeTheRegistryIsSetAreKept() {
		this.metrics.requestEnded("streaming", "refused", "no_capacity", 3);
		this.metrics.storeCall("GET", "200");
		assertThat(this.metrics.scrape()).isEmpty();
		this.metrics.setRegistry(EntryMetrics.createRegistry());
		this.metrics.storeCall("GET", "200");
		assertThat(this.metrics.scrape()).contains("reason=\"no_capacity\"} 1.0")
			.containsPattern("entry_store_calls_total\\{call=\"GET\",result=\"200\"} 2\\.0");
	}

}
