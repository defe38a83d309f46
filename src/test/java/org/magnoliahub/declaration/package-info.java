/**
 * Tests of reading, validating and writing declarations.
 */
@NullMarked
package org.magnoliahub.declaration;

import org.jspecify.annotations.NullMarked;
