package org.magnoliahub.entry;

import java.util.Collection;
import java.util.List;

import io.netty.channel.EventLoopGroup;
import org.jspecify.annotations.Nullable;
import org.magnoliahub.serving.EndpointRecord;
import org.magnoliahub.serving.PromptBlocklist;
import org.magnoliahub.serving.PromptSegment;
import org.magnoliahub.time.Timers;

/**
 * Keeps requests from engines that a part of their prompts would crash. The parts that
 * need other classes are created when an endpoint first ends, or after the start.
 */
final class CrashingPrompts {

	/**
	 * Poll timing while no endpoint has ended; an end makes this gateway read at once.
	 */
	private static final long IDLE_POLL_MILLIS = 10_000;

	/**
	 * Time after the last end in which the evidence is polled within the contact bound.
	 */
	private static final long ALERT_MILLIS = 15_000;

	private final EventLoopGroup group;

	private final Timers timers;

	private final EntryLog log;

	private final String gateway;

	private final PromptBlocklist blocklist;

	private @Nullable EndpointEndDetector detector;

	private @Nullable TableWatcher watcher;

	private long alertedUntil = Long.MIN_VALUE;

	CrashingPrompts(EventLoopGroup group, Timers timers, EntryLog log, String gateway) {
		this.group = group;
		this.timers = timers;
		this.log = log;
		this.gateway = gateway;
		this.blocklist = new PromptBlocklist(gateway, timers.milliTime());
	}

	/**
	 * Returns a new table that exchanges the evidence with other gateways.
	 * @param store the store
	 * @return the table, which has started to publish
	 */
	PromptEvidenceTable publishTo(StoreCalls store) {
		PromptEvidenceTable table = new PromptEvidenceTable(store, this.timers, this.log, this.gateway, this.blocklist);
		table.start();
		return table;
	}

	/**
	 * Sets what reads the evidence of the other gateways.
	 * @param evidenceWatcher the watcher, which has been started
	 */
	void setWatcher(TableWatcher evidenceWatcher) {
		this.watcher = evidenceWatcher;
	}

	/**
	 * Returns how the evidence is polled.
	 * @param alerted timing while endpoints end
	 * @return the timing
	 */
	TableWatcher.PollTiming pollTiming(TableWatcher.PollTiming alerted) {
		boolean calm = this.blocklist.isEmpty() && this.timers.milliTime() >= this.alertedUntil;
		return calm ? new TableWatcher.PollTiming(0, IDLE_POLL_MILLIS) : alerted;
	}

	/**
	 * Returns the number of parts that are blocked, for metrics.
	 * @return the number
	 */
	int blockedCount() {
		return this.blocklist.blockedParts().size();
	}

	void setOthers(Collection<String> names) {
		this.blocklist.setOthers(names, this.timers.milliTime());
	}

	/**
	 * Records that a request on an engine was broken off without an answer.
	 * @param endpoint the engine
	 * @param prompt parts of the request's prompt
	 */
	void onBrokenOff(EndpointRecord endpoint, List<PromptSegment> prompt) {
		EndpointEndDetector present = this.detector;
		if (present == null) {
			present = new EndpointEndDetector(this.group, this.timers, this.log, this.blocklist, this::onEnd);
			this.detector = present;
		}
		present.onBrokenOff(endpoint, prompt);
	}

	// A poll that began in calm may be waiting on a connection that is silent.
	private void onEnd() {
		long now = this.timers.milliTime();
		boolean calm = now >= this.alertedUntil;
		this.alertedUntil = now + ALERT_MILLIS;
		if (calm && this.watcher != null) {
			this.watcher.start();
		}
	}

	/**
	 * Records that an engine has answered a request completely.
	 * @param prompt parts of the request's prompt
	 */
	void onAnswered(List<PromptSegment> prompt) {
		this.blocklist.recordAnswer(prompt, this.timers.milliTime());
	}

	/**
	 * Returns the blocked part of a request.
	 * @param prompt parts of the request's prompt
	 * @return the part, or {@code null} if the request may be sent
	 */
	@Nullable PromptSegment blockedPart(List<PromptSegment> prompt) {
		return this.blocklist.blockedPart(prompt);
	}

	/**
	 * Returns whether a request may be sent although a part of it is blocked, to learn
	 * whether it still crashes endpoints.
	 * @param prompt parts of the request's prompt
	 * @return whether the request is the next try
	 */
	boolean tryAgain(List<PromptSegment> prompt) {
		return this.blocklist.tryAgain(prompt, this.timers.milliTime());
	}

	/**
	 * Returns when a request with a blocked part may be tried again.
	 * @param prompt parts of the request's prompt
	 * @return milliseconds until then, zero if no part is blocked
	 */
	long retryAfterMillis(List<PromptSegment> prompt) {
		PromptSegment part = this.blocklist.blockedPart(prompt);
		return (part != null) ? this.blocklist.retryAfterMillis(part, this.timers.milliTime()) : 0;
	}

}
