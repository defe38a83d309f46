/**
 * Tests of the experiments.
 */
@NullMarked
package org.magnoliahub.experiment;

import org.jspecify.annotations.NullMarked;
