/**
 * Tests of admission and assignment.
 */
@NullMarked
package org.magnoliahub.routing;

import org.jspecify.annotations.NullMarked;
