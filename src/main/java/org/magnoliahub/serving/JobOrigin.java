package org.magnoliahub.serving;

/**
 * Submitter of stage jobs: one connection of one gateway process. A restarted gateway
 * keeps its name and numbers its jobs from one again, but never reuses a connection.
 *
 * @param gateway name of the gateway
 * @param connection number of the connection, unique at the owner of the queue; zero for
 * the owner itself
 */
public record JobOrigin(String gateway, long connection) {

	/** Origin of a job that has not been submitted. */
	public static final JobOrigin NONE = new JobOrigin("", 0);

}
