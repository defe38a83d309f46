package org.magnoliahub.serving;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

import net.openhft.hashing.LongHashFunction;

/**
 * Rendezvous hashing. All gateways rank the same names in the same order without
 * communication, and the removal of a name reassigns only the keys that it owned.
 */
public final class RendezvousHash {

	private static final LongHashFunction HASH = LongHashFunction.xx();

	private RendezvousHash() {
	}

	/**
	 * Returns the score of a name for a key. The name with the highest score owns the
	 * key.
	 * @param key the key
	 * @param name the name
	 * @return the score
	 */
	public static long score(String key, String name) {
		return HASH.hashChars(key + '\u0000' + name);
	}

	/**
	 * Returns the hash of a string.
	 * @param text the string
	 * @return its hash
	 */
	public static long hash(String text) {
		return HASH.hashChars(text);
	}

	/**
	 * Sorts names by their scores for a key.
	 * @param key the key
	 * @param names the names
	 * @return the names in descending order of their scores, the owner first
	 */
	public static List<String> rank(String key, Collection<String> names) {
		List<String> ranked = new ArrayList<>(names);
		ranked.sort(Comparator.comparingLong((String name) -> score(key, name)).reversed());
		return ranked;
	}

}
