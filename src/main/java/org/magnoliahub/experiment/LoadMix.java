package org.magnoliahub.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import org.jspecify.annotations.Nullable;

/**
 * A declared mix of requests.
 *
 * @param workspaces workspaces with their shares of the arrivals
 * @param classes request classes with their arrivals
 */
record LoadMix(List<Share> workspaces, List<ClassMix> classes) {

	private static final ObjectMapper MAPPER = new ObjectMapper(new YAMLFactory());

	static LoadMix read(Path file) throws IOException {
		LoadMix mix = MAPPER.readValue(Files.readAllBytes(file), LoadMix.class);
		if (mix.workspaces == null || mix.workspaces.isEmpty() || mix.classes == null || mix.classes.isEmpty()) {
			throw new IOException(file + " must declare at least one workspace and one class");
		}
		for (ClassMix declared : mix.classes) {
			declared.check(file);
		}
		return mix;
	}

	/**
	 * Draws all calls of a run. The same arguments give the same calls.
	 * @param seconds length of the run
	 * @param rateFactor by what the declared rates are multiplied
	 * @param maximum most calls; the schedule ends with the last of them
	 * @param seed seed of the random numbers
	 * @return the calls in order of their intended send time
	 */
	List<PlannedCall> schedule(long seconds, double rateFactor, int maximum, long seed) {
		List<PlannedCall> calls = new ArrayList<>();
		SplittableRandom seeds = new SplittableRandom(seed);
		for (int index = 0; index < this.classes.size(); index++) {
			addCalls(calls, index, seconds, rateFactor, maximum, seeds.split());
		}
		calls.sort(Comparator.comparingLong(PlannedCall::sendMicros));
		return List.copyOf(calls.subList(0, Math.min(maximum, calls.size())));
	}

	private void addCalls(List<PlannedCall> calls, int index, long seconds, double rateFactor, int maximum,
			SplittableRandom random) {
		ClassMix declared = this.classes.get(index);
		double end = seconds * 1e6;
		double now = 0;
		boolean bursting = false;
		double phaseEnd = declared.phaseMicros(false, random);
		for (int count = 0; count < maximum;) {
			double rate = declared.ratePerMicro(bursting) * rateFactor;
			double next = (rate > 0) ? now - Math.log(1 - random.nextDouble()) / rate : Double.POSITIVE_INFINITY;
			if (next >= phaseEnd && phaseEnd < end) {
				// Arrivals are memoryless, so the remaining time is drawn again.
				now = phaseEnd;
				bursting = !bursting;
				phaseEnd = now + declared.phaseMicros(bursting, random);
				continue;
			}
			if (next >= end) {
				return;
			}
			now = next;
			int size = random.nextInt(declared.minimumInput(), declared.maximumInput() + 1);
			calls.add(new PlannedCall(index, count, (long) now, workspace(random), size));
			count++;
		}
	}

	private String workspace(SplittableRandom random) {
		double total = this.workspaces.stream().mapToDouble(Share::share).sum();
		double remaining = random.nextDouble() * total;
		for (Share candidate : this.workspaces) {
			remaining -= candidate.share();
			if (remaining < 0) {
				return candidate.name();
			}
		}
		return this.workspaces.get(this.workspaces.size() - 1).name();
	}

	/**
	 * A workspace.
	 *
	 * @param name its name
	 * @param share its share of the arrivals relative to the other workspaces
	 */
	record Share(String name, double share) {
	}

	/**
	 * A request class and its arrivals.
	 *
	 * @param pipeline the pipeline
	 * @param requestClass the class
	 * @param rate mean arrivals per second
	 * @param deadlineMillis deadline for attainment, sent as time-out
	 * @param stream whether the answer is streamed
	 * @param idempotencyKey whether each request carries a key of its own
	 * @param minimumInput fewest characters of the prompt
	 * @param maximumInput most characters of the prompt
	 * @param input further fields of the input, possibly absent
	 * @param burst bursts of arrivals, possibly absent
	 * @param answerContains texts that each complete answer contains; {@code {requestId}}
	 * and {@code {key}} stand for the request's own
	 * @param direct the calls of the same stages straight to a back end, in order
	 */
	record ClassMix(String pipeline, String requestClass, double rate, int deadlineMillis, boolean stream,
			boolean idempotencyKey, int minimumInput, int maximumInput, @Nullable JsonNode input,
			Workload.@Nullable Burst burst, @Nullable List<String> answerContains, @Nullable List<DirectCall> direct) {

		void check(Path file) throws IOException {
			if (this.pipeline == null || this.requestClass == null) {
				throw new IOException(file + ": each class must name its pipeline and requestClass");
			}
			if (this.rate <= 0 || this.deadlineMillis <= 0 || this.minimumInput < 0
					|| this.maximumInput < this.minimumInput || this.maximumInput > 1_000_000) {
				throw new IOException(file + ": class " + this.requestClass + " must have a positive rate, a positive "
						+ "deadlineMillis and input sizes from 0 to 1000000 in ascending order");
			}
			if (this.burst != null && (this.burst.share() <= 0 || this.burst.millis() <= 0
					|| this.burst.factor() * this.burst.share() >= 1)) {
				throw new IOException(file + ": class " + this.requestClass
						+ " must have bursts of positive share and length whose factor times share is below 1");
			}
		}

		List<DirectCall> directCalls() {
			return (this.direct != null) ? this.direct : List.of();
		}

		List<String> expectedTexts() {
			return (this.answerContains != null) ? this.answerContains : List.of();
		}

		double ratePerMicro(boolean bursting) {
			Workload.Burst declared = this.burst;
			if (declared == null) {
				return this.rate / 1e6;
			}
			double factor = bursting ? declared.factor()
					: (1 - declared.factor() * declared.share()) / (1 - declared.share());
			return this.rate * factor / 1e6;
		}

		double phaseMicros(boolean bursting, SplittableRandom random) {
			Workload.Burst declared = this.burst;
			if (declared == null) {
				return Double.POSITIVE_INFINITY;
			}
			double mean = declared.millis() * 1_000;
			double length = bursting ? mean : mean * (1 - declared.share()) / declared.share();
			return -Math.log(1 - random.nextDouble()) * length;
		}

	}

	/**
	 * A call straight to a back end.
	 *
	 * @param path path at the back end
	 * @param body JSON object; {@code prompt}, {@code input} and {@code query} are filled
	 * with the prompt where they are empty texts
	 */
	record DirectCall(String path, JsonNode body) {
	}

	/**
	 * One call of the schedule.
	 *
	 * @param classIndex index of the class in the mix
	 * @param number number of the call in its class, from 0
	 * @param sendMicros intended send time after the start, in microseconds
	 * @param workspace the workspace
	 * @param inputCharacters length of the prompt
	 */
	record PlannedCall(int classIndex, int number, long sendMicros, String workspace, int inputCharacters) {
	}

}
