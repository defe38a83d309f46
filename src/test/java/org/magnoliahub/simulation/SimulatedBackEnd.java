package org.magnoliahub.simulation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import org.magnoliahub.agent.EndpointClient;
import org.magnoliahub.agent.EndpointEvent;
import org.magnoliahub.agent.EndpointException;
import org.magnoliahub.model.StageCall;
import org.magnoliahub.protocol.Message;
import org.magnoliahub.time.TimerService;

/**
 * A back end that logs each run. It goes on when the process that called it dies.
 */
final class SimulatedBackEnd implements EndpointClient {

	/** Answer of the back end to a call, from which a test tells whose answer it is. */
	static final String ANSWER_SEPARATOR = "|";

	private final TimerService timers;

	private final RandomGenerator random;

	private final Duration meanDuration;

	private final List<Run> runs = new ArrayList<>();

	private double failureProbability;

	private double cutProbability;

	private boolean refusing;

	private int slowness = 1;

	SimulatedBackEnd(TimerService timers, RandomGenerator random, Duration meanDuration) {
		this.timers = timers;
		this.random = random;
		this.meanDuration = meanDuration;
	}

	void setFaults(double failures, double cuts, boolean refuse) {
		this.failureProbability = failures;
		this.cutProbability = cuts;
		this.refusing = refuse;
	}

	void setSlowness(int factor) {
		this.slowness = factor;
	}

	List<Run> runs() {
		return this.runs;
	}

	@Override
	public Flowable<EndpointEvent> call(StageCall call, Duration budget, int priority) {
		return Flowable.defer(() -> {
			if (this.refusing) {
				return Flowable.error(new EndpointException("connection refused", false));
			}
			this.runs.add(new Run(call, this.timers.milliTime()));
			double factor = 0.2 + 1.6 * this.random.nextDouble();
			Duration duration = Duration.ofNanos((long) (this.meanDuration.toNanos() * this.slowness * factor));
			Flowable<EndpointEvent> first = part(duration.dividedBy(2), "<" + call.stage() + ANSWER_SEPARATOR);
			if (this.random.nextDouble() < this.failureProbability) {
				return this.timers.after(duration).andThen(Flowable.error(new EndpointException("status 500", true)));
			}
			if (this.random.nextDouble() < this.cutProbability) {
				return first;
			}
			Flowable<EndpointEvent> second = part(duration.dividedBy(2), call.input() + ">");
			return first.concatWith(second).concatWith(Flowable.just(new EndpointEvent.Finished(2)));
		});
	}

	private Flowable<EndpointEvent> part(Duration delay, String content) {
		return this.timers.after(delay).andThen(Flowable.just(new EndpointEvent.Chunk(content)));
	}

	@Override
	public Single<Message.LoadReport> load() {
		return Single.just(new Message.LoadReport(0, 0, 0));
	}

	/**
	 * One run of a call.
	 *
	 * @param call the call
	 * @param millis virtual time of its start
	 */
	record Run(StageCall call, long millis) {

	}

}
