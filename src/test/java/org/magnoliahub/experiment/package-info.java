/**
 * Tests of the load generator and the experiments.
 */
@NullMarked
package org.magnoliahub.experiment;

import org.jspecify.annotations.NullMarked;
