package org.magnoliahub.experiment;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import org.HdrHistogram.Histogram;
import org.magnoliahub.model.Endpoint;

/**
 * What one run measured. Attainment, refusals and cost are those of requests that arrived
 * within the measured window; useful and wasted work is counted where requests end within
 * it.
 */
final class RunStatistics {

	private static final double RECOVERY_MILLIS = 5_000;

	private final Workload workload;

	private final ExperimentOptions options;

	private final List<RequestRecord> requests = new ArrayList<>();

	private final Histogram refusalMicros = new Histogram(3);

	private final Map<String, Double> firstSlowCompletion = new HashMap<>();

	private long attempts;

	private long retries;

	RunStatistics(Workload workload, ExperimentOptions options) {
		this.workload = workload;
		this.options = options;
	}

	RequestRecord arrived(Arrival arrival) {
		RequestRecord record = new RequestRecord(arrival);
		this.requests.add(record);
		return record;
	}

	void attempt(boolean retry) {
		this.attempts++;
		if (retry) {
			this.retries++;
		}
	}

	void watch(String endpoint) {
		this.firstSlowCompletion.put(endpoint, Double.NaN);
	}

	void completedAt(String endpoint, double millis) {
		Double seen = this.firstSlowCompletion.get(endpoint);
		if (seen != null && seen.isNaN()) {
			this.firstSlowCompletion.put(endpoint, millis);
		}
	}

	/**
	 * Returns when an endpoint that became slow first completed an attempt.
	 * @param endpoint the endpoint's name
	 * @return time in milliseconds, NaN if never
	 */
	double firstSlowCompletion(String endpoint) {
		return this.firstSlowCompletion.getOrDefault(endpoint, Double.NaN);
	}

	/**
	 * Returns the share of arrivals with a complete answer in time.
	 * @param filter selects arrivals; arrivals outside the measured window never count
	 * @return percentage, NaN without arrivals
	 */
	double attainment(Predicate<Arrival> filter) {
		return 100 * share(filter, (record) -> record.completedMillis >= 0);
	}

	double attainmentOf(String group) {
		return attainment((arrival) -> arrival.load().group().equals(group));
	}

	/**
	 * Returns attainment while an endpoint is slow, of arrivals later than 5 s after its
	 * first slow completion.
	 * @param fault the slow endpoint
	 * @param group the group of classes
	 * @return percentage, NaN without arrivals
	 */
	double recoveredAttainment(Fault fault, String group) {
		double from = firstSlowCompletion(fault.target()) + RECOVERY_MILLIS;
		return attainment((arrival) -> arrival.load().group().equals(group) && arrival.millis() >= from
				&& arrival.millis() < fault.toMillis());
	}

	private double share(Predicate<Arrival> filter, Predicate<RequestRecord> property) {
		long total = 0;
		long matching = 0;
		for (RequestRecord record : this.requests) {
			if (this.options.measures(record.arrival.millis()) && filter.test(record.arrival)) {
				total++;
				matching += property.test(record) ? 1 : 0;
			}
		}
		return (total == 0) ? Double.NaN : (double) matching / total;
	}

	/**
	 * Returns cost of a stage per completed answer of its class, wasted work included.
	 * @param stage the stage's name
	 * @return cost, NaN without completed answers
	 */
	double costOf(String stage) {
		double cost = 0;
		long answers = 0;
		for (RequestRecord record : this.requests) {
			boolean member = record.arrival.load().stages().stream().anyMatch((load) -> load.name().equals(stage));
			if (member && this.options.measures(record.arrival.millis())) {
				cost += record.costByStage.getOrDefault(stage, 0.0);
				answers += (record.completedMillis >= 0) ? 1 : 0;
			}
		}
		return (answers == 0) ? Double.NaN : cost / answers;
	}

	/**
	 * Returns cost of all stages of a group per completed answer of the group.
	 * @param group the group
	 * @return cost, NaN without completed answers
	 */
	double costOfGroup(String group) {
		double cost = 0;
		long answers = 0;
		for (RequestRecord record : this.requests) {
			if (record.arrival.load().group().equals(group) && this.options.measures(record.arrival.millis())) {
				cost += record.costByStage.values().stream().mapToDouble(Double::doubleValue).sum();
				answers += (record.completedMillis >= 0) ? 1 : 0;
			}
		}
		return (answers == 0) ? Double.NaN : cost / answers;
	}

	/**
	 * Returns the share of endpoint time spent on requests without a complete answer in
	 * time.
	 * @return percentage
	 */
	double wasted() {
		double total = 0;
		double wasted = 0;
		for (RequestRecord record : this.requests) {
			if (this.options.measures(record.arrival.millis())) {
				total += record.runningMillis;
				wasted += (record.completedMillis >= 0) ? 0 : record.runningMillis;
			}
		}
		return (total == 0) ? 0 : 100 * wasted / total;
	}

	/**
	 * Returns useful work at the most heavily loaded pool relative to the upper bound,
	 * the smaller of offered work and total capacity. Completions are weighed by their
	 * work, so that preferring short requests gains nothing; prefill is no useful work.
	 * @return percentage
	 */
	double usefulShare() {
		Map<String, Double> utilisations = this.workload.utilisations();
		String bottleneck = utilisations.entrySet().stream().max(Map.Entry.comparingByValue()).orElseThrow().getKey();
		return usefulShare(this.workload.pool(bottleneck));
	}

	private double usefulShare(Workload.Pool pool) {
		double useful = 0;
		double offered = 0;
		for (RequestRecord record : this.requests) {
			double work = workAt(record.arrival, pool);
			if (this.options.measures(record.arrival.millis())) {
				offered += work;
			}
			if (record.completedMillis >= 0 && this.options.measures(record.completedMillis)) {
				useful += work;
			}
		}
		return 100 * useful / Math.min(offered, pool.capacity() * this.options.measuredMillis());
	}

	private static double workAt(Arrival arrival, Workload.Pool pool) {
		double work = 0;
		for (int i = 0; i < arrival.units().length; i++) {
			Workload.StageLoad stage = arrival.load().stages().get(i);
			if (stage.pool().equals(pool.name())) {
				work += arrival.units()[i] * pool.unitMillis();
			}
		}
		return work;
	}

	double refused() {
		return 100 * share((arrival) -> true, (record) -> record.refused);
	}

	/**
	 * Returns the 99th percentile of the time from arrival to refusal.
	 * @return milliseconds, 0 without refusals
	 */
	double refusalMillis() {
		return this.refusalMicros.getValueAtPercentile(99) / 1000.0;
	}

	double retries() {
		return (this.attempts == 0) ? 0 : 100.0 * this.retries / this.attempts;
	}

	/**
	 * Returns attempts sent relative to stages of admitted requests that were started.
	 * @return the ratio, 1 without retries
	 */
	double attemptsPerStage() {
		return (this.attempts == 0) ? 1 : (double) this.attempts / (this.attempts - this.retries);
	}

	/**
	 * Lists all columns of the table.
	 * @return figures by column
	 */
	Map<String, Double> columns() {
		Map<String, Double> columns = new LinkedHashMap<>();
		columns.put("interactive %", attainmentOf("interactive"));
		columns.put("drafting %", attainmentOf("drafting"));
		for (Workload.ClassLoad load : this.workload.classes()) {
			columns.put(load.name() + " %", attainment((arrival) -> arrival.load().equals(load)));
		}
		this.options.faults().stream().filter((fault) -> fault.kind() == Fault.Kind.SLOW).forEach((fault) -> {
			columns.put("interactive recovered %", recoveredAttainment(fault, "interactive"));
			columns.put("drafting recovered %", recoveredAttainment(fault, "drafting"));
		});
		columns.put("small workspaces %", attainment((arrival) -> arrival.tenant().share() < 0.2));
		columns.put("useful/bound %", usefulShare());
		columns.put("wasted %", wasted());
		columns.put("refused %", refused());
		columns.put("late %",
				100 * share((arrival) -> true, (record) -> record.completedMillis < 0 && !record.refused));
		columns.put("refusal p99 ms", refusalMillis());
		columns.put("retries %", retries());
		columns.put("attempts/stage", attemptsPerStage());
		columns.put("drafting cost", costOfGroup("drafting"));
		for (Workload.ClassLoad load : this.workload.classes()) {
			for (Workload.StageLoad stage : load.stages()) {
				columns.put("cost " + stage.name(), costOf(stage.name()));
			}
		}
		return columns;
	}

	/**
	 * What happened to one request.
	 */
	final class RequestRecord {

		private final Arrival arrival;

		private final Map<String, Double> costByStage = new HashMap<>(4);

		private double completedMillis = -1;

		private double runningMillis;

		private boolean refused;

		private RequestRecord(Arrival arrival) {
			this.arrival = arrival;
		}

		void admitted() {
			this.refused = false;
		}

		void refused(double afterMillis) {
			this.refused = true;
			if (RunStatistics.this.options.measures(this.arrival.millis())) {
				RunStatistics.this.refusalMicros.recordValue((long) (afterMillis * 1000));
			}
		}

		void ran(Workload.StageLoad stage, double millis, Endpoint endpoint) {
			this.runningMillis += millis;
			double cost = millis / 1000 * stage.price() * endpoint.priceFactor();
			this.costByStage.merge(stage.name(), cost, Double::sum);
		}

		void completed(double atMillis) {
			this.completedMillis = atMillis;
		}

		void failed() {
			this.completedMillis = -1;
		}

	}

}
