package org.magnoliahub.entry;

import org.magnoliahub.serving.PieceTimes;

/**
 * Breakdown of the time spent on a request. For each stage, the piece that finished last
 * counts.
 */
final class RequestTimings {

	private long stageQueueMillis;

	private long stageCallMillis;

	/** Time of the stages outside the queue, the batches and failed attempts. */
	private long stageHandoverMillis;

	/** Time from sending to the first event or the complete response, or -1. */
	private long endpointMillis = -1;

	private long failedAttemptMillis;

	private long maximumEventGapMillis;

	private long sentMillis = -1;

	private long lastEventMillis = -1;

	/**
	 * Records the end of a stage.
	 * @param durationMillis the time since its submission, in milliseconds
	 * @param lastPiece the times of the piece that finished last
	 */
	void stageEnded(long durationMillis, PieceTimes lastPiece) {
		this.stageQueueMillis += lastPiece.waitMillis();
		this.stageCallMillis += lastPiece.callMillis();
		this.failedAttemptMillis += lastPiece.failedAttemptMillis();
		this.stageHandoverMillis += Math.max(0,
				durationMillis - lastPiece.waitMillis() - lastPiece.callMillis() - lastPiece.failedAttemptMillis());
	}

	void sent(long now) {
		this.sentMillis = now;
	}

	void attemptFailed(long now) {
		this.failedAttemptMillis += (this.sentMillis >= 0) ? now - this.sentMillis : 0;
		this.sentMillis = -1;
	}

	/**
	 * Records that events of a stream are relayed.
	 * @param now the monotonic time, in milliseconds
	 */
	void eventsRelayed(long now) {
		if (this.lastEventMillis >= 0) {
			this.maximumEventGapMillis = Math.max(this.maximumEventGapMillis, now - this.lastEventMillis);
		}
		else {
			this.endpointMillis = (this.sentMillis >= 0) ? now - this.sentMillis : 0;
		}
		this.lastEventMillis = now;
	}

	/**
	 * Records a complete response, unless events of a stream were recorded.
	 * @param now the monotonic time, in milliseconds
	 */
	void responseCompleted(long now) {
		if (this.endpointMillis < 0) {
			this.endpointMillis = (this.sentMillis >= 0) ? now - this.sentMillis : 0;
		}
	}

	void writeTo(EntryLog.Line line) {
		line.field("queue_ms", this.stageQueueMillis)
			.field("call_ms", this.stageCallMillis)
			.field("hand_ms", this.stageHandoverMillis)
			.field("lost_ms", this.failedAttemptMillis)
			.field("engine_ms", Math.max(0, this.endpointMillis))
			.field("pause_ms", this.maximumEventGapMillis);
	}

}
