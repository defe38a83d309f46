/**
 * Decides which of several servers gets a request when many gateways send to the same
 * servers and each knows their load only from reports that are out of date. The package
 * has no network and no clock; callers pass in the time and random numbers.
 */
@NullMarked
package org.magnoliahub.balancing;

import org.jspecify.annotations.NullMarked;
