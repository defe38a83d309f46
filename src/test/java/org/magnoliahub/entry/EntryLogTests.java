package org.magnoliahub.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import org.junit.jupiter.api.Test;
import org.magnoliahub.time.SchedulerTimerService;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Guards against log output of unbounded size and lines that are not valid JSON.
 */
class EntryLogTests {

	private final TestScheduler scheduler = new TestScheduler();

	private final List<String> written = new ArrayList<>();

	private final EntryLog log = new EntryLog(SchedulerTimerService.virtual(this.scheduler), this.written::add);

	private String output() {
		this.log.flush();
		return String.join("", this.written);
	}

	@Test
	void lineIsOneJsonObject() {
		this.log.event(EntryEvent.REQUEST_REFUSED)
			.field("id", "a\"b")
			.field("status", 503)
			.field("age_ms", 12.6)
			.write();
		assertThat(output())
			.isEqualTo("{\"ms\":0,\"event\":\"request_refused\",\"id\":\"a\\\"b\",\"status\":503,\"age_ms\":13}\n");
	}

	@Test
	void linesBeyondTheLimitAreCounted() {
		for (int index = 0; index < 1_000; index++) {
			this.log.event(EntryEvent.REQUEST_SENT).field("id", "r").write();
		}
		this.scheduler.advanceTimeBy(1, TimeUnit.SECONDS);
		this.log.event(EntryEvent.STOPPING).write();
		assertThat(output().lines()).hasSize(EntryEvent.REQUEST_SENT.linesPerSecond() + 2)
			.anyMatch((line) -> line.contains("\"omitted\":940"));
	}

	@Test
	void refusalsHaveAHigherLimitThanSuccesses() {
		assertThat(EntryEvent.REQUEST_REFUSED.linesPerSecond())
			.isGreaterThan(EntryEvent.REQUEST_ANSWERED.linesPerSecond());
	}

	@Test
	void unknownFieldIsRejected() {
		assertThatIllegalArgumentException().isThrownBy(() -> this.log.event(EntryEvent.STOPPED).field("other", 1));
	}

}
