package org.magnoliahub.soak;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import org.jspecify.annotations.Nullable;
import org.magnoliahub.platform.emulator.CallerAnswer;
import org.magnoliahub.platform.emulator.EmulatedRequest;
import org.magnoliahub.platform.emulator.EmulatedSettings;
import org.magnoliahub.platform.emulator.EndpointRequest;
import org.magnoliahub.platform.emulator.EndpointRun;

/**
 * What caller and endpoints saw of one request. Times are monotonic, in milliseconds.
 */
final class RequestStory {

	private final RequestKind kind;

	private final EmulatedRequest request;

	private final int gateway;

	private final long sentMillis;

	private final List<Arrival> arrivals = new CopyOnWriteArrayList<>();

	private final List<Run> runs = new CopyOnWriteArrayList<>();

	private volatile @Nullable CallerAnswer answer;

	private volatile long writtenMillis = Long.MAX_VALUE;

	private volatile long endedMillis;

	private volatile boolean abandoned;

	RequestStory(RequestKind kind, EmulatedRequest request, int gateway, long sentMillis) {
		this.kind = kind;
		this.request = request;
		this.gateway = gateway;
		this.sentMillis = sentMillis;
	}

	/**
	 * Returns whether the request ends the endpoint that begins to answer it.
	 * @return whether its prompt has the part
	 */
	boolean isCrashing() {
		return Prompts.isCrashing(this.request.prompt());
	}

	RequestKind kind() {
		return this.kind;
	}

	EmulatedRequest request() {
		return this.request;
	}

	int gateway() {
		return this.gateway;
	}

	long sentMillis() {
		return this.sentMillis;
	}

	long endedMillis() {
		return this.endedMillis;
	}

	/**
	 * Returns when the last byte of the request was sent.
	 * @return the time, or the largest value if it was not sent in full
	 */
	long writtenMillis() {
		return this.writtenMillis;
	}

	void writtenAt(long now) {
		this.writtenMillis = now;
	}

	boolean isAbandoned() {
		return this.abandoned;
	}

	@Nullable CallerAnswer answer() {
		return this.answer;
	}

	List<Arrival> arrivals() {
		return this.arrivals;
	}

	List<Run> runs() {
		return this.runs;
	}

	void answered(CallerAnswer given, long now) {
		this.answer = given;
		this.endedMillis = now;
	}

	void abandonedAt(long now) {
		this.abandoned = true;
		this.endedMillis = now;
	}

	void arrived(EndpointRequest arrived, long now) {
		this.arrivals.add(new Arrival(arrived, now));
	}

	void started(EndpointRun run, long now) {
		this.runs.add(new Run(run, now));
	}

	void ended(EndpointRun run, long now) {
		this.runs.stream().filter((known) -> known.run.equals(run)).forEach((known) -> known.endedMillis = now);
	}

	/**
	 * Returns whether the gateway said that its configuration does not allow the request.
	 * @return whether the answer is a refusal of the gateway's own
	 */
	boolean isDenied() {
		CallerAnswer given = this.answer;
		return given != null && given.signature().isEmpty()
				&& (given.status() == 401 || given.status() == 403 || given.status() == 404);
	}

	/**
	 * Returns whether only some configurations allow the request.
	 * @return whether its route or its key comes and goes
	 */
	boolean isProbe() {
		return !this.request.target().startsWith(this.kind.prefix())
				|| !this.request.key().equals(EmulatedSettings.KEY);
	}

	/**
	 * Returns whether the caller got the whole answer.
	 * @return whether the request was served
	 */
	boolean isServed() {
		CallerAnswer given = this.answer;
		return given != null && given.status() == 200 && given.complete();
	}

	/**
	 * Returns whether the caller was told that nothing runs.
	 * @return whether the answer promises it
	 */
	boolean isRefused() {
		CallerAnswer given = this.answer;
		return given != null && given.promisesNoRun() && given.signature().isEmpty();
	}

	@Override
	public String toString() {
		return this.request.id() + " " + this.request.target() + " gateway=" + this.gateway + " sent=" + this.sentMillis
				+ " ended=" + this.endedMillis + " outcome=" + outcome() + " runs=" + this.runs.size();
	}

	private String outcome() {
		CallerAnswer given = this.answer;
		if (this.abandoned) {
			return "abandoned";
		}
		if (given == null) {
			return "open";
		}
		return given.status() + (given.complete() ? "" : " incomplete");
	}

	/**
	 * A request that reached an endpoint.
	 *
	 * @param request the request
	 * @param millis time of its arrival
	 */
	record Arrival(EndpointRequest request, long millis) {
	}

	/**
	 * A run at an endpoint.
	 */
	static final class Run {

		private final EndpointRun run;

		private final long startedMillis;

		private volatile long endedMillis = Long.MAX_VALUE;

		private Run(EndpointRun run, long startedMillis) {
			this.run = run;
			this.startedMillis = startedMillis;
		}

		EndpointRun run() {
			return this.run;
		}

		long startedMillis() {
			return this.startedMillis;
		}

		long endedMillis() {
			return this.endedMillis;
		}

	}

}
