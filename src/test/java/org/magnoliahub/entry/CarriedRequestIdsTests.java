package org.magnoliahub.entry;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalStateException;

class CarriedRequestIdsTests {

	private final CarriedRequestIds ids = new CarriedRequestIds();

	@Test
	void addedIdIsContainedAndOtherIsNot() {
		assertThat(this.ids.mayContain("r1")).isFalse();
		this.ids.add("r1");
		assertThat(this.ids.mayContain("r1")).isTrue();
		assertThat(this.ids.mayContain("r2")).isFalse();
	}

	@Test
	void firstIdIsStillContainedWhenFull() {
		for (int index = 0; index < CarriedRequestIds.MAXIMUM_IDS; index++) {
			assertThat(this.ids.isFull()).isFalse();
			this.ids.add("r" + index);
		}
		assertThat(this.ids.mayContain("r0")).isTrue();
		assertThat(this.ids.isFull()).isTrue();
		assertThatIllegalStateException().isThrownBy(() -> this.ids.add("next"));
	}

}
