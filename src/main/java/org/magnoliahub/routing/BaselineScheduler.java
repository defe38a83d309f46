package org.magnoliahub.routing;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;

import io.reactivex.rxjava3.core.Single;
import org.magnoliahub.model.Configuration;
import org.magnoliahub.model.Endpoint;
import org.magnoliahub.model.RefusalReason;
import org.magnoliahub.model.StageOutput;
import org.magnoliahub.protocol.Message;

/**
 * Scheduler that admits every request and chooses endpoints by a fixed rule that knows
 * neither speed nor deadline.
 */
public final class BaselineScheduler implements StageScheduler {

	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	private final Supplier<Configuration> configuration;

	private final SelectionRule choice;

	private final Map<String, Integer> outstanding = new HashMap<>();

	private Map<String, List<Endpoint>> pools = new HashMap<>();

	private long poolsVersion = -1;

	private BaselineScheduler(Supplier<Configuration> configuration, SelectionRule choice) {
		this.configuration = configuration;
		this.choice = choice;
	}

	/**
	 * Creates a scheduler that chooses an endpoint with fewest outstanding attempts.
	 * @param configuration supplies the configuration in effect
	 * @param random breaks ties
	 * @return the scheduler
	 */
	public static BaselineScheduler leastOutstanding(Supplier<Configuration> configuration, RandomGenerator random) {
		return new BaselineScheduler(configuration, (endpoints, outstanding) -> {
			int offset = random.nextInt(endpoints.size());
			Endpoint best = endpoints.get(offset);
			for (int i = 1; i < endpoints.size(); i++) {
				Endpoint candidate = endpoints.get((offset + i) % endpoints.size());
				if (outstanding.applyAsInt(candidate) < outstanding.applyAsInt(best)) {
					best = candidate;
				}
			}
			return best;
		});
	}

	/**
	 * Creates a scheduler that chooses uniformly at random.
	 * @param configuration supplies the configuration in effect
	 * @param random source of the choices
	 * @return the scheduler
	 */
	public static BaselineScheduler random(Supplier<Configuration> configuration, RandomGenerator random) {
		return new BaselineScheduler(configuration,
				(endpoints, outstanding) -> endpoints.get(random.nextInt(endpoints.size())));
	}

	/**
	 * Creates a scheduler that takes the endpoints of each pool in turn.
	 * @param configuration supplies the configuration in effect
	 * @return the scheduler
	 */
	public static BaselineScheduler roundRobin(Supplier<Configuration> configuration) {
		Map<String, Integer> positions = new HashMap<>();
		return new BaselineScheduler(configuration, (endpoints, outstanding) -> {
			int position = positions.merge(endpoints.get(0).pool(), 1, Integer::sum);
			return endpoints.get(Math.floorMod(position, endpoints.size()));
		});
	}

	@Override
	public AdmissionDecision admit(AdmissionRequest request) {
		return new AdmissionDecision.Admitted();
	}

	@Override
	public Single<Assignment> assign(AssignmentRequest request) {
		return Single.defer(() -> {
			List<Endpoint> candidates = poolOf(request.stage().pool()).stream()
				.filter((endpoint) -> !endpoint.draining())
				.filter((endpoint) -> !request.excludedEndpoints().contains(endpoint.name()))
				.toList();
			if (candidates.isEmpty()) {
				return Single.error(new AssignmentException(RefusalReason.NO_ENDPOINT,
						"no endpoint of pool " + request.stage().pool() + " is usable", RETRY_AFTER));
			}
			return Single.just(new CountedAssignment(this.choice.choose(candidates, this::outstandingAt)));
		});
	}

	@Override
	public void release(AdmissionRequest request) {
		// Nothing is counted per request.
	}

	private List<Endpoint> poolOf(String pool) {
		Configuration current = this.configuration.get();
		if (current.version() != this.poolsVersion) {
			this.pools = new HashMap<>();
			this.poolsVersion = current.version();
		}
		return this.pools.computeIfAbsent(pool, current::endpointsOf);
	}

	private int outstandingAt(Endpoint endpoint) {
		return this.outstanding.getOrDefault(endpoint.name(), 0);
	}

	/**
	 * Chooses one endpoint.
	 */
	@FunctionalInterface
	interface SelectionRule {

		Endpoint choose(List<Endpoint> endpoints, ToIntFunction<Endpoint> outstanding);

	}

	private final class CountedAssignment implements Assignment {

		private final Endpoint endpoint;

		private boolean ended;

		private CountedAssignment(Endpoint endpoint) {
			this.endpoint = endpoint;
			BaselineScheduler.this.outstanding.merge(endpoint.name(), 1, Integer::sum);
		}

		@Override
		public Endpoint endpoint() {
			return this.endpoint;
		}

		@Override
		public void completed(StageOutput output, Message.LoadReport load) {
			end();
		}

		@Override
		public void failed() {
			end();
		}

		@Override
		public void released() {
			end();
		}

		private void end() {
			if (this.ended) {
				return;
			}
			this.ended = true;
			BaselineScheduler.this.outstanding.computeIfPresent(this.endpoint.name(),
					(name, count) -> (count > 1) ? count - 1 : null);
		}

	}

}
