package org.magnoliahub.configurationcheck;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.regex.Pattern;

/**
 * Place of a value in a JSON document, for example {@code $.routes[2].prefix}. Paths are
 * ordered by their steps; elements of an array are ordered by their index.
 */
public final class JsonPath implements Comparable<JsonPath> {

	/** Path of the whole document. */
	public static final JsonPath ROOT = new JsonPath(List.of());

	private static final Pattern PLAIN_NAME = Pattern.compile("[A-Za-z_][A-Za-z0-9_]*");

	private static final int NO_INDEX = -1;

	private final List<Step> steps;

	private JsonPath(List<Step> steps) {
		this.steps = steps;
	}

	/**
	 * Returns the path of a field of this object.
	 * @param name name of the field
	 * @return the path
	 */
	public JsonPath field(String name) {
		return append(new Step(NO_INDEX, name));
	}

	/**
	 * Returns the path of an element of this array.
	 * @param index index of the element, zero for the first one
	 * @return the path
	 */
	public JsonPath element(int index) {
		return append(new Step(index, ""));
	}

	private JsonPath append(Step step) {
		List<Step> extended = new ArrayList<>(this.steps);
		extended.add(step);
		return new JsonPath(List.copyOf(extended));
	}

	/**
	 * Returns the name of the field that this path ends with.
	 * @return the name, empty for the document and for elements of arrays
	 */
	public String fieldName() {
		return this.steps.isEmpty() ? "" : this.steps.get(this.steps.size() - 1).name();
	}

	@Override
	public int compareTo(JsonPath other) {
		int common = Math.min(this.steps.size(), other.steps.size());
		for (int step = 0; step < common; step++) {
			int order = Step.ORDER.compare(this.steps.get(step), other.steps.get(step));
			if (order != 0) {
				return order;
			}
		}
		return Integer.compare(this.steps.size(), other.steps.size());
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof JsonPath path && this.steps.equals(path.steps);
	}

	@Override
	public int hashCode() {
		return this.steps.hashCode();
	}

	@Override
	public String toString() {
		StringBuilder text = new StringBuilder("$");
		this.steps.forEach((step) -> text.append(step.text()));
		return text.toString();
	}

	private record Step(int index, String name) {

		private static final Comparator<Step> ORDER = Comparator.comparingInt(Step::index).thenComparing(Step::name);

		String text() {
			if (this.index != NO_INDEX) {
				return "[" + this.index + "]";
			}
			if (PLAIN_NAME.matcher(this.name).matches()) {
				return "." + this.name;
			}
			return "['" + this.name.replace("\\", "\\\\").replace("'", "\\'") + "']";
		}

	}

}
