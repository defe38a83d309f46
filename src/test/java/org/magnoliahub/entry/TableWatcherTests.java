package org.magnoliahub.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.magnoliahub.platform.StoredRow;
import org.magnoliahub.time.SchedulerTimerService;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a revision of one era that is sent to the store in another one, and
 * against answers of an earlier era that change what is known.
 */
class TableWatcherTests {

	private static final String NO_ROWS = "{\"rows\":[],\"ver\":%d,\"has_more\":false}";

	private final ScriptedStore store = new ScriptedStore();

	private final TestScheduler scheduler = new TestScheduler();

	private final List<String> seen = new ArrayList<>();

	private TableWatcher watcher;

	@BeforeEach
	void start() {
		SchedulerTimerService timers = SchedulerTimerService.virtual(this.scheduler);
		this.watcher = new TableWatcher(this.store, timers, new SplittableRandom(1), new EntryLog(timers, (line) -> {
		}), "servers", () -> new TableWatcher.PollTiming(1_000, 0), new RecordingListener());
		this.store.era.subscribe((previous, current) -> this.watcher.onNewEra());
		this.watcher.start();
	}

	private static String rows(long revision) {
		return NO_ROWS.formatted(revision);
	}

	private void pass(long millis) {
		this.scheduler.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
	}

	private ScriptedStore.Call nextAfterAnswer(long era, int status, long revision) {
		this.store.answer(this.store.next(), era, status, rows(revision));
		pass(1_200);
		return this.store.next();
	}

	@Test
	void firstEraIsNoReasonToReadAgain() {
		ScriptedStore.Call feed = nextAfterAnswer(5, 200, 40);
		assertThat(feed.target()).contains("rows-feed").contains("after=40");
		assertThat(this.seen).containsExactly("list false");
		assertThat(this.store.calls).isEmpty();
	}

	@Test
	void newEraReadsTheTableAgainAndUsesNoEarlierRevision() {
		ScriptedStore.Call feed = nextAfterAnswer(5, 200, 40);
		this.store.answer(feed, 6, 200, rows(90));
		ScriptedStore.Call list = this.store.next();
		assertThat(list.target()).contains("rows-get");
		this.store.answer(list, 6, 200, rows(31));
		pass(1_200);
		assertThat(this.store.next().target()).contains("after=31");
		assertThat(this.seen).containsExactly("list false", "list true");
		assertThat(this.store.calls).isEmpty();
	}

	@Test
	void refusalAlsoTellsTheEra() {
		ScriptedStore.Call feed = nextAfterAnswer(5, 200, 40);
		this.store.answer(feed, 6, 503, "");
		assertThat(this.store.next().target()).contains("rows-get");
		pass(1_200);
		assertThat(this.store.calls).isEmpty();
	}

	@Test
	void eraThatAnotherCallTellsStopsTheOneUnderWay() {
		ScriptedStore.Call feed = nextAfterAnswer(5, 200, 40);
		this.store.era.observe(OptionalLong.of(6));
		ScriptedStore.Call list = this.store.next();
		// The feed was asked for a revision of the era before, so its rows do not count.
		this.store.answer(feed, 6, 200, rows(95));
		feed.handler().onFailure("late");
		pass(5_000);
		assertThat(this.store.calls).isEmpty();
		this.store.answer(list, 6, 200, rows(31));
		pass(1_200);
		assertThat(this.store.next().target()).contains("after=31");
	}

	@Test
	void lateAnswerOfTheEraBeforeChangesNothing() {
		ScriptedStore.Call feed = nextAfterAnswer(5, 200, 40);
		this.store.answer(feed, 6, 410, "");
		ScriptedStore.Call list = this.store.next();
		this.store.answer(list, 5, 200, rows(41));
		assertThat(this.seen).containsExactly("list false");
		pass(1_200);
		ScriptedStore.Call again = this.store.next();
		assertThat(again.target()).contains("rows-get");
		this.store.answer(again, 6, 200, rows(33));
		assertThat(this.seen).containsExactly("list false", "list true");
	}

	@Test
	void secondChangeWhileTheTableIsReadIsNotMissed() {
		ScriptedStore.Call feed = nextAfterAnswer(5, 200, 40);
		this.store.answer(feed, 6, 200, rows(50));
		ScriptedStore.Call list = this.store.next();
		this.store.answer(list, 6, 200, rows(31));
		this.store.era.observe(OptionalLong.of(7));
		this.store.answer(this.store.next(), 7, 200, rows(12));
		pass(1_200);
		assertThat(this.store.next().target()).contains("after=12");
		assertThat(this.seen).containsExactly("list false", "list true", "list true");
		assertThat(this.store.calls).isEmpty();
	}

	@Test
	void pagesOfTwoErasAreNotPutTogether() {
		ScriptedStore.Call first = this.store.next();
		this.store.answer(first, 5, 200,
				"{\"rows\":[{\"key\":\"a\",\"value\":\"\",\"ver\":3}],\"ver\":3,\"has_more\":true}");
		ScriptedStore.Call second = this.store.next();
		this.store.answer(second, 6, 200, rows(2));
		assertThat(this.seen).isEmpty();
		assertThat(this.store.next().target()).doesNotContain("from=");
	}

	@Test
	void changeWhileALostHistoryIsReadAgainIsNotMissed() {
		ScriptedStore.Call feed = nextAfterAnswer(5, 200, 40);
		this.store.answer(feed, 5, 410, "");
		ScriptedStore.Call list = this.store.next();
		this.store.era.observe(OptionalLong.of(6));
		this.store.answer(list, 6, 200, rows(31));
		assertThat(this.seen).containsExactly("list false", "list true");
		assertThat(this.store.calls).isEmpty();
	}

	@Test
	void lostHistoryWithinAnEraIsNoReturnFromACopy() {
		ScriptedStore.Call feed = nextAfterAnswer(5, 200, 40);
		this.store.answer(feed, 5, 410, "");
		this.store.answer(this.store.next(), 5, 200, rows(60));
		assertThat(this.seen).containsExactly("list false", "list false");
	}

	@Test
	void storeWithoutErasIsFollowedAsBefore() {
		ScriptedStore.Call feed = nextAfterAnswer(-1, 200, 40);
		this.store.answer(feed, -1, 200, rows(44));
		pass(1_200);
		assertThat(this.store.next().target()).contains("after=44");
		assertThat(this.seen).containsExactly("list false", "changes");
	}

	private final class RecordingListener implements TableWatcher.Listener {

		@Override
		public void onList(List<StoredRow> rows, boolean restored) {
			TableWatcherTests.this.seen.add("list " + restored);
		}

		@Override
		public void onChanges(List<StoredRow> rows) {
			TableWatcherTests.this.seen.add("changes");
		}

	}

}
