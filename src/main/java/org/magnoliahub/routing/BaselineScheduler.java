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
 * Scheduler that admits every request and selects endpoints by a simple rule, without
 * regard to execution times and deadlines. A baseline for comparisons with
 * {@link DeadlineAwareScheduler}.
 */
public final class BaselineScheduler implements StageScheduler {

	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	private final Supplier<Configuration> configuration;

	private final SelectionRule rule;

	private final Map<String, Integer> outstanding = new HashMap<>();

	private Map<String, List<Endpoint>> pools = new HashMap<>();

	private long poolsConfigurationVersion = -1;

	private BaselineScheduler(Supplier<Configuration> configuration, SelectionRule rule) {
		this.configuration = configuration;
		this.rule = rule;
	}

	/**
	 * Creates a scheduler that selects the endpoint with the fewest outstanding attempts.
	 * @param configuration supplies the current configuration
	 * @param random source of randomness that breaks ties
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
	 * Creates a scheduler that selects endpoints uniformly at random.
	 * @param configuration supplies the current configuration
	 * @param random source of randomness
	 * @return the scheduler
	 */
	public static BaselineScheduler random(Supplier<Configuration> configuration, RandomGenerator random) {
		return new BaselineScheduler(configuration,
				(endpoints, outstanding) -> endpoints.get(random.nextInt(endpoints.size())));
	}

	/**
	 * Creates a scheduler that selects the endpoints of each pool in turn.
	 * @param configuration supplies the current configuration
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
			return Single.just(new CountedAssignment(this.rule.select(candidates, this::outstandingAt)));
		});
	}

	@Override
	public void release(AdmissionRequest request) {
		// Admission keeps no state per request.
	}

	private List<Endpoint> poolOf(String pool) {
		Configuration current = this.configuration.get();
		if (current.version() != this.poolsConfigurationVersion) {
			this.pools = new HashMap<>();
			this.poolsConfigurationVersion = current.version();
		}
		return this.pools.computeIfAbsent(pool, current::endpointsOf);
	}

	private int outstandingAt(Endpoint endpoint) {
		return this.outstanding.getOrDefault(endpoint.name(), 0);
	}

	/**
	 * Selects one of the candidate endpoints.
	 */
	@FunctionalInterface
	interface SelectionRule {

		Endpoint select(List<Endpoint> endpoints, ToIntFunction<Endpoint> outstanding);

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
