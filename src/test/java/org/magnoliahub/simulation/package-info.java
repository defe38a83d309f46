/**
 * The core's own objects wired through small fakes under virtual time.
 */
@NullMarked
package org.magnoliahub.simulation;

import org.jspecify.annotations.NullMarked;
