/**
 * Tests of the core of the agent.
 */
@NullMarked
package org.magnoliahub.agent;

import org.jspecify.annotations.NullMarked;
