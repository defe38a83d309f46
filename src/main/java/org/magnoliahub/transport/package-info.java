/**
 * Connections between gateways and agents: framing and MessagePack codec.
 */
@NullMarked
package org.magnoliahub.transport;

import org.jspecify.annotations.NullMarked;
