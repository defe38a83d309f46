package org.magnoliahub.entry;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards the counts of the first seconds, in which there is no registry yet.
 */
class EntryMetricsTests {

	private final EntryMetrics metrics = new EntryMetrics();

	@Test
	void countsFromBeforeTheRegistryAreKept() {
		this.metrics.requestEnded("streaming", "refused", "no_capacity", 3);
		this.metrics.storeCall("GET", "200");
		assertThat(this.metrics.text()).isEmpty();
		this.metrics.begin(EntryMetrics.createRegistry());
		this.metrics.storeCall("GET", "200");
		assertThat(this.metrics.text()).contains("reason=\"no_capacity\"} 1.0")
			.containsPattern("entry_store_calls_total\\{call=\"GET\",result=\"200\"} 2\\.0");
	}

}
