/**
 * Monotonic time and timers, through which components read the time and schedule tasks.
 */
@NullMarked
package org.magnoliahub.time;

import org.jspecify.annotations.NullMarked;
