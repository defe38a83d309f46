/**
 * Decides how many requests a gateway sends to servers that are cold, which crash at
 * rates that they accept later. The rate of a cold server is divided among the gateways
 * without messages. The package performs no I/O and reads no clocks; callers pass in the
 * current time.
 */
@NullMarked
package org.magnoliahub.coldstart;

import org.jspecify.annotations.NullMarked;
