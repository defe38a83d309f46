/**
 * Query and command language of operators.
 */
@NullMarked
package org.magnoliahub.query;

import org.jspecify.annotations.NullMarked;
