package org.magnoliahub.entry;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The requests of a gateway that have not ended.
 */
final class OpenRequests {

	private final Set<RequestFlow> flows = new LinkedHashSet<>();

	void add(RequestFlow flow) {
		this.flows.add(flow);
	}

	void remove(RequestFlow flow) {
		this.flows.remove(flow);
	}

	int count() {
		return this.flows.size();
	}

	/**
	 * Ends requests that the gateway cannot complete.
	 * @param condition selects the requests to end
	 * @param reason the reason to report
	 * @return the number of requests
	 */
	int endEarly(Predicate<RequestFlow> condition, String reason) {
		List<RequestFlow> selected = this.flows.stream().filter(condition).toList();
		selected.forEach((flow) -> flow.endEarly(reason));
		return selected.size();
	}

}
