package org.magnoliahub.coldstart;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.jspecify.annotations.Nullable;
import org.magnoliahub.serving.EndpointDirectory;
import org.magnoliahub.serving.EndpointRecord;
import org.magnoliahub.serving.EndpointState;
import org.magnoliahub.serving.SendLimit;
import org.magnoliahub.serving.ServiceDefinition;

/**
 * Servers that are cold as far as this gateway knows. Sets the limit of each server that
 * its record or the reopening of its zone makes cold, if its service has a cold time and
 * a cold rate.
 */
public final class ColdServers {

	private final EndpointDirectory directory;

	private final GatewayView gateways;

	private final ColdShare share;

	private final Listener listener;

	private final Map<String, ServiceDefinition> limitedServices = new HashMap<>();

	/**
	 * Creates an instance without services.
	 * @param bounds limit for all gateways
	 * @param gatewayName name of this gateway
	 * @param directory the servers
	 * @param listener receives the servers that become cold
	 */
	public ColdServers(ColdBounds bounds, String gatewayName, EndpointDirectory directory, Listener listener) {
		this.directory = directory;
		this.gateways = new GatewayView(gatewayName, bounds.contactMillis());
		this.share = new ColdShare(bounds, this.gateways);
		this.listener = listener;
	}

	/**
	 * Replaces the services.
	 * @param services all services of the configuration in force
	 */
	public void useServices(Iterable<ServiceDefinition> services) {
		this.limitedServices.clear();
		for (ServiceDefinition service : services) {
			if (service.limitsColdServers()) {
				this.limitedServices.put(service.name(), service);
			}
		}
	}

	/**
	 * Records the gateways that the store lists.
	 * @param names names of the gateways, with or without this one
	 * @param now monotonic time, in milliseconds
	 */
	public void recordGateways(Collection<String> names, long now) {
		this.gateways.recordList(names, now);
	}

	/**
	 * Records a response of the store with records that have been applied to the
	 * directory. Outdated ones, which the directory does not have, are ignored.
	 * @param records the records, possibly none
	 * @param now monotonic time, in milliseconds
	 */
	public void recordRead(Collection<EndpointRecord> records, long now) {
		this.gateways.recordContact(now);
		for (EndpointRecord record : records) {
			Optional<EndpointState> endpoint = this.directory.find(record.id());
			if (endpoint.isPresent() && endpoint.get().record().equals(record)) {
				recordRead(endpoint.get(), record, now);
			}
		}
	}

	private void recordRead(EndpointState endpoint, EndpointRecord record, long now) {
		ColdRate rate = rate(endpoint);
		if (rate != null) {
			report(endpoint, rate.recordRead(record, now), Cause.RECORD, now);
		}
		else if (record.coldLeftMillis() > 0) {
			report(endpoint, limit(endpoint).recordFirst(record.coldLeftMillis(), now), Cause.RECORD, now);
		}
	}

	/**
	 * Records that a zone was reopened after an evacuation. Its servers count as cold for
	 * the cold time of their service, until a record that was written later states
	 * otherwise.
	 * @param zone the zone
	 * @param now monotonic time, in milliseconds
	 */
	public void markZoneCold(String zone, long now) {
		for (EndpointState endpoint : this.directory.all()) {
			ServiceDefinition service = this.limitedServices.get(endpoint.record().service());
			if (service != null && endpoint.record().availabilityZone().equals(zone)) {
				ColdRate known = rate(endpoint);
				ColdRate rate = (known != null) ? known : limit(endpoint);
				report(endpoint, rate.reopen(now, service.coldMillis()), Cause.ZONE_REOPENED, now);
			}
		}
	}

	/**
	 * Returns the number of servers to which this gateway limits its requests.
	 * @param now monotonic time, in milliseconds
	 * @return number of cold servers
	 */
	public long coldCount(long now) {
		return this.directory.all().stream().filter((endpoint) -> endpoint.isSendLimited(now)).count();
	}

	/**
	 * Returns whether this gateway may send requests to cold servers.
	 * @param now monotonic time, in milliseconds
	 * @return whether it knows the other gateways and is known to them
	 */
	public boolean isInformed(long now) {
		return this.gateways.isInformed(now);
	}

	private static @Nullable ColdRate rate(EndpointState endpoint) {
		SendLimit limit = endpoint.sendLimit();
		return (limit instanceof ColdRate rate) ? rate : null;
	}

	private ColdRate limit(EndpointState endpoint) {
		ColdRate rate = new ColdRate(endpoint.record(), (now) -> pace(endpoint.record(), now));
		endpoint.setSendLimit(rate);
		return rate;
	}

	private ColdPace pace(EndpointRecord record, long now) {
		ServiceDefinition service = this.limitedServices.get(record.service());
		if (service == null) {
			return ColdPace.UNLIMITED;
		}
		return (service.stageLimits() != null) ? this.share.stagePace(service.name(), service.coldPerSecond(), now)
				: this.share.pace(record.id(), service.coldPerSecond(), now);
	}

	private void report(EndpointState endpoint, boolean becameCold, Cause cause, long now) {
		SendLimit limit = endpoint.sendLimit();
		if (becameCold && limit != null && limit.isActive(now)) {
			ColdPace pace = pace(endpoint.record(), now);
			this.listener.onCold(endpoint.record(), cause, limit.until() - now,
					pace.hasShare() ? pace.intervalMillis() : 0);
		}
	}

	/**
	 * Why a server counts as cold.
	 */
	public enum Cause {

		/** Its record states it. */
		RECORD,

		/** Its zone was reopened after an evacuation. */
		ZONE_REOPENED

	}

	/**
	 * Receives the servers that become cold.
	 */
	public interface Listener {

		/**
		 * Called when a server becomes cold whose service limits requests to cold
		 * servers.
		 * @param record record of the server
		 * @param cause why it counts as cold
		 * @param coldMillis how long it counts as cold, in milliseconds
		 * @param intervalMillis minimum time between two requests of this gateway, in
		 * milliseconds; zero if it has no share
		 */
		void onCold(EndpointRecord record, Cause cause, long coldMillis, long intervalMillis);

	}

}
