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

import org.jspecify.annotations.Nullable;
import org.magnoliahub.placement.AllowedZones;
import org.magnoliahub.placement.Placement;

/**
 * Endpoints that the store lists, each with the state that this gateway tracks for it.
 * <p>
 * An endpoint whose record disappeared during a store outage remains available for a
 * grace period of {@value #RELISTING_GRACE_MILLIS} ms after the outage, because a live
 * endpoint writes its record again within that time. The same applies after the store was
 * restored from an older backup. The state of a removed endpoint is kept, so that an
 * outdated record does not make it available again; {@link RecordOrder} decides for all
 * sources of records which ones count.
 */
public final class EndpointDirectory {

	/** Time within which a live endpoint is listed again after a store outage. */
	public static final long RELISTING_GRACE_MILLIS = 2_200;

	/** Minimum time without a store response that counts as an outage. */
	public static final long MINIMUM_OUTAGE_MILLIS = 1_800;

	/** Maximum number of removed endpoints whose state is kept. */
	private static final int MAXIMUM_DEPARTED = 4_096;

	private final Placement placement;

	private final Map<String, EndpointState> endpoints = new HashMap<>();

	private final Map<String, List<EndpointState>> endpointsByService = new HashMap<>();

	private final Map<String, EndpointState> departed = new LinkedHashMap<>() {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, EndpointState> eldest) {
			return size() > MAXIMUM_DEPARTED;
		}
	};

	private long lastContact = Long.MIN_VALUE / 2;

	private long graceUntil = Long.MIN_VALUE / 2;

	private boolean hasGracePeriods;

	private boolean loaded;

	/**
	 * Creates an empty directory whose endpoints may receive work in all zones.
	 */
	public EndpointDirectory() {
		this(new Placement());
	}

	/**
	 * Creates an empty directory.
	 * @param placement states which zones may receive work
	 */
	public EndpointDirectory(Placement placement) {
		this.placement = placement;
	}

	/**
	 * Records a response of the store. Must be called before the changes in the response
	 * are applied.
	 * @param now monotonic time, in milliseconds
	 */
	public void recordStoreContact(long now) {
		if (this.loaded && now - this.lastContact > MINIMUM_OUTAGE_MILLIS) {
			this.graceUntil = now + RELISTING_GRACE_MILLIS;
		}
		this.lastContact = now;
		if (this.hasGracePeriods) {
			removeExpired(now);
		}
	}

	private void removeExpired(long now) {
		this.hasGracePeriods = false;
		for (EndpointState endpoint : List.copyOf(this.endpoints.values())) {
			if (endpoint.isExpired(now)) {
				endpoint.recordOrder().lapsed();
				moveToDeparted(endpoint);
			}
			else {
				this.hasGracePeriods |= endpoint.isInGracePeriod();
			}
		}
	}

	/**
	 * Returns the age of the listed data.
	 * @param now monotonic time, in milliseconds
	 * @return milliseconds since the last response of the store
	 */
	public long ageMillis(long now) {
		return now - this.lastContact;
	}

	/**
	 * Returns whether a complete list has been read.
	 * @return whether the directory has been loaded
	 */
	public boolean isLoaded() {
		return this.loaded;
	}

	/**
	 * Replaces the endpoints with those of a complete list.
	 * @param records all records of usable or draining endpoints
	 * @param now monotonic time, in milliseconds
	 */
	public void replaceAll(Collection<EndpointRecord> records, long now) {
		this.loaded = true;
		for (EndpointRecord record : records) {
			update(record);
		}
		removeUnlisted(records, now);
	}

	/**
	 * Applies the first complete list after the store was restored from an older backup.
	 * Records in it may be missing or older than the known ones; live endpoints write
	 * theirs again.
	 * @param records all records of usable or draining endpoints
	 * @param now monotonic time, in milliseconds
	 * @return number of applied, outdated and missing records
	 */
	public RestoreSummary replaceAllAfterRestore(Collection<EndpointRecord> records, long now) {
		this.loaded = true;
		this.graceUntil = now + RELISTING_GRACE_MILLIS;
		int outdated = 0;
		for (EndpointRecord record : records) {
			EndpointState state = known(record.id());
			RecordOrder.Judgement judgement = (state != null)
					? state.recordOrder().judgeRestored(record, state.record()) : RecordOrder.Judgement.CURRENT;
			if (judgement != RecordOrder.Judgement.OUTDATED) {
				apply(record, judgement);
				continue;
			}
			outdated++;
			if (state != null && this.endpoints.containsKey(record.id()) && !record.isSameProcess(state.record())) {
				startGracePeriod(state);
			}
		}
		int sizeBefore = this.endpoints.size();
		int unlisted = removeUnlisted(records, now);
		int dropped = sizeBefore - this.endpoints.size();
		return new RestoreSummary(records.size(), outdated, unlisted - dropped, dropped);
	}

	private @Nullable EndpointState known(String id) {
		EndpointState listed = this.endpoints.get(id);
		return (listed != null) ? listed : this.departed.get(id);
	}

	// Returns the number of known endpoints that are not in the list.
	private int removeUnlisted(Collection<EndpointRecord> records, long now) {
		Set<String> listed = new HashSet<>();
		for (EndpointRecord record : records) {
			listed.add(record.id());
		}
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
	 * Adds an endpoint or updates its record, unless the record is outdated.
	 * @param record the new or changed record
	 * @return whether the record counts
	 */
	public boolean update(EndpointRecord record) {
		EndpointState state = known(record.id());
		RecordOrder.Judgement judgement = (state != null) ? state.recordOrder().judge(record, state.record())
				: RecordOrder.Judgement.CURRENT;
		if (judgement == RecordOrder.Judgement.OUTDATED) {
			return false;
		}
		apply(record, judgement);
		return true;
	}

	/**
	 * Removes an endpoint whose record was deleted or is no longer valid.
	 * @param id id of the endpoint
	 * @param now monotonic time, in milliseconds
	 */
	public void remove(String id, long now) {
		removeOrStartGracePeriod(id, now);
	}

	/**
	 * Returns the endpoints of a service that accept new work. Endpoints that may have
	 * gone are returned only if no other one is available.
	 * @param service name of the service
	 * @param now monotonic time, in milliseconds
	 * @return endpoints in no particular order
	 */
	public List<EndpointState> availableEndpoints(String service, long now) {
		return availableEndpoints(service, AllowedZones.ALL, now);
	}

	/**
	 * Returns the endpoints of a service in some zones that accept new work. Endpoints
	 * that may have gone are returned only if no other one is available.
	 * @param service name of the service
	 * @param zones zones of the endpoints
	 * @param now monotonic time, in milliseconds
	 * @return endpoints in no particular order
	 */
	public List<EndpointState> availableEndpoints(String service, AllowedZones zones, long now) {
		List<EndpointState> listed = new ArrayList<>();
		List<EndpointState> doubtful = new ArrayList<>();
		for (EndpointState endpoint : this.endpointsByService.getOrDefault(service, List.of())) {
			if (accepts(endpoint, now) && zones.contains(endpoint.record().availabilityZone())) {
				(endpoint.isDoubtful() ? doubtful : listed).add(endpoint);
			}
		}
		return listed.isEmpty() ? doubtful : listed;
	}

	/**
	 * Returns whether new work may be sent to an endpoint.
	 * @param endpoint the endpoint
	 * @param now monotonic time, in milliseconds
	 * @return whether it is available and its zone is not evacuated
	 */
	public boolean accepts(EndpointState endpoint, long now) {
		return endpoint.isAvailable(now) && !isEvacuated(endpoint);
	}

	/**
	 * Returns whether the zone of an endpoint is evacuated.
	 * @param endpoint the endpoint
	 * @return whether it must not receive work
	 */
	public boolean isEvacuated(EndpointState endpoint) {
		return this.placement.isEvacuated(endpoint.record().availabilityZone());
	}

	/**
	 * Returns which zones may receive work.
	 * @return the placement
	 */
	public Placement placement() {
		return this.placement;
	}

	/**
	 * Returns whether a service has an endpoint in some zones. Draining and expired
	 * endpoints are ignored.
	 * @param service name of the service
	 * @param zones zones of the endpoints
	 * @param now monotonic time, in milliseconds
	 * @return whether there is one, available or not
	 */
	public boolean hasEndpoint(String service, AllowedZones zones, long now) {
		return !remainingEndpoints(service, zones, now).isEmpty();
	}

	/**
	 * Returns whether a service has endpoints in some zones, but all of them are in
	 * evacuated zones. Draining and expired endpoints are ignored.
	 * @param service name of the service
	 * @param zones zones of the endpoints
	 * @param now monotonic time, in milliseconds
	 * @return whether nothing can be sent until a zone is reopened
	 */
	public boolean isEvacuated(String service, AllowedZones zones, long now) {
		if (this.placement.evacuatedCount() == 0) {
			return false;
		}
		List<EndpointState> remaining = remainingEndpoints(service, zones, now);
		return !remaining.isEmpty() && remaining.stream().allMatch(this::isEvacuated);
	}

	private List<EndpointState> remainingEndpoints(String service, AllowedZones zones, long now) {
		List<EndpointState> remaining = new ArrayList<>();
		for (EndpointState endpoint : this.endpointsByService.getOrDefault(service, List.of())) {
			if (!endpoint.isDraining() && !endpoint.isExpired(now)
					&& zones.contains(endpoint.record().availabilityZone())) {
				remaining.add(endpoint);
			}
		}
		return remaining;
	}

	/**
	 * Returns how long a service has no available endpoint, in any zone, as
	 * {@link #pausedMillis(String, AllowedZones, long)} does.
	 * @param service name of the service
	 * @param now monotonic time, in milliseconds
	 * @return time until the first endpoint accepts a request, in milliseconds
	 */
	public long pausedMillis(String service, long now) {
		return pausedMillis(service, AllowedZones.ALL, now);
	}

	/**
	 * Returns how long a service has no available endpoint in some zones because all of
	 * its endpoints there requested a pause, or have reached their request rate or the
	 * limit of cold endpoints. Draining and expired endpoints and those in evacuated
	 * zones are ignored.
	 * @param service name of the service
	 * @param zones zones of the endpoints
	 * @param now monotonic time, in milliseconds
	 * @return time until the first endpoint accepts a request, in milliseconds; zero if
	 * one accepts it now or the service has none
	 */
	public long pausedMillis(String service, AllowedZones zones, long now) {
		long earliest = Long.MAX_VALUE;
		for (EndpointState endpoint : remainingEndpoints(service, zones, now)) {
			if (isEvacuated(endpoint)) {
				continue;
			}
			long blocked = endpoint.blockedMillis(now);
			if (blocked == 0) {
				return 0;
			}
			earliest = Math.min(earliest, blocked);
		}
		return (earliest == Long.MAX_VALUE) ? 0 : earliest;
	}

	/**
	 * Finds the endpoint of a service by its address.
	 * @param service name of the service
	 * @param address host and port, {@code host:port}
	 * @return the endpoint, or empty if none has the address
	 */
	public Optional<EndpointState> findByAddress(String service, String address) {
		return this.endpointsByService.getOrDefault(service, List.of())
			.stream()
			.filter((endpoint) -> endpoint.record().address().equals(address))
			.findFirst();
	}

	/**
	 * Finds a listed endpoint by its id.
	 * @param id id of the endpoint
	 * @return the endpoint, or empty if the directory has none with the id
	 */
	public Optional<EndpointState> find(String id) {
		return Optional.ofNullable(this.endpoints.get(id));
	}

	/**
	 * Returns all endpoints, including draining ones.
	 * @return endpoints in no particular order
	 */
	public Collection<EndpointState> all() {
		return List.copyOf(this.endpoints.values());
	}

	/**
	 * Returns the number of endpoints, including draining ones and those in their grace
	 * period.
	 * @return number of endpoints
	 */
	public int size() {
		return this.endpoints.size();
	}

	private void apply(EndpointRecord record, RecordOrder.Judgement judgement) {
		EndpointState known = this.endpoints.get(record.id());
		if (known == null) {
			add(record, judgement);
			return;
		}
		boolean moved = !known.record().service().equals(record.service());
		if (moved) {
			removeFromService(known);
		}
		known.update(record, judgement);
		if (moved) {
			addToService(known);
		}
	}

	private void add(EndpointRecord record, RecordOrder.Judgement judgement) {
		EndpointState state = this.departed.remove(record.id());
		if (state == null) {
			state = new EndpointState(record);
		}
		else {
			state.update(record, judgement);
		}
		this.endpoints.put(record.id(), state);
		addToService(state);
	}

	private void removeOrStartGracePeriod(String id, long now) {
		EndpointState endpoint = this.endpoints.get(id);
		if (endpoint == null) {
			return;
		}
		if (now < this.graceUntil && !endpoint.isDraining()) {
			startGracePeriod(endpoint);
			return;
		}
		endpoint.recordOrder().removed();
		moveToDeparted(endpoint);
	}

	private void startGracePeriod(EndpointState endpoint) {
		endpoint.startGracePeriod(this.graceUntil);
		this.hasGracePeriods = true;
	}

	private void moveToDeparted(EndpointState endpoint) {
		this.endpoints.remove(endpoint.record().id());
		removeFromService(endpoint);
		this.departed.put(endpoint.record().id(), endpoint);
	}

	private void addToService(EndpointState endpoint) {
		this.endpointsByService.computeIfAbsent(endpoint.record().service(), (service) -> new ArrayList<>())
			.add(endpoint);
	}

	private void removeFromService(EndpointState endpoint) {
		String service = endpoint.record().service();
		List<EndpointState> remaining = this.endpointsByService.getOrDefault(service, List.of());
		remaining.remove(endpoint);
		if (remaining.isEmpty()) {
			this.endpointsByService.remove(service);
		}
	}

	/**
	 * Result of applying the first list after a restoration of the store.
	 *
	 * @param records number of records in the list
	 * @param outdated number of records that were older than the known ones and were not
	 * applied
	 * @param retained number of unlisted endpoints that entered their grace period
	 * @param dropped number of unlisted endpoints that were removed because they drain
	 */
	public record RestoreSummary(int records, int outdated, int retained, int dropped) {

		/** Summary before a list has been read. */
		public static final RestoreSummary NONE = new RestoreSummary(0, 0, 0, 0);

	}

}
