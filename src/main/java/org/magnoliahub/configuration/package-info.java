/**
 * Configuration versions: change sets, validation, compare-and-set commit, propagation
 * and audit trail.
 */
@NullMarked
package org.magnoliahub.configuration;

import org.jspecify.annotations.NullMarked;
