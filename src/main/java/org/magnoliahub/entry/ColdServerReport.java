package org.magnoliahub.entry;

import java.util.Locale;

import org.magnoliahub.coldstart.ColdServers;
import org.magnoliahub.serving.EndpointRecord;

/**
 * Logs and counts the endpoints that become cold.
 */
final class ColdServerReport implements ColdServers.Listener {

	private final EntryLog log;

	private final EntryMetrics metrics;

	ColdServerReport(EntryLog log, EntryMetrics metrics) {
		this.log = log;
		this.metrics = metrics;
	}

	@Override
	public void onCold(EndpointRecord record, ColdServers.Cause cause, long coldMillis, long intervalMillis) {
		this.metrics.endpointNotice("cold");
		this.log.event(EntryEvent.ENDPOINT_COLD)
			.field("endpoint", record.id())
			.field("service", record.service())
			.field("cause", cause.name().toLowerCase(Locale.ROOT))
			.field("cold_ms", coldMillis)
			.field("interval_ms", intervalMillis)
			.write();
	}

}
