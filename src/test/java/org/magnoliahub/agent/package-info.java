/**
 * Tests of the agent process core.
 */
@NullMarked
package org.magnoliahub.agent;

import org.jspecify.annotations.NullMarked;
