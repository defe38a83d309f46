package org.magnoliahub.configurationcheck;

import java.util.function.Consumer;

/**
 * Checks that gateways would adopt a version. They never go back to a version that is not
 * higher than their current one.
 */
final class VersionOrder {

	private VersionOrder() {
	}

	static void check(Field<Long> candidate, Field<Long> inForce, Consumer<Finding> findings) {
		if (!candidate.present() || !inForce.present() || candidate.value() > inForce.value()) {
			return;
		}
		findings.accept(Finding.error(candidate.path(), "expected a version above " + inForce.value()
				+ ", which is in force, but it is " + candidate.value() + "; gateways do not adopt it"));
	}

}
