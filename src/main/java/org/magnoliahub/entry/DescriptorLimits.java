package org.magnoliahub.entry;

import java.io.FileInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/**
 * How many connections each server of a process may have open, so that descriptors remain
 * for files and for connections to endpoints and to the store.
 *
 * @param callers connections of callers
 * @param status connections of each of the servers for readiness and metrics
 * @param gateways connections of other gateways
 */
record DescriptorLimits(int callers, int status, int gateways) {

	private static final String PROCESS_LIMITS = "/proc/self/limits";

	private static final String OPEN_FILES = "Max open files";

	/** Used where the limit of the process cannot be read. */
	private static final int UNKNOWN_DESCRIPTORS = 1_024;

	/** Beyond it the memory of connections counts, not their descriptors. */
	private static final int MAXIMUM_DESCRIPTORS = 16_384;

	/** Descriptors of the smallest machine that are reserved for files. */
	private static final int FILE_DESCRIPTORS = 200;

	private static final int MINIMUM_STATUS_CONNECTIONS = 16;

	private static final int MAXIMUM_STATUS_CONNECTIONS = 32;

	private static final int MINIMUM_CONNECTIONS = 32;

	/**
	 * Divides the descriptors that the settings state, or else those of this process. The
	 * platform enforces its limit by other means than that of the process.
	 * @param stated descriptors that the settings state, zero if they state none
	 * @return the limits
	 */
	static DescriptorLimits ofSettings(int stated) {
		return of((stated > 0) ? stated : processDescriptors());
	}

	/**
	 * Divides descriptors: half of those that are not reserved for files are for callers
	 * and a fifth is for other gateways, as all 360 of the target size may be connected
	 * to the owner of a stage queue; the rest is for outgoing connections.
	 * @param descriptors how many the process may open
	 * @return the limits
	 */
	static DescriptorLimits of(int descriptors) {
		int available = Math.min(descriptors, MAXIMUM_DESCRIPTORS) - FILE_DESCRIPTORS;
		int status = Math.max(MINIMUM_STATUS_CONNECTIONS, Math.min(available / 32, MAXIMUM_STATUS_CONNECTIONS));
		return new DescriptorLimits(Math.max(MINIMUM_CONNECTIONS, available / 2), status,
				Math.max(MINIMUM_CONNECTIONS, available / 5));
	}

	// A stream, since file channels would load ten more classes at the start.
	private static int processDescriptors() {
		try (FileInputStream limits = new FileInputStream(PROCESS_LIMITS)) {
			for (String line : new String(limits.readAllBytes(), StandardCharsets.US_ASCII).split("\n")) {
				if (line.startsWith(OPEN_FILES)) {
					return Integer.parseInt(line.substring(OPEN_FILES.length()).trim().split(" ")[0]);
				}
			}
		}
		catch (IOException | NumberFormatException ex) {
			// Not Linux, or no limit; both are far from the smallest machine.
		}
		return UNKNOWN_DESCRIPTORS;
	}

}
