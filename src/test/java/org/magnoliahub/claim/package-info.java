/**
 * Tests and measurements of the storage of claims.
 */
@NullMarked
package org.magnoliahub.claim;

import org.jspecify.annotations.NullMarked;
