package org.magnoliahub.query;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.Schedulers;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.magnoliahub.claim.Claim;
import org.magnoliahub.claim.ClaimAdministration;
import org.magnoliahub.claim.ClaimPhase;
import org.magnoliahub.claim.ClaimRepository;
import org.magnoliahub.claim.ClaimSettings;
import org.magnoliahub.configuration.ConfigurationChange;
import org.magnoliahub.configuration.ConfigurationRepository;
import org.magnoliahub.configuration.ItemChange;
import org.magnoliahub.lease.LeaseDirectory;
import org.magnoliahub.model.AvailabilityZone;
import org.magnoliahub.model.Endpoint;
import org.magnoliahub.model.Outcome;
import org.magnoliahub.model.RequestId;
import org.magnoliahub.model.RequestRecord;
import org.magnoliahub.model.Workspace;
import org.magnoliahub.report.RecordReader;
import org.magnoliahub.report.RecordSettings;
import org.magnoliahub.report.RecordWriter;
import org.magnoliahub.store.FaultyTableStore;
import org.magnoliahub.store.InMemoryObjectStore;
import org.magnoliahub.store.InMemoryTableStore;
import org.magnoliahub.store.StoreFaults;
import org.magnoliahub.time.SchedulerTimerService;
import org.magnoliahub.time.TimerService;

import static org.assertj.core.api.Assertions.assertThat;

class QueryServiceTests {

	private static final Instant START = Instant.parse("2026-12-04T09:00:00Z");

	private final TestScheduler scheduler = new TestScheduler();

	private final TimerService timers = SchedulerTimerService.virtual(this.scheduler);

	private final StoreFaults faults = StoreFaults.none();

	private final InMemoryTableStore table = InMemoryTableStore.of(this.timers, Duration.ofMillis(2));

	private final FaultyTableStore faulty = FaultyTableStore.of(this.table, this.faults, this.timers, new Random(3),
			Duration.ofMillis(500));

	private final InMemoryObjectStore objects = InMemoryObjectStore.of(this.timers, Duration.ofMillis(2));

	private final ConfigurationRepository repository = ConfigurationRepository.of(this.faulty, this.objects);

	private final ClaimRepository claims = ClaimRepository.of(this.table, this.timers, new Random(4),
			ClaimSettings.defaults());

	private final RecordWriter records = RecordWriter.of("gateway-a", 1, this.objects, this.timers, this::now,
			new Random(5), RecordSettings.defaults(), new SimpleMeterRegistry());

	private int ids;

	private QueryService service;

	private Instant now() {
		return START.plusNanos(this.timers.nanoTime());
	}

	@BeforeEach
	void start() {
		this.service = QueryService.of(new QuerySources(RecordReader.of(this.objects, Schedulers.trampoline()),
				this.records::unwritten, this.repository, ClaimAdministration.of(this.faulty),
				LeaseDirectory.of(this.table), () -> Set.of("engine-0"), this::now, () -> "id-" + (this.ids++)));
		await(this.repository.commit(ConfigurationChange.of("first", 0, "test", now(), "",
				List.of(new ItemChange.PutEndpoint(
						new Endpoint("engine-0", "engines", new AvailabilityZone("a"), "127.0.0.1:7000", false)),
						new ItemChange.PutWorkspace(new Workspace("hakodate", 1, 100))))));
		this.records.start();
	}

	private <T> T await(Single<T> work) {
		var result = work.test();
		this.scheduler.advanceTimeBy(10, TimeUnit.SECONDS);
		return result.assertNoErrors().assertComplete().values().get(0);
	}

	private String run(String statement) {
		var result = this.service.run(statement, "kanako").map(ResultFormat.CSV::render).test();
		this.scheduler.advanceTimeBy(10, TimeUnit.SECONDS);
		return result.values().isEmpty() ? "error: " + errorOf(result) : result.values().get(0);
	}

	private static String errorOf(io.reactivex.rxjava3.observers.TestObserver<?> result) {
		StringBuilder message = new StringBuilder();
		result.assertError((failure) -> message.append(failure.getMessage()) != null);
		return message.toString();
	}

	private void claim(String key, ClaimPhase phase) {
		await(this.claims.acquire(
				new Claim("hakodate", key, "hash", "token-" + key, new RequestId("gateway-a-" + key), phase),
				Duration.ofSeconds(1)));
	}

	private static ClaimPhase unknown(String stage) {
		return new ClaimPhase.Finished(new Outcome.Unknown(stage, "the agent restarted"));
	}

	/**
	 * Guards against commands that change something and leave no audit entry, and against
	 * refused ones that change something.
	 */
	@ParameterizedTest
	@CsvSource(delimiter = ';', textBlock = """
			drain endpoint engine-0;done, version 2;accepted
			return endpoint engine-0;does not drain;refused
			drain endpoint engine-9;is not declared;refused
			limit workspace hakodate to 7;done, version 2;accepted
			limit workspace hakodate to 100;has this limit already;refused
			limit workspace otaru to 7;is not declared;refused
			settle hakodate none as complete "x";there is no such claim;refused
			settle hakodate running as complete "x";but it is assigned;refused
			settle hakodate open as failed "x";but it is open;refused
			settle hakodate done as failed "x";but it is complete;refused
			settle hakodate lost as failed "no trace at the desk";settle claim hakodate lost as failed: done;settled
			""")
	void commandIsCarriedOutOrRefusedAndRecorded(String command, String answer, String audit) {
		claim("running", new ClaimPhase.Assigned(0, "engine-0", 1, 1, 0, 1));
		claim("open", new ClaimPhase.Open());
		claim("done", new ClaimPhase.Finished(new Outcome.Complete("answer")));
		claim("lost", unknown("file"));
		String before = run("claims");
		assertThat(run(command)).contains(answer);
		List<String> trail = run("versions").lines().filter((line) -> line.contains("kanako")).toList();
		assertThat(trail).singleElement().asString().contains("," + audit + ",");
		if (audit.equals("refused")) {
			assertThat(run("claims")).isEqualTo(before);
			assertThat(await(this.repository.head()).version()).isEqualTo(1);
		}
	}

	/**
	 * Guards against two decisions on one claim when answers of the store are lost, and
	 * against a failed claim whose call would run again.
	 */
	@Test
	void unknownOutcomeIsSettledOnceAlthoughAnswersAreLost() {
		for (int i = 0; i < 40; i++) {
			String key = "k" + i;
			claim(key, unknown(""));
			this.faults.setLostResponseProbability(0.4);
			var first = this.service.run("settle hakodate " + key + " as complete \"one\"", "kanako").test();
			var second = this.service.run("settle hakodate " + key + " as complete \"two\"", "minato").test();
			this.scheduler.advanceTimeBy(20, TimeUnit.SECONDS);
			this.faults.setLostResponseProbability(0);
			int settled = first.values().size() + second.values().size();
			assertThat(settled).isLessThanOrEqualTo(1);
			long entries = run("versions").lines()
				.filter((line) -> line.contains(",settled,") && line.contains(" " + key + " as"))
				.count();
			boolean done = run("claims where key = " + key).contains(",complete,");
			assertThat(entries).isEqualTo(done ? 1 : 0);
			assertThat(settled).isLessThanOrEqualTo(done ? 1 : 0);
		}
	}

	/**
	 * Guards against a settled answer in the audit trail, which others may read.
	 */
	@Test
	void answerOfASettledClaimStaysOutOfTheAuditTrail() {
		claim("lost", unknown("file"));
		run("settle hakodate lost as complete \"stamp 4711\"");
		assertThat(run("versions")).contains("settle claim hakodate lost as complete").doesNotContain("4711");
	}

	@Test
	void requestsAreFilteredAndGrouped() {
		for (int i = 0; i < 10; i++) {
			boolean refused = i % 3 == 0;
			this.records.record(new RequestRecord(new RequestId("gateway-a-" + "0".repeat(31) + i), "gateway-a",
					(i < 8) ? "hakodate" : "otaru", "report", "draft", now(), 10 * i, refused ? "not_run" : "complete",
					refused ? ((i == 0) ? "limit_reached" : "no_endpoint") : "", refused ? "why" : "", !refused,
					List.of()));
			this.scheduler.advanceTimeBy(7, TimeUnit.SECONDS);
		}
		assertThat(run("requests where workspace = hakodate and outcome = not_run group by reason").lines())
			.containsExactly("reason,requests,in_time", "no_endpoint,2,0", "limit_reached,1,0");
		assertThat(run("requests where total_ms > 70").lines()).hasSize(3);
		assertThat(run("requests since 40s limit 1").lines().toList()).hasSize(3)
			.last()
			.asString()
			.contains("limit of 1");
		assertThat(run("request gateway-a-" + "0".repeat(31) + "3")).contains("not_run, no_endpoint", "detail,why");
		assertThat(run("request gateway-b-" + "0".repeat(31) + "3")).contains("INCOMPLETE: no gateway", "no record");
		assertThat(run("endpoints where usable = true")).contains("engine-0,engines,a,127.0.0.1:7000,false,true");
	}

}
