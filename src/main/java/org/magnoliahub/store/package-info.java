/**
 * Interfaces to the services of the platform, with in-memory implementations.
 */
@NullMarked
package org.magnoliahub.store;

import org.jspecify.annotations.NullMarked;
