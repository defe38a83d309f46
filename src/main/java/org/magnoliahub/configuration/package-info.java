/**
 * Versioned configuration: change sets, validation, compare-and-set commit, propagation
 * to all processes and audit trail.
 */
@NullMarked
package org.magnoliahub.configuration;

import org.jspecify.annotations.NullMarked;
