/**
 * Admission of requests and their assignment to endpoints: statistics, selection, queues.
 */
@NullMarked
package org.magnoliahub.routing;

import org.jspecify.annotations.NullMarked;
