/**
 * Tests of the package of the same name.
 */
@NullMarked
package org.magnoliahub.serving;

import org.jspecify.annotations.NullMarked;
