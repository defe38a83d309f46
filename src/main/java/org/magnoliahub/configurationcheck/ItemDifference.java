package org.magnoliahub.configurationcheck;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import org.jspecify.annotations.Nullable;

/**
 * Entry that differs between two versions.
 *
 * @param change what happened to the entry
 * @param item the entry in the newer version, or in the older one if it was removed
 * @param fields changed fields, ordered by path; empty if the entry was added or removed
 */
public record ItemDifference(Change change, ConfigurationItem item, List<FieldDifference> fields) {

	/**
	 * Compares two versions.
	 * @param before entries of the older version
	 * @param after entries of the newer version
	 * @return the differences, ordered by kind and name
	 */
	public static List<ItemDifference> between(List<ConfigurationItem> before, List<ConfigurationItem> after) {
		Map<String, ConfigurationItem> older = byLabel(before);
		Map<String, ConfigurationItem> newer = byLabel(after);
		TreeMap<String, ConfigurationItem> all = new TreeMap<>(older);
		all.putAll(newer);
		List<ItemDifference> differences = new ArrayList<>();
		all.forEach((label, item) -> add(differences, older.get(label), newer.get(label), item));
		return differences;
	}

	// Of entries with the same name the first one is compared; the name is an error.
	private static Map<String, ConfigurationItem> byLabel(List<ConfigurationItem> items) {
		Map<String, ConfigurationItem> byLabel = new TreeMap<>();
		items.forEach((item) -> byLabel.putIfAbsent(item.label(), item));
		return byLabel;
	}

	private static void add(List<ItemDifference> differences, @Nullable ConfigurationItem before,
			@Nullable ConfigurationItem after, ConfigurationItem item) {
		if (before == null || after == null) {
			Change change = (before != null) ? Change.REMOVED : Change.ADDED;
			differences.add(new ItemDifference(change, item, List.of()));
			return;
		}
		List<FieldDifference> fields = new ArrayList<>(FieldDifference.between(before.fields(), after.fields()));
		TreeSet<String> secretPaths = new TreeSet<>(before.secrets().keySet());
		secretPaths.addAll(after.secrets().keySet());
		for (String path : secretPaths) {
			addSecrets(fields, path, before.secrets().getOrDefault(path, Set.of()),
					after.secrets().getOrDefault(path, Set.of()));
		}
		if (!fields.isEmpty()) {
			differences.add(new ItemDifference(Change.CHANGED, item, List.copyOf(fields)));
		}
	}

	private static void addSecrets(List<FieldDifference> fields, String path, Set<String> before, Set<String> after) {
		if (before.equals(after)) {
			return;
		}
		Set<String> added = new HashSet<>(after);
		added.removeAll(before);
		int removed = before.size() + added.size() - after.size();
		fields.add(new FieldDifference(path, Integer.toString(before.size()),
				after.size() + " (" + added.size() + " added, " + removed + " removed)"));
	}

	/**
	 * What happened to an entry.
	 */
	public enum Change {

		/** Only the newer version has the entry. */
		ADDED,

		/** Only the older version has the entry. */
		REMOVED,

		/** Fields of the entry differ. */
		CHANGED

	}

}
