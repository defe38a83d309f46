package org.magnoliahub.store;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Comparator;

/**
 * Order of keys by their UTF-8 bytes, as table services and object stores list them.
 */
final class KeyOrder {

	static final Comparator<String> BY_BYTES = (left, right) -> Arrays
		.compareUnsigned(left.getBytes(StandardCharsets.UTF_8), right.getBytes(StandardCharsets.UTF_8));

	private KeyOrder() {
	}

}
