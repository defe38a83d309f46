/**
 * Decision logic of a gateway that forwards requests to endpoints: routing, endpoint
 * selection, stage batching, retry budgets and membership. The package performs no I/O,
 * reads no clocks and starts no threads; callers pass in the current time.
 */
@NullMarked
package org.magnoliahub.serving;

import org.jspecify.annotations.NullMarked;
