/**
 * TCP connections between gateways and agents, with length-prefixed frames of MessagePack
 * messages.
 */
@NullMarked
package org.magnoliahub.transport;

import org.jspecify.annotations.NullMarked;
