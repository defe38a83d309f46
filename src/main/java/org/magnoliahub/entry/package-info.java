/**
 * The gateway on the users' platform: connections of callers, endpoints, other gateways
 * and the store around the decisions of the serving package, on one event loop.
 */
@NullMarked
package org.magnoliahub.entry;

import org.jspecify.annotations.NullMarked;
