package org.magnoliahub.entry;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.schedulers.TestScheduler;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.magnoliahub.placement.Placement;
import org.magnoliahub.platform.NodeSettings;
import org.magnoliahub.platform.StoreFormat;
import org.magnoliahub.platform.StoredRow;
import org.magnoliahub.platform.emulator.EmulatedSettings;
import org.magnoliahub.serving.StoreEra;
import org.magnoliahub.time.SchedulerTimerService;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against evacuations that are read too late or lost, because of other rows of the
 * table, a store that fails, or a store that was restored.
 */
class OperatorTableTests {

	private static final long EVACUATION_MILLIS = 5_000;

	private final TestScheduler scheduler = new TestScheduler();

	private final SchedulerTimerService timers = SchedulerTimerService.virtual(this.scheduler);

	private final List<String> log = new ArrayList<>();

	private final EntryLog entryLog = new EntryLog(this.timers, this.log::add);

	private final Placement placement = new Placement();

	private final List<String> reopened = new ArrayList<>();

	private ConfigurationTable configurationTable;

	private OperatorTable table;

	@BeforeEach
	void create() {
		this.entryLog.start();
		EntryMetrics metrics = new EntryMetrics();
		this.configurationTable = new ConfigurationTable(this.timers, this.entryLog, new StoreEra(),
				new StoreRestorationReport(this.timers, this.entryLog, metrics, () -> 0), (configuration) -> {
				});
		this.placement.setReopeningListener((zone, now) -> this.reopened.add(zone + " at " + now));
		this.table = new OperatorTable(this.configurationTable, this.placement, this.timers, this.entryLog, metrics);
	}

	private static StoredRow row(String key, String value) {
		return new StoredRow(key, value.getBytes(StandardCharsets.UTF_8), 1, false);
	}

	private static StoredRow removal(String key) {
		return new StoredRow(key, new byte[0], 2, true);
	}

	private long rejectedRows() {
		this.scheduler.advanceTimeBy(1, TimeUnit.SECONDS);
		return String.join("", this.log).lines().filter((line) -> line.contains("row_rejected")).count();
	}

	@Test
	void rowWithAnyValueCountsUntilItIsRemoved() {
		this.table.onList(List.of(row("evacuate/z1", "{}"), row("evacuate/z2", "x")), false);
		assertThat(this.placement.isEvacuated("z1")).isTrue();
		assertThat(this.placement.isEvacuated("z2")).isTrue();
		this.scheduler.advanceTimeBy(70, TimeUnit.MILLISECONDS);
		this.table.onChanges(List.of(removal("evacuate/z1")));
		assertThat(this.placement.isEvacuated("z1")).isFalse();
		assertThat(this.reopened).containsExactly("z1 at 70");
	}

	@Test
	void keyWithoutANameIsIgnoredAndLoggedOnce() {
		this.table.onList(List.of(row("evacuate/", "{}")), false);
		this.table.onChanges(List.of(row("evacuate/", "{}")));
		assertThat(this.placement.evacuatedCount()).isZero();
		assertThat(rejectedRows()).isEqualTo(1);
	}

	@Test
	void rowsBeyondTheLimitAreLoggedOnce() {
		List<StoredRow> rows = new ArrayList<>();
		for (int index = 0; index < 1_003; index++) {
			rows.add(row("evacuate/z" + index, "{}"));
		}
		this.table.onList(rows, false);
		assertThat(this.placement.evacuatedCount()).isEqualTo(1_000);
		assertThat(rejectedRows()).isEqualTo(1);
	}

	@Test
	void configurationInTheSameListIsAdopted() {
		this.table.onList(List.of(row("evacuate/z1", "{}"),
				row(StoreFormat.CONFIGURATION_KEY, EmulatedSettings.configuration(3, List.of()))), false);
		assertThat(this.configurationTable.version()).isEqualTo(3);
	}

	@Test
	void configurationOfAnotherGatewayIsNotUsedBeforeTheRowsWereRead() {
		this.configurationTable.awaitList();
		this.configurationTable.applyFromMember("gateway-2",
				EmulatedSettings.configuration(3, List.of()).getBytes(StandardCharsets.UTF_8));
		assertThat(this.configurationTable.current()).isEmpty();
		this.table.onList(List.of(row("evacuate/z1", "{}")), false);
		assertThat(this.configurationTable.current()).isPresent();
	}

	@Test
	void rowMissingFromARestoredStoreEndsTheEvacuationLater() {
		this.table.onList(List.of(row("evacuate/z1", "{}")), false);
		this.table.onList(List.of(), true);
		this.scheduler.advanceTimeBy(2_199, TimeUnit.MILLISECONDS);
		this.table.onChanges(List.of());
		assertThat(this.placement.isEvacuated("z1")).isTrue();
		this.scheduler.advanceTimeBy(1, TimeUnit.MILLISECONDS);
		this.table.onChanges(List.of());
		this.table.onChanges(List.of());
		assertThat(this.placement.isEvacuated("z1")).isFalse();
	}

	@Test
	void twoCallsInARowWithoutResponseDelayAnEvacuationWithinItsBound() {
		NodeSettings.Bounds bounds = new NodeSettings.Bounds(4_000, 2_000, 13_000, 8_000, 0.2, 10, 10_000,
				EVACUATION_MILLIS, null);
		ScriptedStore store = new ScriptedStore();
		new TableWatcher(store, this.timers, new SplittableRandom(1), this.entryLog, StoreFormat.CONFIGURATION_TABLE,
				PollTimings.operator(bounds), this.table)
			.start();
		store.respond(store.next(), 1, 200, "{\"rows\":[],\"ver\":5}");
		long written = this.timers.milliTime();
		for (int lost = 0; lost < 2; lost++) {
			ScriptedStore.Call call = store.next();
			this.scheduler.advanceTimeBy(call.timeoutMillis(), TimeUnit.MILLISECONDS);
			call.handler().onFailure("no response");
			this.scheduler.advanceTimeBy(338, TimeUnit.MILLISECONDS);
		}
		store.respond(store.next(), 1, 200,
				"{\"rows\":[{\"key\":\"evacuate/z1\",\"value\":\"e30=\",\"ver\":6}],\"ver\":6}");
		assertThat(this.placement.isEvacuated("z1")).isTrue();
		assertThat(this.timers.milliTime() - written).isLessThan(EVACUATION_MILLIS - 600);
	}

	@Test
	void pollsAreUnchangedWithoutABound() {
		NodeSettings.Bounds bounds = new NodeSettings.Bounds(4_000, 2_000, 13_000, 8_000, 0.2, 10, 10_000, 0, null);
		assertThat(PollTimings.operator(bounds)).isEqualTo(PollTimings.configuration(bounds));
	}

}
