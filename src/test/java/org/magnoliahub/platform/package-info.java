/**
 * Tests of the package of the same name.
 */
@NullMarked
package org.magnoliahub.platform;

import org.jspecify.annotations.NullMarked;
