/**
 * Tests of the balanced choice of servers.
 */
@NullMarked
package org.magnoliahub.balancing;

import org.jspecify.annotations.NullMarked;
