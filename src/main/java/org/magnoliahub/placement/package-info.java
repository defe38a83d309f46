/**
 * Decides which zones may receive work: zones that the operator evacuates receive none,
 * and requests with homes are served only there. The package performs no I/O, reads no
 * clocks and starts no threads; callers pass in the current time.
 */
@NullMarked
package org.magnoliahub.placement;

import org.jspecify.annotations.NullMarked;
