package org.magnoliahub.serving;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a part of a prompt that crashes endpoints and is not blocked at all
 * gateways, and against a block that meets sound requests or does not end.
 */
class PromptBlocklistTests {

	private static final long START = 1_000_000;

	/** Requests that may be sent later than the contact bound after the fifth end. */
	private static final int TOLERATED = 3;

	private final List<PromptBlocklist> gateways = new ArrayList<>();

	private long now = START;

	private void start(int count) {
		List<String> names = IntStream.range(0, count).mapToObj((index) -> "g" + index).toList();
		names.forEach((name) -> this.gateways.add(new PromptBlocklist(name, START - 60_000)));
		this.gateways.forEach((gateway) -> gateway.setOthers(names, this.now));
	}

	private static List<PromptSegment> prompt(String... parts) {
		List<PromptSegment> prompt = new ArrayList<>();
		for (String part : parts) {
			prompt.add(new PromptSegment(part, 100));
		}
		prompt.add(new PromptSegment("own", 10));
		return prompt;
	}

	private PromptBlocklist gateway(int number) {
		return this.gateways.get(number % this.gateways.size());
	}

	/** Lets all gateways read what the others have published. */
	private void exchange() {
		for (int from = 0; from < this.gateways.size(); from++) {
			List<PromptEvidence> evidence = this.gateways.get(from).ownEvidence(this.now);
			for (int to = 0; to < this.gateways.size(); to++) {
				if (to != from) {
					this.gateways.get(to).update("g" + from, evidence, this.now);
				}
			}
		}
	}

	private boolean isBlocked(String part) {
		return this.gateways.stream().allMatch((gateway) -> gateway.blockedPart(prompt(part)) != null);
	}

	private boolean isBlockedAnywhere(String part) {
		return this.gateways.stream().anyMatch((gateway) -> gateway.blockedPart(prompt(part)) != null);
	}

	@Test
	void partOfFourEndsIsBlockedAtAllGateways() {
		start(3);
		for (int end = 0; end < 4; end++) {
			gateway(end).recordEnd(end, prompt("shared", "bad"), this.now);
			exchange();
			this.now += 700;
			gateway(end + 1).recordAnswer(prompt("shared"), this.now);
		}
		exchange();
		assertThat(isBlocked("bad")).isTrue();
		assertThat(isBlockedAnywhere("shared")).isFalse();
	}

	@Test
	void bystandersOfTheEndsAreNotBlocked() {
		start(2);
		for (int end = 0; end < 3; end++) {
			gateway(0).recordEnd(end, prompt("bad", "doc" + end), this.now);
			gateway(1).recordEnd(end, prompt("bystander" + end % 2), this.now);
			exchange();
			this.now += 500;
		}
		exchange();
		assertThat(isBlocked("bad")).isTrue();
		assertThat(isBlockedAnywhere("bystander0")).isFalse();
		for (int end = 3; end < 6; end++) {
			gateway(1).recordEnd(0, prompt("bystander1"), this.now);
			exchange();
		}
		assertThat(isBlockedAnywhere("bystander1")).isFalse();
	}

	@Test
	void endsAtOneMomentBlockNothing() {
		start(2);
		gateway(0).recordAnswer(prompt("shared"), this.now);
		for (int end = 0; end < 20; end++) {
			gateway(end).recordEnd(end, prompt("shared", "new"), this.now);
			this.now += 10;
		}
		this.now += 5_000;
		exchange();
		assertThat(isBlockedAnywhere("shared")).isFalse();
		assertThat(isBlockedAnywhere("new")).isFalse();
	}

	@Test
	void answerReleasesAWrongBlockAtAllGateways() {
		start(3);
		crash(4);
		assertThat(isBlocked("bad")).isTrue();
		gateway(1).recordAnswer(prompt("bad"), this.now);
		exchange();
		assertThat(isBlockedAnywhere("bad")).isFalse();
		exchange();
		exchange();
		this.gateways.forEach((gateway) -> assertThat(gateway.ownEvidence(this.now)).isEmpty());
	}

	private void crash(int ends) {
		for (int end = 0; end < ends; end++) {
			gateway(end).recordEnd(end, prompt("bad"), this.now);
			exchange();
			this.now += 500;
		}
	}

	@Test
	void blockedPartIsTriedByOneGatewayAtATime() {
		start(4);
		crash(4);
		assertThat(triesIn(9_000)).isZero();
		assertThat(triesIn(2_000)).isEqualTo(1);
		assertThat(triesIn(40_000)).isZero();
		assertThat(triesIn(250_000)).isEqualTo(1);
	}

	private int triesIn(long millis) {
		int tries = 0;
		for (long until = this.now + millis; this.now < until; this.now += 100) {
			for (PromptBlocklist gateway : this.gateways) {
				tries += gateway.tryAgain(prompt("bad"), this.now) ? 1 : 0;
			}
		}
		return tries;
	}

	@Test
	void blockEndsAlthoughTheGatewaysThatAccuseThePartAreGone() {
		start(3);
		crash(4);
		PromptBlocklist survivor = this.gateways.get(2);
		this.now += 100_000;
		survivor.setOthers(List.of(), this.now);
		boolean released = survivor.blockedPart(prompt("bad")) == null;
		assertThat(released || survivor.tryAgain(prompt("bad"), this.now)).isTrue();
	}

	@Test
	void gatewayThatStartsLearnsTheBlockFromTheRows() {
		start(2);
		crash(4);
		PromptBlocklist started = new PromptBlocklist("g2", this.now);
		started.setOthers(List.of("g0", "g1"), this.now);
		started.update("g0", this.gateways.get(0).ownEvidence(this.now), this.now);
		started.update("g1", this.gateways.get(1).ownEvidence(this.now), this.now);
		assertThat(started.blockedPart(prompt("bad"))).isNotNull();
	}

	@Test
	void restartedGatewayKeepsItsEvidence() {
		start(1);
		crash(4);
		PromptBlocklist restarted = new PromptBlocklist("g0", this.now);
		restarted.update("g0", this.gateways.get(0).ownEvidence(this.now), this.now);
		assertThat(restarted.blockedPart(prompt("bad"))).isNotNull();
		assertThat(restarted.ownEvidence(this.now)).isEqualTo(this.gateways.get(0).ownEvidence(this.now));
	}

	@Test
	void lastPartIsNeverBlocked() {
		start(1);
		for (int end = 0; end < 9; end++) {
			gateway(0).recordEnd(end, List.of(new PromptSegment("own", 10)), this.now);
			this.now += 1_000;
		}
		assertThat(isBlockedAnywhere("own")).isFalse();
	}

	@Test
	void evidenceIsBounded() {
		start(1);
		for (int end = 0; end < 10_000; end++) {
			gateway(0).recordEnd(end, prompt("p" + end, "q" + end), this.now);
		}
		List<PromptEvidence> evidence = gateway(0).ownEvidence(this.now);
		assertThat(evidence).hasSizeLessThanOrEqualTo(32);
		assertThat(evidence).allMatch((item) -> item.ends().size() <= 16);
	}

	/**
	 * Guards both sides at once: requests with the part come at any gateway beside sound
	 * ones that share its other parts, and each end takes the requests of its endpoint.
	 */
	@Property(tries = 200)
	void fewRequestsWithThePartAreSentAndSoundOnesAreServed(@ForAll @IntRange(min = 1, max = 8) int gatewayCount,
			@ForAll @IntRange(min = 20, max = 1_500) int intervalMillis, @ForAll @LongRange(min = 0) long seed) {
		this.gateways.clear();
		this.now = START;
		start(gatewayCount);
		CrashingLoad load = new CrashingLoad(seed, this.gateways);
		long fifthEndAt = Long.MAX_VALUE;
		int late = 0;
		for (int step = 0; step < 400; step++) {
			this.now += intervalMillis / 4 + 1;
			load.sound(this.now);
			exchange();
			if (step % 4 != 0 || !load.crashing(this.now)) {
				continue;
			}
			fifthEndAt = (load.ends() == 5) ? this.now : fifthEndAt;
			late += (fifthEndAt < this.now - 3_000) ? 1 : 0;
		}
		assertThat(late).isLessThanOrEqualTo(TOLERATED);
		assertThat(load.soundServed()).isGreaterThan(load.soundSent() / 2);
	}

}
