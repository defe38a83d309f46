package org.magnoliahub.configurationcheck;

import java.util.function.Consumer;

/**
 * Rule that a configuration is checked against.
 */
@FunctionalInterface
interface Rule {

	/**
	 * Checks a configuration.
	 * @param configuration the configuration
	 * @param findings receives each violation, in any order
	 */
	void check(StoredConfiguration configuration, Consumer<Finding> findings);

}
