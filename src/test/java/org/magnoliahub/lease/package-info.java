/**
 * Tests of the package, and fakes that they need.
 */
@NullMarked
package org.magnoliahub.lease;

import org.jspecify.annotations.NullMarked;
