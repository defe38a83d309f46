package org.magnoliahub.serving;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimates which prompt segments an engine caches from the prompts that were sent to it.
 * The cache events of engines are not used, because they are delayed and incomplete.
 */
final class PromptCacheEstimate {

	private static final int MAXIMUM_SEGMENTS = 4_096;

	private final Map<String, Integer> segments = new LinkedHashMap<>(64, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Integer> eldest) {
			return size() > MAXIMUM_SEGMENTS;
		}
	};

	void add(List<PromptSegment> prompt) {
		for (PromptSegment segment : prompt) {
			this.segments.put(segment.id(), segment.tokens());
		}
	}

	void clear() {
		this.segments.clear();
	}

	/**
	 * Returns the length of the prompt prefix that the engine probably caches.
	 * @param prompt segments in order
	 * @return total tokens of the leading cached segments
	 */
	int cachedPrefixTokens(List<PromptSegment> prompt) {
		int tokens = 0;
		for (PromptSegment segment : prompt) {
			if (!this.segments.containsKey(segment.id())) {
				return tokens;
			}
			tokens += segment.tokens();
		}
		return tokens;
	}

}
