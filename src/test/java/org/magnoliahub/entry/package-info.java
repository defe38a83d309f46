/**
 * Tests of the package of the same name.
 */
@NullMarked
package org.magnoliahub.entry;

import org.jspecify.annotations.NullMarked;
