package org.magnoliahub.store;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Comparator;

/**
 * Order in which table services and object stores list keys: by their UTF-8 bytes.
 */
final class KeyOrder {

	static final Comparator<String> BY_UTF8_BYTES = (left, right) -> Arrays
		.compareUnsigned(left.getBytes(StandardCharsets.UTF_8), right.getBytes(StandardCharsets.UTF_8));

	private KeyOrder() {
	}

}
