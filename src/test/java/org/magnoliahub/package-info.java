/**
 * Tests of the structure of the code.
 */
@NullMarked
package org.magnoliahub;

import org.jspecify.annotations.NullMarked;
