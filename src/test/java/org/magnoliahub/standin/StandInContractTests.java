package org.magnoliahub.standin;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.schedulers.Schedulers;
import io.reactivex.rxjava3.subscribers.TestSubscriber;
import net.sourceforge.argparse4j.inf.Namespace;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.magnoliahub.agent.EndpointEvent;
import org.magnoliahub.agent.EndpointException;
import org.magnoliahub.command.ExitCode;
import org.magnoliahub.enginehttp.HttpEndpointClient;
import org.magnoliahub.model.AttemptId;
import org.magnoliahub.model.RequestId;
import org.magnoliahub.model.StageCall;
import org.magnoliahub.model.StageOutput;
import org.magnoliahub.model.StageType;
import org.magnoliahub.protocol.Message;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

/**
 * Compares what callers of {@link HttpEndpointClient} are told with the run logs of the
 * stand-ins.
 */
class StandInContractTests {

	private static final String LOOPBACK = "127.0.0.1";

	private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();

	private final Scheduler loop = Schedulers.from(this.executor);

	private final EngineStandIn engine = EngineStandIn.start(LOOPBACK, 0, new EngineSpeed(5, 2, 2, 4), 1);

	private final ServiceStandIn service = ServiceStandIn.start(LOOPBACK, 0, 5, 2, 4, 1);

	@AfterEach
	void stop() {
		this.engine.close();
		this.service.close();
		this.executor.shutdownNow();
	}

	static List<Arguments> faults() {
		Faults refuse = new Faults(0, 0, null, true);
		Faults error = new Faults(1, 0, null, false);
		Faults cut = new Faults(0, 0, 3, false);
		Faults delay = new Faults(0, 1_500, null, false);
		List<Arguments> cases = new ArrayList<>();
		for (StageType type : StageType.values()) {
			cases.add(Arguments.of(type, Faults.NONE, null, 1));
			cases.add(Arguments.of(type, new Faults(0, 20, null, false), null, 1));
			cases.add(Arguments.of(type, refuse, false, 0));
			cases.add(Arguments.of(type, error, true, 1));
			cases.add(Arguments.of(type, cut, true, 1));
		}
		cases.add(Arguments.of(StageType.GENERATE, delay, true, 1));
		cases.add(Arguments.of(StageType.SERVICE, delay, true, 1));
		return cases;
	}

	// Guards against a promise that nothing ran when the run log shows a run, against a
	// failed call taken for complete, and against a call that runs twice.
	@ParameterizedTest(name = "{0} {1}")
	@MethodSource("faults")
	void verdictAgreesWithRunLog(StageType type, Faults faults, @Nullable Boolean effectPossible, int runs) {
		this.engine.setFaults(faults);
		this.service.setFaults(faults);
		TestSubscriber<EndpointEvent> subscriber = client(type).call(call(type, "r1"), Duration.ofMillis(500), 0)
			.test()
			.awaitDone(10, TimeUnit.SECONDS);
		if (effectPossible == null) {
			subscriber.assertComplete();
		}
		else {
			subscriber.assertError((error) -> error instanceof EndpointException failure
					&& failure.isEffectPossible() == effectPossible);
		}
		List<Run> log = (type == StageType.SERVICE) ? this.service.runs() : this.engine.runs();
		assertThat(log).hasSize(runs).allSatisfy((run) -> {
			assertThat(run.requestId()).isEqualTo("r1");
			assertThat(run.attempt()).isEqualTo("2");
			assertThat(run.idempotencyKey()).isEqualTo((type == StageType.SERVICE) ? "key" : "");
		});
	}

	// Guards against answers that reach another caller, and against a full queue that is
	// reported as a possible run.
	@Test
	void concurrentCallersGetTheirOwnAnswerOrAreRefused() {
		Map<String, TestSubscriber<EndpointEvent>> calls = new HashMap<>();
		for (int i = 0; i < 12; i++) {
			calls.put("r" + i,
					client(StageType.GENERATE).call(call(StageType.GENERATE, "r" + i), Duration.ofSeconds(20), 0)
						.test());
		}
		List<String> completed = new ArrayList<>();
		calls.forEach((id, subscriber) -> {
			subscriber.awaitDone(20, TimeUnit.SECONDS);
			if (subscriber.values().isEmpty()) {
				subscriber
					.assertError((error) -> error instanceof EndpointException failure && !failure.isEffectPossible());
				return;
			}
			completed.add(id);
			subscriber.assertComplete().assertValueAt(0, new EndpointEvent.Chunk("request " + id + ":"));
		});
		assertThat(this.engine.runs()).extracting(Run::requestId).containsExactlyInAnyOrderElementsOf(completed);
	}

	// Guards against an engine that keeps generating for a caller that is gone.
	@Test
	void cancelledStreamIsLogged() {
		StageCall call = new StageCall("stage", StageType.GENERATE, "/v1/completions", "w",
				"{\"prompt\":\"p\",\"max_tokens\":100000}", List.of(), Optional.empty());
		TestSubscriber<EndpointEvent> subscriber = client(StageType.GENERATE).call(call, Duration.ofSeconds(20), 0)
			.test();
		subscriber.awaitCount(2);
		subscriber.cancel();
		await().atMost(Duration.ofSeconds(20)).until(() -> this.engine.runs().get(0).cancelled());
		await().atMost(Duration.ofSeconds(20)).until(() -> load().running() == 0);
	}

	// Guards against waiting calls that start in the wrong order.
	@Test
	void waitingCallsStartByPriority() throws Exception {
		RunSlots slots = new RunSlots(1, 3);
		List<Integer> order = new CopyOnWriteArrayList<>();
		assertThat(slots.acquire(0)).isTrue();
		List<Thread> callers = new ArrayList<>();
		for (int priority : new int[] { 9, 1, 5 }) {
			Thread caller = new Thread(() -> {
				try {
					slots.acquire(priority);
					order.add(priority);
					slots.release();
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
			});
			caller.start();
			callers.add(caller);
			await().pollInterval(Duration.ofMillis(2)).until(() -> slots.waiting() == callers.size());
		}
		assertThat(slots.acquire(0)).isFalse();
		slots.release();
		for (Thread caller : callers) {
			caller.join(10_000);
		}
		assertThat(order).containsExactly(1, 5, 9);
		assertThat(slots.running()).isZero();
	}

	// Guards against a control interface that differs from the documented one.
	@Test
	void faultsAndRunsAreServedOverHttp() throws Exception {
		HttpClient http = HttpClient.newHttpClient();
		URI base = URI.create("http://" + LOOPBACK + ":" + this.service.port());
		HttpRequest faults = HttpRequest.newBuilder(base.resolve("/faults"))
			.POST(HttpRequest.BodyPublishers.ofString("{\"error_rate\":1}"))
			.build();
		assertThat(http.send(faults, HttpResponse.BodyHandlers.ofString()).statusCode()).isEqualTo(200);
		HttpRequest invalid = HttpRequest.newBuilder(base.resolve("/faults"))
			.POST(HttpRequest.BodyPublishers.ofString("{\"error_rate\":2}"))
			.build();
		assertThat(http.send(invalid, HttpResponse.BodyHandlers.ofString()).statusCode()).isEqualTo(400);
		client(StageType.SERVICE).call(call(StageType.SERVICE, "r1"), Duration.ofSeconds(10), 0)
			.test()
			.awaitDone(10, TimeUnit.SECONDS)
			.assertError(EndpointException.class);
		HttpRequest runs = HttpRequest.newBuilder(base.resolve("/runs")).build();
		JsonNode run = new ObjectMapper().readTree(http.send(runs, HttpResponse.BodyHandlers.ofString()).body())
			.path(0);
		assertThat(run.path("sequence").asInt()).isEqualTo(1);
		assertThat(run.path("request_id").asText()).isEqualTo("r1");
		assertThat(run.path("status").asInt()).isEqualTo(500);
		assertThat(run.path("ended_ms").asLong()).isGreaterThanOrEqualTo(run.path("started_ms").asLong());
		assertThat(run.path("cancelled").asBoolean(true)).isFalse();
	}

	// Guards against commands that end at once or ignore the stop.
	@Test
	void commandServesUntilStopped() throws Exception {
		ByteArrayOutputStream output = new ByteArrayOutputStream();
		List<ExitCode> codes = new ArrayList<>();
		Thread command = new Thread(() -> {
			try {
				codes.add(new ServiceStandInCommand().run(new Namespace(Map.of()), Map.of("MAGNOLIAHUB_CALL_MS", "0"),
						new PrintStream(output, true), System.err));
			}
			catch (Exception ex) {
				throw new IllegalStateException(ex);
			}
		});
		command.start();
		Supplier<String> printed = output::toString;
		await().atMost(Duration.ofSeconds(20)).until(() -> printed.get().startsWith("listening on 127.0.0.1:"));
		command.interrupt();
		command.join(20_000);
		assertThat(codes).containsExactly(ExitCode.SUCCESS);
	}

	private Message.LoadReport load() {
		return client(StageType.GENERATE).load().blockingGet();
	}

	private HttpEndpointClient client(StageType type) {
		int port = (type == StageType.SERVICE) ? this.service.port() : this.engine.port();
		return HttpEndpointClient.create("http://" + LOOPBACK + ":" + port, "m", this.loop);
	}

	private static StageCall call(StageType type, String request) {
		String path = switch (type) {
			case GENERATE -> "/v1/completions";
			case ENCODE -> "/v1/embeddings";
			case RETRIEVE -> "/v1/retrieve";
			case RERANK -> "/v1/rerank";
			case SERVICE -> "/file";
		};
		return new StageCall("stage", type, path, "workspace", "{\"prompt\":\"p\",\"max_tokens\":8}",
				List.of(new StageOutput("retrieve", "[\"d0\",\"d1\"]", 1, 1)), Optional.of("key"))
			.withAttempt(new AttemptId(new RequestId(request), 1, 2));
	}

}
