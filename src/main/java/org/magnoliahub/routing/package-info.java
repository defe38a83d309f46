/**
 * Endpoint statistics, endpoint selection, admission and queueing.
 */
@NullMarked
package org.magnoliahub.routing;

import org.jspecify.annotations.NullMarked;
