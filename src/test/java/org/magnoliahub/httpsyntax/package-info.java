/**
 * Tests of the syntax rules.
 */
@NullMarked
package org.magnoliahub.httpsyntax;

import org.jspecify.annotations.NullMarked;
