package org.magnoliahub.standin;

import org.jspecify.annotations.Nullable;

/**
 * One call that a stand-in started.
 *
 * @param sequence number of the run, from 1
 * @param path path of the call
 * @param requestId request of the call, empty if it names none
 * @param stage stage of the call, empty if it names none
 * @param attempt attempt of the call, empty if it names none
 * @param idempotencyKey the caller's key, empty if it names none
 * @param startedMs start in milliseconds since the stand-in was started
 * @param endedMs end in milliseconds since the stand-in was started, {@code null} while
 * it runs
 * @param cancelled whether the caller was gone when a part of the response was written
 * @param status HTTP status of the response, 0 while it runs
 */
public record Run(long sequence, String path, String requestId, String stage, String attempt, String idempotencyKey,
		long startedMs, @Nullable Long endedMs, boolean cancelled, int status) {

	Run ended(long now, boolean wasCancelled, int endStatus) {
		return new Run(this.sequence, this.path, this.requestId, this.stage, this.attempt, this.idempotencyKey,
				this.startedMs, now, wasCancelled, endStatus);
	}

}
