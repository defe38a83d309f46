package org.magnoliahub.query;

import java.util.List;

/**
 * Answer to a statement.
 *
 * @param columns names of the columns
 * @param rows rows with one value per column
 * @param notes what a reader has to know of the rows, such as gaps in the data
 */
public record QueryResult(List<String> columns, List<List<String>> rows, List<String> notes) {

	/**
	 * Copies the lists.
	 */
	public QueryResult {
		columns = List.copyOf(columns);
		rows = rows.stream().map(List::copyOf).toList();
		notes = List.copyOf(notes);
	}

	/**
	 * Creates the answer to a command.
	 * @param text what was done
	 * @return the answer
	 */
	static QueryResult done(String text) {
		return new QueryResult(List.of("result"), List.of(List.of(text)), List.of());
	}

}
