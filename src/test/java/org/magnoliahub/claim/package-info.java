/**
 * Tests and measurements of claims.
 */
@NullMarked
package org.magnoliahub.claim;

import org.jspecify.annotations.NullMarked;
