package org.magnoliahub.serving;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Parts of prompts that an engine probably caches, known from what was sent to it. The
 * engine's own events come late and with gaps, so they are not used.
 */
final class PromptCacheEstimate {

	private static final int MAXIMUM_PARTS = 4_096;

	private final Map<String, Integer> parts = new LinkedHashMap<>(64, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<String, Integer> eldest) {
			return size() > MAXIMUM_PARTS;
		}
	};

	void add(List<PromptSegment> prompt) {
		for (PromptSegment part : prompt) {
			this.parts.put(part.id(), part.tokens());
		}
	}

	void clear() {
		this.parts.clear();
	}

	/**
	 * Returns how much of a prompt the engine need not read.
	 * @param prompt parts in order
	 * @return tokens of the leading parts that are cached
	 */
	int cachedPrefixTokens(List<PromptSegment> prompt) {
		int tokens = 0;
		for (PromptSegment part : prompt) {
			if (!this.parts.containsKey(part.id())) {
				return tokens;
			}
			tokens += part.tokens();
		}
		return tokens;
	}

}
