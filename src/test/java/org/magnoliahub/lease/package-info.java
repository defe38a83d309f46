/**
 * Tests of leases and fencing numbers.
 */
@NullMarked
package org.magnoliahub.lease;

import org.jspecify.annotations.NullMarked;
