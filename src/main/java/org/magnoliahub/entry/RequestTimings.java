package org.magnoliahub.entry;

import org.magnoliahub.serving.PieceTimes;

/**
 * Where the time of a request went. Of each stage the piece that came last counts.
 */
final class RequestTimings {

	private long queueMillis;

	private long callMillis;

	private long handMillis;

	private long engineMillis = -1;

	private long lostMillis;

	private long pauseMillis;

	private long sentAt = -1;

	private long lastEventAt = -1;

	/**
	 * Notes the end of a stage.
	 * @param millis time from its submission
	 * @param last times of the piece that came last
	 */
	void stage(long millis, PieceTimes last) {
		this.queueMillis += last.waitMillis();
		this.callMillis += last.callMillis();
		this.lostMillis += last.failedAttemptMillis();
		this.handMillis += Math.max(0, millis - last.waitMillis() - last.callMillis() - last.failedAttemptMillis());
	}

	void sent(long now) {
		this.sentAt = now;
	}

	void attemptFailed(long now) {
		this.lostMillis += (this.sentAt >= 0) ? now - this.sentAt : 0;
		this.sentAt = -1;
	}

	/**
	 * Notes events that are passed on.
	 * @param now monotonic time, in milliseconds
	 */
	void events(long now) {
		if (this.lastEventAt >= 0) {
			this.pauseMillis = Math.max(this.pauseMillis, now - this.lastEventAt);
		}
		else {
			this.engineMillis = (this.sentAt >= 0) ? now - this.sentAt : 0;
		}
		this.lastEventAt = now;
	}

	/**
	 * Notes a whole answer that is not a stream.
	 * @param now monotonic time, in milliseconds
	 */
	void answer(long now) {
		if (this.engineMillis < 0) {
			this.engineMillis = (this.sentAt >= 0) ? now - this.sentAt : 0;
		}
	}

	void writeTo(EntryLog.Line line) {
		line.field("queue_ms", this.queueMillis)
			.field("call_ms", this.callMillis)
			.field("hand_ms", this.handMillis)
			.field("lost_ms", this.lostMillis)
			.field("engine_ms", Math.max(0, this.engineMillis))
			.field("pause_ms", this.pauseMillis);
	}

}
