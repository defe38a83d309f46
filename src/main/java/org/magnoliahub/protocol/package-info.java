/**
 * Messages of the protocol between gateways and agents.
 */
@NullMarked
package org.magnoliahub.protocol;

import org.jspecify.annotations.NullMarked;
