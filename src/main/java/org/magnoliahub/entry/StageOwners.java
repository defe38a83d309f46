package org.magnoliahub.entry;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

import org.jspecify.annotations.Nullable;
import org.magnoliahub.platform.MemberRecord;
import org.magnoliahub.serving.RendezvousHash;
import org.magnoliahub.serving.ServiceDefinition;

/**
 * Determines which gateway owns the queue of a stage service, and keeps links to the
 * possible owners. The owner is the first live gateway in the order that rendezvous
 * hashing gives for the service.
 */
final class StageOwners {

	/** Number of possible owners per service to which a link is kept open. */
	private static final int CANDIDATES = 3;

	private final String selfName;

	private final Function<MemberRecord, PeerLink> linkFactory;

	private final Map<String, MemberRecord> members = new HashMap<>();

	private final Map<String, List<String>> candidates = new HashMap<>();

	private final Map<String, PeerLink> links = new HashMap<>();

	StageOwners(String selfName, Function<MemberRecord, PeerLink> linkFactory) {
		this.selfName = selfName;
		this.linkFactory = linkFactory;
	}

	/**
	 * Sets the gateways that the store lists.
	 * @param listed the gateways, with or without this one
	 * @return whether the other gateways changed
	 */
	boolean setMembers(Map<String, MemberRecord> listed) {
		Map<String, MemberRecord> others = new HashMap<>(listed);
		others.remove(this.selfName);
		if (others.equals(this.members)) {
			return false;
		}
		this.members.clear();
		this.members.putAll(others);
		return true;
	}

	/**
	 * Returns the names of the other gateways.
	 * @return the names
	 */
	Set<String> others() {
		return this.members.keySet();
	}

	/**
	 * Determines the possible owners of each stage service, and opens and closes links.
	 * @param services the services of the current configuration
	 */
	void update(Iterable<ServiceDefinition> services) {
		this.candidates.clear();
		Set<String> names = new HashSet<>(this.members.keySet());
		names.add(this.selfName);
		Set<String> needed = new HashSet<>();
		for (ServiceDefinition service : services) {
			if (service.stageLimits() == null) {
				continue;
			}
			List<String> ranked = RendezvousHash.rank(service.name(), names);
			List<String> first = ranked.subList(0, Math.min(CANDIDATES, ranked.size()));
			this.candidates.put(service.name(), List.copyOf(first));
			needed.addAll(first);
		}
		needed.remove(this.selfName);
		updateLinks(needed);
	}

	private void updateLinks(Set<String> needed) {
		for (String name : List.copyOf(this.links.keySet())) {
			if (!needed.contains(name)) {
				this.links.remove(name).close();
			}
		}
		for (String name : needed) {
			MemberRecord member = this.members.get(name);
			if (member != null) {
				this.links.computeIfAbsent(name, (key) -> this.linkFactory.apply(member)).update(member);
			}
		}
	}

	/**
	 * Returns the owner of the queue of a service.
	 * @param service the service
	 * @return the name of the gateway, this one if no other one is reachable
	 */
	String owner(String service) {
		for (String candidate : this.candidates.getOrDefault(service, List.of())) {
			if (candidate.equals(this.selfName)) {
				return candidate;
			}
			PeerLink link = this.links.get(candidate);
			if (link != null && link.isOpen()) {
				return candidate;
			}
		}
		return this.selfName;
	}

	/**
	 * Returns the link to a gateway.
	 * @param name the name of the gateway
	 * @return the link, or {@code null} if there is none, as to this gateway itself
	 */
	@Nullable PeerLink link(String name) {
		return this.links.get(name);
	}

	/**
	 * Opens links again that were closed, and closes those that are silent.
	 */
	void maintainLinks() {
		this.links.values().forEach(PeerLink::maintain);
	}

}
