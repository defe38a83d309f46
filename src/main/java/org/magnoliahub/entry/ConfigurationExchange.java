package org.magnoliahub.entry;

import org.magnoliahub.time.Timers;

/**
 * Takes a configuration from another gateway if the store does not provide it: the store
 * may have been restored from an older backup while this gateway started, or may refuse
 * this gateway.
 */
final class ConfigurationExchange {

	/**
	 * Time for which another gateway must have had a newer configuration. The store
	 * usually provides it within this time, which saves the transfer.
	 */
	private static final long REQUEST_DELAY_MILLIS = 400;

	private final Timers timers;

	private final ConfigurationTable configurationTable;

	private long newerVersion;

	private long requestDueMillis;

	ConfigurationExchange(Timers timers, ConfigurationTable configurationTable) {
		this.timers = timers;
		this.configurationTable = configurationTable;
	}

	/**
	 * Requests the configuration of another gateway if it has been newer than the current
	 * one for some time.
	 * @param link the link to that gateway
	 * @param version the version that it uses, zero if it is unknown
	 */
	void onVersion(PeerLink link, long version) {
		if (version <= this.configurationTable.version()) {
			return;
		}
		long now = this.timers.milliTime();
		if (version > this.newerVersion) {
			this.newerVersion = version;
			this.requestDueMillis = now + REQUEST_DELAY_MILLIS;
		}
		if (now >= this.requestDueMillis) {
			this.requestDueMillis = now + REQUEST_DELAY_MILLIS;
			link.send(new PeerMessage.ConfigurationRequest());
		}
	}

	/**
	 * Returns the answer to a request of another gateway.
	 * @return the current configuration
	 */
	PeerMessage.Configuration response() {
		return new PeerMessage.Configuration(this.configurationTable.stored());
	}

	/**
	 * Uses the configuration of another gateway if it is newer than the current one.
	 * @param member name of that gateway
	 * @param content the configuration as it was stored
	 */
	void onConfiguration(String member, byte[] content) {
		this.configurationTable.applyFromMember(member, content);
	}

}
