/**
 * Claims that make calls declared non-idempotent run at most once.
 */
@NullMarked
package org.magnoliahub.claim;

import org.jspecify.annotations.NullMarked;
