/**
 * Tests of the package, and fakes that they need.
 */
@NullMarked
package org.magnoliahub.declaration;

import org.jspecify.annotations.NullMarked;
