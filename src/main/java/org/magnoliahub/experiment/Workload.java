package org.magnoliahub.experiment;

import java.io.IOException;
import java.io.InputStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import org.magnoliahub.model.AvailabilityZone;
import org.magnoliahub.model.Configuration;
import org.magnoliahub.model.Endpoint;
import org.magnoliahub.model.Objective;
import org.magnoliahub.model.PipelineDefinition;
import org.magnoliahub.model.RequestClass;
import org.magnoliahub.model.StageDefinition;
import org.magnoliahub.model.StageType;
import org.magnoliahub.model.Workspace;

/**
 * A declared workload: pools of endpoints, workspaces and request classes.
 *
 * @param zones names of the availability zones; endpoints and gateways are spread over
 * them in turn
 * @param pools pools of endpoints
 * @param workspaces workspaces with their shares of the arrivals
 * @param classes request classes with their stages
 */
record Workload(List<String> zones, List<Pool> pools, List<Tenant> workspaces, List<ClassLoad> classes) {

	private static final ObjectMapper MAPPER = new ObjectMapper(new YAMLFactory());

	static Workload load(String name) throws IOException {
		try (InputStream input = Workload.class.getResourceAsStream("/workloads/" + name + ".yaml")) {
			if (input == null) {
				throw new IOException("no workload named '" + name + "'");
			}
			return MAPPER.readValue(input, Workload.class);
		}
	}

	Configuration configuration(boolean ignoreCost) {
		List<Endpoint> endpoints = new ArrayList<>();
		for (Pool pool : this.pools) {
			for (int i = 0; i < pool.speeds().size(); i++) {
				AvailabilityZone zone = new AvailabilityZone(this.zones.get(i % this.zones.size()));
				endpoints.add(new Endpoint(pool.name() + "-" + i, pool.name(), zone, "127.0.0.1:1", true,
						pool.prices().get(i)));
			}
		}
		return Configuration.of(1, this.classes.stream().map(ClassLoad::pipeline).toList(),
				this.classes.stream().map((load) -> load.requestClass(ignoreCost)).toList(), endpoints,
				this.workspaces.stream().map(Tenant::workspace).toList());
	}

	/**
	 * Returns by what the declared rates are multiplied for a load.
	 * @param load utilisation of the most heavily loaded pool, 1 for its capacity
	 * @return the factor
	 */
	double rateFactor(double load) {
		double highest = utilisations().values().stream().mapToDouble(Double::doubleValue).max().orElseThrow();
		return load / highest;
	}

	/**
	 * Returns the utilisation of each pool at the declared rates.
	 * @return utilisation by pool, 1 for its capacity with full batches
	 */
	Map<String, Double> utilisations() {
		Map<String, Double> result = new HashMap<>();
		for (Pool pool : this.pools) {
			double work = 0;
			for (ClassLoad load : this.classes) {
				for (StageLoad stage : load.stages()) {
					if (stage.pool().equals(pool.name())) {
						work += load.rate() * stage.meanWork(pool) / 1000;
					}
				}
			}
			result.put(pool.name(), work / pool.capacity());
		}
		return result;
	}

	Pool pool(String name) {
		return this.pools.stream().filter((pool) -> pool.name().equals(name)).findFirst().orElseThrow();
	}

	/**
	 * A pool of endpoints.
	 *
	 * @param name the pool's name
	 * @param slots calls that one endpoint runs at once
	 * @param slowdown relative slowdown of each call per further call in the batch
	 * @param unitMillis time per unit of work at speed 1, alone in the batch
	 * @param prefillMillis time for a prompt whose prefix is not cached, at speed 1
	 * @param speeds speed of each endpoint
	 * @param prices price factor of each endpoint
	 */
	record Pool(String name, int slots, double slowdown, double unitMillis, double prefillMillis, List<Double> speeds,
			List<Double> prices) {

		double capacity() {
			return this.speeds.stream().mapToDouble(Double::doubleValue).sum() * this.slots
					/ (1 + this.slowdown * (this.slots - 1));
		}

	}

	/**
	 * A workspace and its share of the arrivals.
	 *
	 * @param name the workspace's name
	 * @param weight its weight
	 * @param limit most requests in flight at one gateway
	 * @param share its share of the arrivals
	 */
	record Tenant(String name, int weight, int limit, double share) {

		Workspace workspace() {
			return new Workspace(this.name, this.weight, this.limit);
		}

	}

	/**
	 * A request class and its arrivals.
	 *
	 * @param name the class's name
	 * @param group {@code interactive} for lookups and orders, {@code drafting} otherwise
	 * @param deadlineMillis deadline
	 * @param objective what the owner wants most
	 * @param priority urgency
	 * @param rate mean arrivals per second at the declared load
	 * @param burst bursts of each workspace
	 * @param stages stages in order
	 */
	record ClassLoad(String name, String group, int deadlineMillis, Objective objective, int priority, double rate,
			Burst burst, List<StageLoad> stages) {

		PipelineDefinition pipeline() {
			return new PipelineDefinition(this.name, this.stages.stream().map(StageLoad::definition).toList());
		}

		RequestClass requestClass(boolean ignoreCost) {
			return new RequestClass(this.name, this.name, Duration.ofMillis(this.deadlineMillis),
					ignoreCost ? Objective.ATTAINMENT : this.objective, this.priority);
		}

	}

	/**
	 * Bursts: for a share of the time, arrivals come at a multiple of the mean rate.
	 *
	 * @param factor rate during a burst relative to the mean
	 * @param millis mean length of a burst
	 * @param share share of time in bursts
	 */
	record Burst(double factor, double millis, double share) {
	}

	/**
	 * A stage and its work.
	 *
	 * @param name the stage's name
	 * @param pool the pool that serves it
	 * @param type what it does
	 * @param idempotent whether a call may be repeated
	 * @param price price per second
	 * @param median median of the log-normal work, in units
	 * @param sigma standard deviation of the logarithm of the work
	 * @param maximum most units
	 */
	record StageLoad(String name, String pool, StageType type, boolean idempotent, double price, double median,
			double sigma, double maximum) {

		StageDefinition definition() {
			return new StageDefinition(this.name, this.type, this.pool, this.idempotent, "/" + this.name, this.price);
		}

		boolean reportsUnits() {
			return this.type == StageType.GENERATE;
		}

		/**
		 * Returns the mean work of the truncated distribution by numeric integration over
		 * quantiles.
		 * @param pool the pool that serves the stage
		 * @return milliseconds at speed 1, without prefill
		 */
		double meanWork(Pool pool) {
			java.util.SplittableRandom random = new java.util.SplittableRandom(1);
			int samples = 20_000;
			double sum = 0;
			for (int i = 0; i < samples; i++) {
				sum += units(random);
			}
			return sum / samples * pool.unitMillis();
		}

		double units(java.util.random.RandomGenerator random) {
			double value = Math.min(this.maximum, this.median * Math.exp(this.sigma * random.nextGaussian()));
			return reportsUnits() ? Math.max(1, Math.rint(value)) : value;
		}

	}

}
