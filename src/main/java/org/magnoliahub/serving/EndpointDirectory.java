package org.magnoliahub.serving;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The endpoints that the store lists, with what this gateway believes of each.
 * <p>
 * An endpoint whose entry vanished while the store was away stays usable for a short time
 * after the store is back, because a live endpoint writes its entry again within
 * {@value #RETURN_MILLIS} ms.
 */
public final class EndpointDirectory {

	/** Time within which a live endpoint is listed again after an outage. */
	public static final long RETURN_MILLIS = 2_200;

	/** Shortest time without an answer of the store that counts as an outage. */
	public static final long OUTAGE_MILLIS = 1_800;

	private final Map<String, EndpointState> endpoints = new HashMap<>();

	private final Map<String, List<EndpointState>> byService = new HashMap<>();

	private long lastContact = Long.MIN_VALUE / 2;

	private long graceUntil = Long.MIN_VALUE / 2;

	private boolean known;

	/**
	 * Notes an answer of the store; call it before the changes in the answer are applied.
	 * @param now monotonic time, in milliseconds
	 */
	public void contact(long now) {
		if (this.known && now - this.lastContact > OUTAGE_MILLIS) {
			this.graceUntil = now + RETURN_MILLIS;
		}
		this.lastContact = now;
	}

	/**
	 * Returns the age of what the directory holds.
	 * @param now monotonic time, in milliseconds
	 * @return milliseconds since the last answer of the store
	 */
	public long age(long now) {
		return now - this.lastContact;
	}

	/**
	 * Returns whether the list was read once.
	 * @return whether endpoints are known
	 */
	public boolean isKnown() {
		return this.known;
	}

	/**
	 * Takes a complete list.
	 * @param records all entries that name a usable or draining endpoint
	 * @param now monotonic time, in milliseconds
	 */
	public void replaceAll(Collection<EndpointRecord> records, long now) {
		this.known = true;
		Set<String> listed = new HashSet<>();
		for (EndpointRecord record : records) {
			listed.add(record.id());
			put(record);
		}
		for (String id : List.copyOf(this.endpoints.keySet())) {
			if (!listed.contains(id)) {
				remove(id, now);
			}
		}
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
	public void removed(String id, long now) {
		remove(id, now);
	}

	/**
	 * Returns the endpoints of a service that may get new work.
	 * @param service the service
	 * @param now monotonic time, in milliseconds
	 * @return endpoints in no particular order
	 */
	public List<EndpointState> usable(String service, long now) {
		List<EndpointState> listed = new ArrayList<>();
		List<EndpointState> lapsed = new ArrayList<>();
		for (EndpointState endpoint : this.byService.getOrDefault(service, List.of())) {
			if (endpoint.record().draining() || endpoint.isGone(now)) {
				continue;
			}
			(endpoint.isLapsed() ? lapsed : listed).add(endpoint);
		}
		return listed.isEmpty() ? lapsed : listed;
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
			EndpointState added = new EndpointState(record);
			this.endpoints.put(record.id(), added);
			index(added);
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

	private void remove(String id, long now) {
		EndpointState endpoint = this.endpoints.get(id);
		if (endpoint == null) {
			return;
		}
		if (now < this.graceUntil && !endpoint.record().draining()) {
			endpoint.lapse(this.graceUntil);
			return;
		}
		this.endpoints.remove(id);
		unindex(endpoint);
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

}
