/**
 * Interfaces to the services of the platform, in-memory implementations, and decorators
 * that inject faults and limit rates.
 */
@NullMarked
package org.magnoliahub.store;

import org.jspecify.annotations.NullMarked;
