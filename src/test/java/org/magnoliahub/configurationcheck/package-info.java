/**
 * Tests of the check of the platform's configuration.
 */
@NullMarked
package org.magnoliahub.configurationcheck;

import org.jspecify.annotations.NullMarked;
