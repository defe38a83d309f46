/**
 * Tests of the query and command language.
 */
@NullMarked
package org.magnoliahub.query;

import org.jspecify.annotations.NullMarked;
