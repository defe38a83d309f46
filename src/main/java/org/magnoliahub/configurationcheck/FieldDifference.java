package org.magnoliahub.configurationcheck;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeSet;

import org.jspecify.annotations.Nullable;

/**
 * Field that differs between two versions of an entry.
 *
 * @param field path of the field within the entry
 * @param before value in the older version, {@code null} if it has none
 * @param after value in the newer version, {@code null} if it has none
 */
public record FieldDifference(String field, @Nullable String before, @Nullable String after) {

	/**
	 * Compares the fields of two versions of an entry.
	 * @param before fields of the older version by path
	 * @param after fields of the newer version by path
	 * @return the differences, ordered by path
	 */
	public static List<FieldDifference> between(Map<String, String> before, Map<String, String> after) {
		TreeSet<String> paths = new TreeSet<>(before.keySet());
		paths.addAll(after.keySet());
		List<FieldDifference> differences = new ArrayList<>();
		for (String path : paths) {
			if (!Objects.equals(before.get(path), after.get(path))) {
				differences.add(new FieldDifference(path, before.get(path), after.get(path)));
			}
		}
		return differences;
	}

}
