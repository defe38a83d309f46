package org.magnoliahub.serving;

import java.util.Map;
import java.util.Set;

/**
 * What one gateway knows itself about a part of prompts.
 *
 * @param part hash of the id of the part
 * @param answered whether the part was answered before the first end
 * @param blocked whether the gateway has decided to block the part
 * @param ends processes of endpoints that ended while the gateway had an unanswered
 * request with the part on them, each with the monotonic time at which it noticed that,
 * in milliseconds
 * @param clearedEnds ends, of all gateways, that were known when a request with the part
 * was answered
 */
public record PromptEvidence(long part, boolean answered, boolean blocked, Map<Long, Long> ends,
		Set<Long> clearedEnds) {

	/**
	 * Creates evidence with immutable copies.
	 */
	public PromptEvidence {
		ends = Map.copyOf(ends);
		clearedEnds = Set.copyOf(clearedEnds);
	}

}
