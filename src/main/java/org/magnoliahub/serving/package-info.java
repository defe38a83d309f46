/**
 * Decisions of a gateway that forwards requests to endpoints: routes, endpoint choice,
 * stage batches, retry budgets and membership. No input, output, clocks or threads.
 */
@NullMarked
package org.magnoliahub.serving;

import org.jspecify.annotations.NullMarked;
