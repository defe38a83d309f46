package org.magnoliahub.entry;

import java.time.Duration;

import org.magnoliahub.serving.GracefulShutdown;
import org.magnoliahub.time.Timers;

/**
 * Ends the work of a gateway that was told to stop. Requests that cannot be completed in
 * time are answered before the process exits: those that cannot have been executed are
 * refused, and those with an unknown outcome fail. Only streams that have begun are cut,
 * because an incomplete stream must not look complete.
 */
final class ShutdownSequence {

	private static final Duration CHECK_INTERVAL = Duration.ofMillis(50);

	private static final String REASON = "stopping";

	private final Timers timers;

	private final EntryLog log;

	private final GracefulShutdown state;

	private final OpenRequests openRequests;

	private final CallerServer callerServer;

	private boolean begun;

	private boolean stopped;

	ShutdownSequence(Timers timers, EntryLog log, GracefulShutdown state, OpenRequests openRequests,
			CallerServer callerServer) {
		this.timers = timers;
		this.log = log;
		this.state = state;
		this.openRequests = openRequests;
		this.callerServer = callerServer;
	}

	/**
	 * Begins to stop. Further invocations have no effect.
	 * @param onStopped called when the process may exit
	 */
	void begin(Runnable onStopped) {
		if (this.begun) {
			return;
		}
		this.begun = true;
		this.state.begin(this.timers.milliTime());
		this.log.event(EntryEvent.STOPPING)
			.field("open_requests", this.openRequests.count())
			.field("connections", this.callerServer.connectionCount())
			.write();
		this.callerServer.drain();
		this.timers.schedule(Duration.ofMillis(GracefulShutdown.ROTATION_REMOVAL_MILLIS), this.callerServer::closeIdle);
		this.timers.schedulePeriodically(CHECK_INTERVAL, () -> check(onStopped));
	}

	private void check(Runnable onStopped) {
		if (this.stopped) {
			return;
		}
		long now = this.timers.milliTime();
		if (this.state.mustRefuseUnsent(now)) {
			this.openRequests.endEarly((flow) -> !flow.mayHaveExecuted(), REASON);
		}
		if (this.state.mustFailUnanswered(now)) {
			this.openRequests.endEarly((flow) -> !flow.hasStreamStarted(), REASON);
		}
		if (now >= this.state.exitDeadline()) {
			stop(onStopped, this.openRequests.endEarly((flow) -> true, REASON));
		}
		else if (isIdle(now)) {
			stop(onStopped, 0);
		}
	}

	private boolean isIdle(long now) {
		return this.openRequests.count() == 0 && this.callerServer.connectionCount() == 0
				&& this.state.isOutOfRotation(now);
	}

	private void stop(Runnable onStopped, int cutStreams) {
		this.stopped = true;
		this.callerServer.close();
		this.log.event(EntryEvent.STOPPED)
			.field("open_requests", this.openRequests.count())
			.field("cut_streams", cutStreams)
			.field("connections", this.callerServer.connectionCount())
			.write();
		this.log.flush();
		onStopped.run();
	}

}
