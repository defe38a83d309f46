package org.magnoliahub.serving;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

import net.openhft.hashing.LongHashFunction;

/**
 * Rendezvous hashing: all gateways rank the same names alike without talking, and the
 * loss of one name moves only what it had.
 */
public final class RendezvousHash {

	private static final LongHashFunction HASH = LongHashFunction.xx();

	private RendezvousHash() {
	}

	/**
	 * Returns the score of a name for a key; the highest score owns the key.
	 * @param key the key
	 * @param name the name
	 * @return the score
	 */
	public static long score(String key, String name) {
		return HASH.hashChars(key + '\u0000' + name);
	}

	/**
	 * Hashes a text.
	 * @param text the text
	 * @return its hash
	 */
	public static long hash(String text) {
		return HASH.hashChars(text);
	}

	/**
	 * Ranks names for a key.
	 * @param key the key
	 * @param names the names
	 * @return names, the owner first
	 */
	public static List<String> rank(String key, Collection<String> names) {
		List<String> ranked = new ArrayList<>(names);
		ranked.sort(Comparator.comparingLong((String name) -> score(key, name)).reversed());
		return ranked;
	}

}
