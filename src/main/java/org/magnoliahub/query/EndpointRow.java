package org.magnoliahub.query;

import java.util.List;
import java.util.Map;

/**
 * An endpoint in the answer to a query.
 *
 * @param name its name
 * @param pool the pool or service it belongs to
 * @param zone its availability zone
 * @param address where it is reached
 * @param draining whether it gets no new work because it leaves
 * @param state what a gateway believes of it
 * @param pausedMillis rest of a pause that it asked for, in milliseconds
 */
public record EndpointRow(String name, String pool, String zone, String address, boolean draining, String state,
		long pausedMillis) {

	/** State of an endpoint that gets work. */
	public static final String USABLE = "usable";

	/** State of an endpoint that leaves. */
	public static final String DRAINING = "draining";

	private static final List<String> COLUMNS = List.of("name", "pool", "zone", "address", "draining", "usable",
			"state", "paused_ms");

	/**
	 * Answers a query.
	 * @param rows all endpoints
	 * @param query the query
	 * @param notes notes of the answer
	 * @return the endpoints for which the conditions of the query hold
	 */
	public static QueryResult select(List<EndpointRow> rows, Statement.Endpoints query, List<String> notes) {
		List<List<String>> selected = rows.stream()
			.map(EndpointRow::fields)
			.filter((fields) -> query.conditions().stream().allMatch((condition) -> condition.holdsFor(fields)))
			.map((fields) -> COLUMNS.stream().map(fields::get).toList())
			.toList();
		return new QueryResult(COLUMNS, selected, notes);
	}

	private Map<String, String> fields() {
		return Map.of("name", this.name, "pool", this.pool, "zone", this.zone, "address", this.address, "draining",
				Boolean.toString(this.draining), "usable", Boolean.toString(this.state.equals(USABLE)), "state",
				this.state, "paused_ms", Long.toString(this.pausedMillis));
	}

}
