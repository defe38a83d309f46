package org.magnoliahub.soak;

/**
 * Prompts of the requests of a soak. All share their first part, and some of them a
 * document.
 */
final class Prompts {

	/** The part under which endpoints end. */
	static final String CRASHING_PART = "c0ffee01";

	private static final int DOCUMENTS = 6;

	private Prompts() {
	}

	static String sound(String requestId) {
		return "a0a0:400," + rest(requestId);
	}

	static String crashing(String requestId) {
		return "a0a0:400," + CRASHING_PART + ":80," + rest(requestId);
	}

	private static String rest(String requestId) {
		int document = Math.floorMod(requestId.hashCode() * 7, DOCUMENTS);
		return "d0c" + document + ":60,e" + requestId.substring(1) + ":20";
	}

	static boolean isCrashing(String prompt) {
		return prompt.contains(CRASHING_PART);
	}

}
