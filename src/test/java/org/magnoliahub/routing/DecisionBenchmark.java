package org.magnoliahub.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import org.jspecify.annotations.NullUnmarked;
import org.magnoliahub.model.AttemptId;
import org.magnoliahub.model.AvailabilityZone;
import org.magnoliahub.model.Configuration;
import org.magnoliahub.model.Endpoint;
import org.magnoliahub.model.Objective;
import org.magnoliahub.model.PipelineDefinition;
import org.magnoliahub.model.RequestClass;
import org.magnoliahub.model.RequestId;
import org.magnoliahub.model.StageDefinition;
import org.magnoliahub.model.StageOutput;
import org.magnoliahub.model.StageType;
import org.magnoliahub.model.Workspace;
import org.magnoliahub.protocol.Message;
import org.magnoliahub.time.SchedulerTimerService;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures time and allocation of one decision: admission, assignment, completion and
 * release of a request with one stage. Run it with
 * {@code org.openjdk.jmh.Main DecisionBenchmark -prof gc}.
 */
@NullUnmarked
@State(Scope.Thread)
@Fork(1)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class DecisionBenchmark {

	/** Number of endpoints, all in one pool, in 14 zones. */
	@Param({ "100", "600", "2600" })
	public int endpoints;

	private final TestScheduler time = new TestScheduler();

	private final Workspace workspace = new Workspace("harbour", 1, 1_000);

	private final PipelineDefinition pipeline = new PipelineDefinition("draft",
			List.of(new StageDefinition("draft", StageType.GENERATE, "drafting", true, "/draft", 1)));

	private final RequestClass requestClass = new RequestClass("draft", "draft", Duration.ofSeconds(5),
			Objective.ATTAINMENT, 0);

	private final RequestId id = new RequestId("request");

	private DeadlineAwareScheduler scheduler;

	private AdmissionRequest admission;

	private AssignmentRequest stage;

	private long decisions;

	/** Creates the scheduler and fills its statistics. */
	@Setup
	public void setUp() {
		List<Endpoint> list = new ArrayList<>();
		for (int i = 0; i < this.endpoints; i++) {
			list.add(new Endpoint("drafting-" + i, "drafting", new AvailabilityZone("zone-" + i % 14), "127.0.0.1:1",
					true));
		}
		Configuration configuration = Configuration.of(1, List.of(this.pipeline), List.of(this.requestClass), list,
				List.of(this.workspace));
		this.scheduler = DeadlineAwareScheduler.of(() -> configuration, SchedulerTimerService.virtual(this.time),
				new SplittableRandom(1), new AvailabilityZone("zone-0"), "gateway", SchedulerParameters.current());
		this.admission = new AdmissionRequest(this.id, this.workspace, this.requestClass, this.pipeline,
				this.requestClass.deadline());
		this.stage = new AssignmentRequest(new AttemptId(this.id, 0, 1), this.workspace, this.requestClass,
				this.pipeline, this.requestClass.deadline(), Set.of(), 7);
		for (int i = 0; i < 2_000; i++) {
			decide();
		}
	}

	/**
	 * Passes a request through the scheduler. Time advances by 0.2 ms per request, a load
	 * of 5,000 decisions per second.
	 * @return the decision
	 */
	@Benchmark
	public AdmissionDecision decide() {
		this.time.advanceTimeBy(200, TimeUnit.MICROSECONDS);
		AdmissionDecision decision = this.scheduler.admit(this.admission);
		this.scheduler.assign(this.stage)
			.subscribe(
					(assignment) -> assignment.completed(new StageOutput("draft", "", 100, 200 + this.decisions++ % 50),
							new Message.LoadReport(3, 0, this.decisions)),
					(ex) -> {
					});
		this.scheduler.release(this.admission);
		return decision;
	}

}
