package org.magnoliahub.serving;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against using responses from a part of the store's history that a restoration
 * discarded, and against notifications that cause tables to be read again unnecessarily.
 */
class StoreEraTests {

	private final StoreEra era = new StoreEra();

	private final List<Long> notified = new ArrayList<>();

	private boolean observe(long stated) {
		return this.era.observe(OptionalLong.of(stated));
	}

	@Test
	void listenersAreNotifiedOnceOfEachNewEra() {
		this.era.subscribe((previous, current) -> this.notified.addAll(List.of(previous, current)));
		assertThat(observe(3)).isTrue();
		assertThat(observe(3)).isTrue();
		assertThat(observe(4)).isTrue();
		assertThat(this.notified).containsExactly(StoreEra.UNKNOWN, 3L, 3L, 4L);
	}

	@Test
	void responseOfAnEarlierEraIsIgnored() {
		observe(4);
		this.era.subscribe((previous, current) -> this.notified.add(current));
		assertThat(observe(3)).isFalse();
		assertThat(this.notified).isEmpty();
		assertThat(this.era.current()).isEqualTo(4);
	}

	@Test
	void responseWithoutEraIsAccepted() {
		assertThat(this.era.observe(OptionalLong.empty())).isTrue();
		observe(4);
		assertThat(this.era.observe(OptionalLong.empty())).isTrue();
		assertThat(this.era.current()).isEqualTo(4);
	}

	@Test
	void skippedErasCauseOneNotification() {
		observe(1);
		this.era.subscribe((previous, current) -> this.notified.addAll(List.of(previous, current)));
		observe(9);
		assertThat(this.notified).containsExactly(1L, 9L);
	}

}
