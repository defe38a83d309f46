package org.magnoliahub.serving;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/**
 * Requests at several gateways, some of which end the endpoint that gets them.
 */
final class CrashingLoad {

	private static final int DOCUMENTS = 5;

	/** Sound requests that are on an endpoint when it ends, at most. */
	private static final int BYSTANDERS = 6;

	private final RandomGenerator random;

	private final List<PromptBlocklist> gateways;

	private int ends;

	private int soundSent;

	private int soundServed;

	CrashingLoad(long seed, List<PromptBlocklist> gateways) {
		this.random = new SplittableRandom(seed);
		this.gateways = gateways;
	}

	private PromptBlocklist gateway() {
		return this.gateways.get(this.random.nextInt(this.gateways.size()));
	}

	private List<PromptSegment> prompt(boolean crashing) {
		List<PromptSegment> prompt = new ArrayList<>();
		prompt.add(new PromptSegment("shared", 500));
		if (crashing) {
			prompt.add(new PromptSegment("bad", 80));
		}
		prompt.add(new PromptSegment("doc" + this.random.nextInt(DOCUMENTS), 60));
		prompt.add(new PromptSegment("own" + this.random.nextInt(), 20));
		return prompt;
	}

	/** Sends a sound request, which is answered unless it is blocked. */
	void sound(long now) {
		PromptBlocklist gateway = gateway();
		List<PromptSegment> prompt = prompt(false);
		this.soundSent++;
		if (gateway.blockedPart(prompt) == null || gateway.tryAgain(prompt, now)) {
			this.soundServed++;
			gateway.recordAnswer(prompt, now);
		}
	}

	/**
	 * Sends a request with the part, which ends its endpoint unless it is blocked.
	 * @return whether it was sent
	 */
	boolean crashing(long now) {
		PromptBlocklist gateway = gateway();
		List<PromptSegment> prompt = prompt(true);
		if (gateway.blockedPart(prompt) != null && !gateway.tryAgain(prompt, now)) {
			return false;
		}
		int end = ++this.ends;
		gateway.recordEnd(end, prompt, now);
		int bystanders = this.random.nextInt(BYSTANDERS);
		for (int index = 0; index < bystanders; index++) {
			gateway().recordEnd(end, prompt(false), now);
		}
		return true;
	}

	int ends() {
		return this.ends;
	}

	int soundSent() {
		return this.soundSent;
	}

	int soundServed() {
		return this.soundServed;
	}

}
