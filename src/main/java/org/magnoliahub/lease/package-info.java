/**
 * Leases with fencing numbers for duties that need a single holder.
 */
@NullMarked
package org.magnoliahub.lease;

import org.jspecify.annotations.NullMarked;
