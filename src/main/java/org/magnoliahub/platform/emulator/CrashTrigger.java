package org.magnoliahub.platform.emulator;

/**
 * What ends the endpoint.
 *
 * @param part id of the part of a prompt, empty for none
 * @param onCrash called after its end
 */
public record CrashTrigger(String part, Runnable onCrash) {

	/** Nothing ends the endpoint. */
	public static final CrashTrigger NONE = new CrashTrigger("", () -> {
	});

	boolean isPartOf(String prompt) {
		return !this.part.isEmpty() && prompt.contains(this.part + ":");
	}

}
