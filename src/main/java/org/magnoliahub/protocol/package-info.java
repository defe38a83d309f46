/**
 * Typed messages between gateways and agents.
 */
@NullMarked
package org.magnoliahub.protocol;

import org.jspecify.annotations.NullMarked;
