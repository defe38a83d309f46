package org.magnoliahub.serving;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The endpoints that the store lists, with what this gateway believes of each.
 * <p>
 * An endpoint whose entry vanished while the store was away stays usable for a short time
 * after the store is back, because a live endpoint writes its entry again within
 * {@value #RELISTING_GRACE_MILLIS} ms. The same holds when the store came back from an
 * older copy. What is known of an endpoint that is gone is kept, so that an old entry of
 * it does not bring it back.
 */
public final class EndpointDirectory {

	/** Time within which a live endpoint is listed again after an outage. */
	public static final long RELISTING_GRACE_MILLIS = 2_200;

	/** Shortest time without an answer of the store that counts as an outage. */
	public static final long MINIMUM_OUTAGE_MILLIS = 1_800;

	/** Endpoints that are gone of which something is still known. */
	private static final int MAXIMUM_DEPARTED = 4_096;

	private final Map<String, EndpointState> endpoints = new HashMap<>();

	private final Map<String, List<EndpointState>> byService = new HashMap<>();

	private final Map<String, EndpointState> departed = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, EndpointState> eldest) {
			return size() > MAXIMUM_DEPARTED;
		}
	};

	private long lastContact = Long.MIN_VALUE / 2;

	private long graceUntil = Long.MIN_VALUE / 2;

	private boolean lapsing;

	private boolean known;

	/**
	 * Notes an answer of the store; call it before the changes in the answer are applied.
	 * @param now monotonic time, in milliseconds
	 */
	public void recordStoreContact(long now) {
		if (this.known && now - this.lastContact > MINIMUM_OUTAGE_MILLIS) {
			this.graceUntil = now + RELISTING_GRACE_MILLIS;
		}
		this.lastContact = now;
		if (this.lapsing) {
			removeLapsed(now);
		}
	}

	private void removeLapsed(long now) {
		this.lapsing = false;
		for (EndpointState endpoint : List.copyOf(this.endpoints.values())) {
			if (endpoint.isExpired(now)) {
				depart(endpoint);
			}
			else {
				this.lapsing |= endpoint.isInGracePeriod();
			}
		}
	}

	/**
	 * Returns the age of what the directory holds.
	 * @param now monotonic time, in milliseconds
	 * @return milliseconds since the last answer of the store
	 */
	public long ageMillis(long now) {
		return now - this.lastContact;
	}

	/**
	 * Returns whether the list was read once.
	 * @return whether endpoints are known
	 */
	public boolean isLoaded() {
		return this.known;
	}

	/**
	 * Takes a complete list.
	 * @param records all entries that name a usable or draining endpoint
	 * @param now monotonic time, in milliseconds
	 */
	public void replaceAll(Collection<EndpointRecord> records, long now) {
		this.known = true;
		records.forEach(this::put);
		removeUnlisted(records, now);
	}

	/**
	 * Takes the first complete list after the store came back from an older copy. Entries
	 * in it may be missing or older than what is known; live endpoints write theirs
	 * again.
	 * @param records all entries that name a usable or draining endpoint
	 * @param now monotonic time, in milliseconds
	 * @return what became of the entries and endpoints
	 */
	public RestoreSummary replaceAllAfterRestore(Collection<EndpointRecord> records, long now) {
		this.known = true;
		this.graceUntil = now + RELISTING_GRACE_MILLIS;
		int outdated = 0;
		for (EndpointRecord record : records) {
			EndpointState state = this.endpoints.getOrDefault(record.id(), this.departed.get(record.id()));
			if (state == null || isNews(record, state)) {
				put(record);
				continue;
			}
			outdated++;
			if (this.endpoints.containsKey(record.id()) && !record.isSameProcess(state.record())) {
				lapse(state);
			}
		}
		int before = this.endpoints.size();
		int unlisted = removeUnlisted(records, now);
		int dropped = before - this.endpoints.size();
		return new RestoreSummary(records.size(), outdated, unlisted - dropped, dropped);
	}

	// An entry of a process that is gone may have been written before it went, even if it
	// is newer than the last one that was read; if it lives, it writes again soon.
	private boolean isNews(EndpointRecord record, EndpointState state) {
		boolean gone = !this.endpoints.containsKey(record.id());
		return !record.isOlderThan(state.record()) && !(gone && record.isSameProcess(state.record()));
	}

	// Returns how many endpoints are not in the list.
	private int removeUnlisted(Collection<EndpointRecord> records, long now) {
		Set<String> listed = new HashSet<>();
		records.forEach((record) -> listed.add(record.id()));
		int unlisted = 0;
		for (String id : List.copyOf(this.endpoints.keySet())) {
			if (!listed.contains(id)) {
				unlisted++;
				removeOrStartGracePeriod(id, now);
			}
		}
		return unlisted;
	}

	/**
	 * Takes a changed entry.
	 * @param record the entry
	 */
	public void update(EndpointRecord record) {
		put(record);
	}

	/**
	 * Takes the removal of an entry, or an entry that names no usable endpoint.
	 * @param id id of the endpoint
	 * @param now monotonic time, in milliseconds
	 */
	public void remove(String id, long now) {
		removeOrStartGracePeriod(id, now);
	}

	/**
	 * Returns the endpoints of a service that may get new work.
	 * @param service the service
	 * @param now monotonic time, in milliseconds
	 * @return endpoints in no particular order
	 */
	public List<EndpointState> availableEndpoints(String service, long now) {
		List<EndpointState> listed = new ArrayList<>();
		List<EndpointState> lapsed = new ArrayList<>();
		for (EndpointState endpoint : this.byService.getOrDefault(service, List.of())) {
			if (endpoint.isAvailable(now)) {
				(endpoint.isInGracePeriod() ? lapsed : listed).add(endpoint);
			}
		}
		return listed.isEmpty() ? lapsed : listed;
	}

	/**
	 * Returns how long a service has no endpoint because all of them asked for a pause.
	 * @param service the service
	 * @param now monotonic time, in milliseconds
	 * @return time until the first pause ends, in milliseconds; zero if an endpoint is
	 * not paused, or there is none
	 */
	public long pausedMillis(String service, long now) {
		long first = Long.MAX_VALUE;
		for (EndpointState endpoint : this.byService.getOrDefault(service, List.of())) {
			if (endpoint.isDraining() || endpoint.isExpired(now)) {
				continue;
			}
			if (!endpoint.isPauseRequested(now)) {
				return 0;
			}
			first = Math.min(first, endpoint.requestedPauseEnd() - now);
		}
		return (first == Long.MAX_VALUE) ? 0 : first;
	}

	/**
	 * Returns the endpoint of a service at an address.
	 * @param service the service
	 * @param address host and port
	 * @return the endpoint, or empty if none is known there
	 */
	public Optional<EndpointState> findByAddress(String service, String address) {
		return this.byService.getOrDefault(service, List.of())
			.stream()
			.filter((endpoint) -> endpoint.record().address().equals(address))
			.findFirst();
	}

	/**
	 * Returns all endpoints.
	 * @return endpoints in no particular order, those that leave included
	 */
	public Collection<EndpointState> all() {
		return List.copyOf(this.endpoints.values());
	}

	/**
	 * Returns the number of endpoints.
	 * @return endpoints listed, draining ones included
	 */
	public int size() {
		return this.endpoints.size();
	}

	private void put(EndpointRecord record) {
		EndpointState known = this.endpoints.get(record.id());
		if (known == null) {
			add(record);
			return;
		}
		boolean moved = !known.record().service().equals(record.service());
		if (moved) {
			unindex(known);
		}
		known.update(record);
		if (moved) {
			index(known);
		}
	}

	private void add(EndpointRecord record) {
		EndpointState state = this.departed.remove(record.id());
		if (state == null) {
			state = new EndpointState(record);
		}
		else {
			state.update(record);
		}
		this.endpoints.put(record.id(), state);
		index(state);
	}

	private void removeOrStartGracePeriod(String id, long now) {
		EndpointState endpoint = this.endpoints.get(id);
		if (endpoint == null) {
			return;
		}
		if (now < this.graceUntil && !endpoint.isDraining()) {
			lapse(endpoint);
			return;
		}
		depart(endpoint);
	}

	private void lapse(EndpointState endpoint) {
		endpoint.startGracePeriod(this.graceUntil);
		this.lapsing = true;
	}

	private void depart(EndpointState endpoint) {
		this.endpoints.remove(endpoint.record().id());
		unindex(endpoint);
		this.departed.put(endpoint.record().id(), endpoint);
	}

	private void index(EndpointState endpoint) {
		this.byService.computeIfAbsent(endpoint.record().service(), (service) -> new ArrayList<>()).add(endpoint);
	}

	private void unindex(EndpointState endpoint) {
		String service = endpoint.record().service();
		List<EndpointState> others = this.byService.getOrDefault(service, List.of());
		others.remove(endpoint);
		if (others.isEmpty()) {
			this.byService.remove(service);
		}
	}

	/**
	 * What the first list of a store that came back from a copy did.
	 *
	 * @param entries entries in the list
	 * @param outdated entries that were older than what was known, and changed nothing
	 * @param retained endpoints that are not listed and stay usable until they should be
	 * back
	 * @param dropped endpoints that are not listed and left before
	 */
	public record RestoreSummary(int entries, int outdated, int retained, int dropped) {

		/** Before a list was read. */
		public static final RestoreSummary NONE = new RestoreSummary(0, 0, 0, 0);

	}

}
