package org.magnoliahub.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliahub.platform.StoredRow;
import org.magnoliahub.time.SchedulerTimerService;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against polls that send a revision of another era to the store, and against
 * responses of an earlier era that are applied.
 */
class TableWatcherTests {

	private static final String NO_ROWS = "{\"rows\":[],\"ver\":%d,\"has_more\":false}";

	private final ScriptedStore store = new ScriptedStore();

	private final TestScheduler scheduler = new TestScheduler();

	private final List<String> notifications = new ArrayList<>();

	private TableWatcher.PollTiming timing = new TableWatcher.PollTiming(1_000, 0);

	private TableWatcher watcher;

	@BeforeEach
	void start() {
		SchedulerTimerService timers = SchedulerTimerService.virtual(this.scheduler);
		this.watcher = new TableWatcher(this.store, timers, new SplittableRandom(1), new EntryLog(timers, (line) -> {
		}), "servers", () -> this.timing, new RecordingListener());
		this.store.era.subscribe((previous, current) -> this.watcher.onNewEra());
		this.watcher.start();
	}

	private static String rows(long revision) {
		return NO_ROWS.formatted(revision);
	}

	private void advance(long millis) {
		this.scheduler.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
	}

	private ScriptedStore.Call respondAndTakeNextCall(long era, int status, long revision) {
		this.store.respond(this.store.next(), era, status, rows(revision));
		advance(1_200);
		return this.store.next();
	}

	@ParameterizedTest
	@ValueSource(longs = { 1_500, 2_300, 4_300, 9_300 })
	void pollWithoutResponseIsFollowedByAnotherOneInTime(long detectionMillis) {
		this.timing = TableWatcher.PollTiming.continuous(30_000, detectionMillis);
		this.store.respond(this.store.next(), 5, 200, rows(40));
		ScriptedStore.Call silent = this.store.next();
		advance(silent.timeoutMillis());
		silent.handler().onFailure("no response");
		advance(detectionMillis - silent.timeoutMillis());
		assertThat(this.store.calls).hasSize(1);
		assertThat(this.store.next().target()).contains("after=40").contains("wait_ms=0");
	}

	@Test
	void slowStoreIsReadAfterALongPollTimedOut() {
		this.timing = TableWatcher.PollTiming.continuous(30_000, 2_300);
		this.store.respond(this.store.next(), 5, 200, rows(40));
		this.store.next().handler().onFailure("no response");
		advance(400);
		ScriptedStore.Call retry = this.store.next();
		assertThat(retry.timeoutMillis()).isEqualTo(1_500);
		this.store.respond(retry, 5, 200, rows(41));
		assertThat(this.store.next().target()).contains("after=41").doesNotContain("wait_ms=0");
	}

	@Test
	void firstEraDoesNotRestartTheWatcher() {
		ScriptedStore.Call feed = respondAndTakeNextCall(5, 200, 40);
		assertThat(feed.target()).contains("rows-feed").contains("after=40");
		assertThat(this.notifications).containsExactly("list false");
		assertThat(this.store.calls).isEmpty();
	}

	@Test
	void newEraRereadsTheTableAndDropsTheRevision() {
		ScriptedStore.Call feed = respondAndTakeNextCall(5, 200, 40);
		this.store.respond(feed, 6, 200, rows(90));
		ScriptedStore.Call list = this.store.next();
		assertThat(list.target()).contains("rows-get");
		this.store.respond(list, 6, 200, rows(31));
		advance(1_200);
		assertThat(this.store.next().target()).contains("after=31");
		assertThat(this.notifications).containsExactly("list false", "list true");
		assertThat(this.store.calls).isEmpty();
	}

	@Test
	void eraIsReadFromErrorResponses() {
		ScriptedStore.Call feed = respondAndTakeNextCall(5, 200, 40);
		this.store.respond(feed, 6, 503, "");
		assertThat(this.store.next().target()).contains("rows-get");
		advance(1_200);
		assertThat(this.store.calls).isEmpty();
	}

	@Test
	void eraSeenByAnotherCallInvalidatesTheOpenCall() {
		ScriptedStore.Call feed = respondAndTakeNextCall(5, 200, 40);
		this.store.era.observe(OptionalLong.of(6));
		ScriptedStore.Call list = this.store.next();
		// The poll was for a revision of the previous era, so its rows are ignored.
		this.store.respond(feed, 6, 200, rows(95));
		feed.handler().onFailure("late");
		advance(5_000);
		assertThat(this.store.calls).isEmpty();
		this.store.respond(list, 6, 200, rows(31));
		advance(1_200);
		assertThat(this.store.next().target()).contains("after=31");
	}

	@Test
	void lateResponseOfThePreviousEraIsIgnored() {
		ScriptedStore.Call feed = respondAndTakeNextCall(5, 200, 40);
		this.store.respond(feed, 6, 410, "");
		ScriptedStore.Call list = this.store.next();
		this.store.respond(list, 5, 200, rows(41));
		assertThat(this.notifications).containsExactly("list false");
		advance(1_200);
		ScriptedStore.Call again = this.store.next();
		assertThat(again.target()).contains("rows-get");
		this.store.respond(again, 6, 200, rows(33));
		assertThat(this.notifications).containsExactly("list false", "list true");
	}

	@Test
	void secondEraDuringTheRereadIsNotMissed() {
		ScriptedStore.Call feed = respondAndTakeNextCall(5, 200, 40);
		this.store.respond(feed, 6, 200, rows(50));
		ScriptedStore.Call list = this.store.next();
		this.store.respond(list, 6, 200, rows(31));
		this.store.era.observe(OptionalLong.of(7));
		this.store.respond(this.store.next(), 7, 200, rows(12));
		advance(1_200);
		assertThat(this.store.next().target()).contains("after=12");
		assertThat(this.notifications).containsExactly("list false", "list true", "list true");
		assertThat(this.store.calls).isEmpty();
	}

	@Test
	void pagesOfTwoErasAreNotCombined() {
		ScriptedStore.Call first = this.store.next();
		this.store.respond(first, 5, 200,
				"{\"rows\":[{\"key\":\"a\",\"value\":\"\",\"ver\":3}],\"ver\":3,\"has_more\":true}");
		ScriptedStore.Call second = this.store.next();
		this.store.respond(second, 6, 200, rows(2));
		assertThat(this.notifications).isEmpty();
		assertThat(this.store.next().target()).doesNotContain("from=");
	}

	@Test
	void eraDuringTheRereadAfterLostHistoryIsNotMissed() {
		ScriptedStore.Call feed = respondAndTakeNextCall(5, 200, 40);
		this.store.respond(feed, 5, 410, "");
		ScriptedStore.Call list = this.store.next();
		this.store.era.observe(OptionalLong.of(6));
		this.store.respond(list, 6, 200, rows(31));
		assertThat(this.notifications).containsExactly("list false", "list true");
		assertThat(this.store.calls).isEmpty();
	}

	@Test
	void lostHistoryWithinAnEraIsNoRestoration() {
		ScriptedStore.Call feed = respondAndTakeNextCall(5, 200, 40);
		this.store.respond(feed, 5, 410, "");
		this.store.respond(this.store.next(), 5, 200, rows(60));
		assertThat(this.notifications).containsExactly("list false", "list false");
	}

	@Test
	void storeWithoutErasIsFollowed() {
		ScriptedStore.Call feed = respondAndTakeNextCall(-1, 200, 40);
		this.store.respond(feed, -1, 200, rows(44));
		advance(1_200);
		assertThat(this.store.next().target()).contains("after=44");
		assertThat(this.notifications).containsExactly("list false", "changes");
	}

	private final class RecordingListener implements TableWatcher.Listener {

		@Override
		public void onList(List<StoredRow> rows, boolean restored) {
			TableWatcherTests.this.notifications.add("list " + restored);
		}

		@Override
		public void onChanges(List<StoredRow> rows) {
			TableWatcherTests.this.notifications.add("changes");
		}

	}

}
