/**
 * Core of the agent process that guards one endpoint.
 */
@NullMarked
package org.magnoliahub.agent;

import org.jspecify.annotations.NullMarked;
