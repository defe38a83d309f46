/**
 * Tests of the decision logic.
 */
@NullMarked
package org.magnoliahub.routing;

import org.jspecify.annotations.NullMarked;
