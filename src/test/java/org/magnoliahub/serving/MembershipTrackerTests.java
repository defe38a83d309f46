package org.magnoliahub.serving;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against rows of gateways that stay for ever, and against many gateways that pay
 * for the removal of one row.
 */
class MembershipTrackerTests {

	private static final long NOW = 5_000;

	private final List<MembershipTracker> lists = new ArrayList<>();

	private MembershipTracker list(String own, List<String> members) {
		MembershipTracker list = new MembershipTracker(own);
		members.forEach((member) -> list.recordRow(member, 7, 1, NOW));
		this.lists.add(list);
		return list;
	}

	private List<MembershipTracker.StaleRow> leftOver(long now) {
		return this.lists.stream().flatMap((list) -> list.staleRows(now).stream()).toList();
	}

	@Test
	void rowOfAGatewayThatDoesNotReturnIsRemovedByOneOfTheOthers() {
		List<String> members = List.of("a", "b", "c", "d", "lost");
		for (String own : members.subList(0, 4)) {
			list(own, members);
		}
		long later = NOW + MembershipTracker.STALE_ROW_MILLIS;
		this.lists.forEach((list) -> members.subList(0, 4).forEach((member) -> list.recordRow(member, 7, 2, later)));
		assertThat(leftOver(later)).containsExactly(new MembershipTracker.StaleRow("lost", 1));
	}

	@Test
	void rowThatIsWrittenAgainStays() {
		MembershipTracker list = list("a", List.of("a", "b"));
		long later = NOW + MembershipTracker.STALE_ROW_MILLIS;
		list.recordRow("b", 7, 2, later - 1);
		assertThat(list.staleRows(later)).isEmpty();
	}

	@Test
	void rowThatIsReadAgainUnchangedGrowsOld() {
		MembershipTracker list = list("a", List.of("a", "b"));
		long later = NOW + MembershipTracker.STALE_ROW_MILLIS;
		list.recordRow("b", 7, 1, later - 1);
		assertThat(list.staleRows(later)).containsExactly(new MembershipTracker.StaleRow("b", 1));
	}

	@Test
	void ownRowIsNeverRemoved() {
		MembershipTracker list = list("a", List.of("a"));
		assertThat(list.staleRows(NOW + 2 * MembershipTracker.STALE_ROW_MILLIS)).isEmpty();
	}

	@Test
	void listWithoutTheOwnRowSaysSo() {
		MembershipTracker list = list("a", List.of("a", "b"));
		list.recordRemoval("a");
		assertThat(list.containsSelf()).isFalse();
	}

	@Test
	void rowOfAGatewayThatHadLeftIsRemovedAgainWhenAnOldCopyBringsItBack() {
		MembershipTracker list = list("a", List.of("a", "b"));
		list.recordRemoval("b");
		list.clear();
		assertThat(list.recordRestoredRow("a", 7, 3, NOW)).isTrue();
		assertThat(list.recordRestoredRow("b", 7, 4, NOW)).isFalse();
		assertThat(list.staleRows(NOW)).containsExactly(new MembershipTracker.StaleRow("b", 4));
	}

	@Test
	void gatewayThatStartedAgainUnderTheNameCounts() {
		MembershipTracker list = list("a", List.of("a", "b"));
		list.recordRemoval("b");
		list.clear();
		assertThat(list.recordRestoredRow("b", 8, 4, NOW)).isTrue();
		assertThat(list.staleRows(NOW)).isEmpty();
	}

	@Test
	void revisionsOfBeforeTheCopyAreNotUsed() {
		MembershipTracker list = list("a", List.of("a", "b"));
		list.clear();
		assertThat(list.staleRows(NOW + 2 * MembershipTracker.STALE_ROW_MILLIS)).isEmpty();
	}

}
