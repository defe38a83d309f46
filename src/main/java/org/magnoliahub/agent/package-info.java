/**
 * Agent process core: admission, queueing and at-most-once execution of the calls to one
 * endpoint.
 */
@NullMarked
package org.magnoliahub.agent;

import org.jspecify.annotations.NullMarked;
