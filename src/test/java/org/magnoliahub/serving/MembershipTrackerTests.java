package org.magnoliahub.serving;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against rows of removed gateways that are never deleted, and against several
 * gateways that delete the same row, each at the cost of a store call.
 */
class MembershipTrackerTests {

	private static final long NOW = 5_000;

	private final List<MembershipTracker> trackers = new ArrayList<>();

	private MembershipTracker tracker(String gatewayName, List<String> members) {
		MembershipTracker tracker = new MembershipTracker(gatewayName);
		members.forEach((member) -> tracker.recordRow(member, 7, 1, NOW));
		this.trackers.add(tracker);
		return tracker;
	}

	private List<MembershipTracker.StaleRow> staleRows(long now) {
		return this.trackers.stream().flatMap((tracker) -> tracker.staleRows(now).stream()).toList();
	}

	@Test
	void staleRowIsRemovedByExactlyOneGateway() {
		List<String> members = List.of("a", "b", "c", "d", "lost");
		for (String gatewayName : members.subList(0, 4)) {
			tracker(gatewayName, members);
		}
		long later = NOW + MembershipTracker.STALE_ROW_MILLIS;
		this.trackers
			.forEach((tracker) -> members.subList(0, 4).forEach((member) -> tracker.recordRow(member, 7, 2, later)));
		assertThat(staleRows(later)).containsExactly(new MembershipTracker.StaleRow("lost", 1));
	}

	@Test
	void rewrittenRowIsNotStale() {
		MembershipTracker tracker = tracker("a", List.of("a", "b"));
		long later = NOW + MembershipTracker.STALE_ROW_MILLIS;
		tracker.recordRow("b", 7, 2, later - 1);
		assertThat(tracker.staleRows(later)).isEmpty();
	}

	@Test
	void rowThatIsReadAgainUnchangedBecomesStale() {
		MembershipTracker tracker = tracker("a", List.of("a", "b"));
		long later = NOW + MembershipTracker.STALE_ROW_MILLIS;
		tracker.recordRow("b", 7, 1, later - 1);
		assertThat(tracker.staleRows(later)).containsExactly(new MembershipTracker.StaleRow("b", 1));
	}

	@Test
	void rowOfThisGatewayIsNeverStale() {
		MembershipTracker tracker = tracker("a", List.of("a"));
		assertThat(tracker.staleRows(NOW + 2 * MembershipTracker.STALE_ROW_MILLIS)).isEmpty();
	}

	@Test
	void missingRowOfThisGatewayIsReported() {
		MembershipTracker tracker = tracker("a", List.of("a", "b"));
		tracker.recordRemoval("a");
		assertThat(tracker.containsSelf()).isFalse();
	}

	@Test
	void rowOfARemovedGatewayIsStaleWhenARestorationBringsItBack() {
		MembershipTracker tracker = tracker("a", List.of("a", "b"));
		tracker.recordRemoval("b");
		tracker.clear();
		assertThat(tracker.recordRestoredRow("a", 7, 3, NOW)).isTrue();
		assertThat(tracker.recordRestoredRow("b", 7, 4, NOW)).isFalse();
		assertThat(tracker.staleRows(NOW)).containsExactly(new MembershipTracker.StaleRow("b", 4));
	}

	@Test
	void restartedGatewayWithTheSameNameIsAMember() {
		MembershipTracker tracker = tracker("a", List.of("a", "b"));
		tracker.recordRemoval("b");
		tracker.clear();
		assertThat(tracker.recordRestoredRow("b", 8, 4, NOW)).isTrue();
		assertThat(tracker.staleRows(NOW)).isEmpty();
	}

	@Test
	void rowsFromBeforeTheRestorationAreNotUsed() {
		MembershipTracker tracker = tracker("a", List.of("a", "b"));
		tracker.clear();
		assertThat(tracker.staleRows(NOW + 2 * MembershipTracker.STALE_ROW_MILLIS)).isEmpty();
	}

}
