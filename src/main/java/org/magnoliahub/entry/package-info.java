/**
 * The gateway on the users' platform. Connects callers, endpoints, other gateways and the
 * store on one event loop, and applies the decisions of the serving package.
 */
@NullMarked
package org.magnoliahub.entry;

import org.jspecify.annotations.NullMarked;
