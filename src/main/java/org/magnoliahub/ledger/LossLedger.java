package org.magnoliahub.ledger;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;

import org.magnoliahub.ledger.EndedRequest.Outcome;
import org.magnoliahub.query.QueryResult;

/**
 * Sums of requests by what they were lost to.
 */
public final class LossLedger {

	private final List<EndedRequest> requests = new ArrayList<>();

	/**
	 * Adds a request.
	 * @param request how it ended
	 */
	public void add(EndedRequest request) {
		this.requests.add(request);
	}

	/**
	 * Returns how many requests ended.
	 * @return number of requests
	 */
	public int size() {
		return this.requests.size();
	}

	/**
	 * Counts outcomes, with the mean time of each step of the late requests.
	 * @param column name of what requests are summed by
	 * @param key gives it for a request
	 * @return one row for each value
	 */
	public QueryResult by(String column, Function<EndedRequest, String> key) {
		Map<String, List<EndedRequest>> groups = new TreeMap<>();
		this.requests
			.forEach((request) -> groups.computeIfAbsent(key.apply(request), (k) -> new ArrayList<>()).add(request));
		List<List<String>> rows = new ArrayList<>();
		groups.forEach((name, group) -> rows.add(row(name, group)));
		return new QueryResult(List.of(column, "requests", "in_time", "late", "refused", "failed", "cancelled",
				"late_queue_ms", "late_call_ms", "late_hand_ms", "late_lost_ms", "late_endpoint_ms"), rows, List.of());
	}

	private static List<String> row(String name, List<EndedRequest> group) {
		List<EndedRequest> late = group.stream().filter((request) -> request.outcome() == Outcome.LATE).toList();
		List<String> row = new ArrayList<>(List.of(name, Integer.toString(group.size())));
		for (Outcome outcome : Outcome.values()) {
			row.add(Long.toString(group.stream().filter((request) -> request.outcome() == outcome).count()));
		}
		row.add(mean(late, EndedRequest.Steps::queue));
		row.add(mean(late, EndedRequest.Steps::call));
		row.add(mean(late, EndedRequest.Steps::hand));
		row.add(mean(late, EndedRequest.Steps::lost));
		row.add(mean(late, EndedRequest.Steps::endpoint));
		return row;
	}

	private static String mean(List<EndedRequest> late, Function<EndedRequest.Steps, Long> step) {
		double mean = late.stream().mapToLong((request) -> step.apply(request.steps())).average().orElse(0);
		return Long.toString(Math.round(mean));
	}

	/**
	 * Counts the causes of losses.
	 * @return one row for each route and cause, the largest first
	 */
	public QueryResult causes() {
		Map<Loss, Integer> counts = new TreeMap<>(Comparator.comparing(Loss::route).thenComparing(Loss::cause));
		for (EndedRequest request : this.requests) {
			if (request.outcome() != Outcome.IN_TIME) {
				counts.merge(new Loss(request.route(), request.cause()), 1, Integer::sum);
			}
		}
		List<List<String>> rows = counts.entrySet()
			.stream()
			.sorted(Map.Entry.<Loss, Integer>comparingByValue().reversed())
			.map((entry) -> List.of(entry.getKey().route(), entry.getKey().cause(), Integer.toString(entry.getValue())))
			.toList();
		return new QueryResult(List.of("route", "cause", "requests"), rows, List.of());
	}

	private record Loss(String route, String cause) {
	}

}
