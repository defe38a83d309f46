/**
 * Immutable value types shared by all modules.
 */
@NullMarked
package org.magnoliahub.model;

import org.jspecify.annotations.NullMarked;
