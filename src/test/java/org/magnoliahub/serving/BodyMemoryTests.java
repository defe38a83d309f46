package org.magnoliahub.serving;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against bodies that are bounded one by one but not in their sum, and against the
 * loss of other requests to a peer that sends without end.
 */
class BodyMemoryTests {

	private final BodyMemory memory = new BodyMemory(100);

	private final List<String> evicted = new ArrayList<>();

	private BodyMemory.Holder holder(String name) {
		return () -> this.evicted.add(name);
	}

	@Test
	void bodiesWithinTheLimitAreKept() {
		this.memory.hold(holder("a"), "e-1", 60, 60);
		this.memory.hold(holder("b"), "e-2", 40, 40);
		assertThat(this.evicted).isEmpty();
		assertThat(this.memory.totalBytes()).isEqualTo(100);
	}

	@Test
	void growingBodyIsCountedOnce() {
		BodyMemory.Holder growing = holder("a");
		this.memory.hold(growing, "e-1", 60, 60);
		this.memory.hold(growing, "e-1", 90, 90);
		assertThat(this.memory.totalBytes()).isEqualTo(90);
		this.memory.release(growing);
		this.memory.release(growing);
		assertThat(this.memory.totalBytes()).isZero();
	}

	@Test
	void largestBodyOfThePeerThatHoldsMostIsEvicted() {
		this.memory.hold(holder("faulty, small"), "e-1", 20, 20);
		this.memory.hold(holder("faulty, large"), "e-1", 30, 30);
		this.memory.hold(holder("sound"), "e-2", 45, 45);
		this.memory.hold(holder("other"), "e-3", 10, 10);
		assertThat(this.evicted).containsExactly("faulty, large");
		assertThat(this.memory.totalBytes()).isEqualTo(75);
	}

	@Test
	void bodyThatWeighsMostIsEvictedThoughOthersAreLarger() {
		this.memory.hold(holder("nearly complete"), "caller-1", 90, 10);
		this.memory.hold(holder("new"), "caller-2", 20, 80);
		assertThat(this.evicted).containsExactly("new");
	}

	@Test
	void holderWithoutRoomIsEvictedItself() {
		this.memory.hold(holder("a"), "e-1", 101, 101);
		assertThat(this.evicted).containsExactly("a");
		assertThat(this.memory.totalBytes()).isZero();
	}

	@Test
	void completeBodyIsCountedButNotEvicted() {
		BodyMemory.Holder complete = holder("complete");
		this.memory.hold(complete, "caller-1", 90, 90);
		this.memory.complete(complete);
		this.memory.hold(holder("incomplete"), "caller-2", 20, 20);
		assertThat(this.evicted).containsExactly("incomplete");
		assertThat(this.memory.totalBytes()).isEqualTo(90);
	}

}
