/**
 * Claims, which ensure that calls declared as non-idempotent run at most once.
 */
@NullMarked
package org.magnoliahub.claim;

import org.jspecify.annotations.NullMarked;
