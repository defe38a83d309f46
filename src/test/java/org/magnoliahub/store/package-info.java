/**
 * Tests of the in-memory services and their fault injection.
 */
@NullMarked
package org.magnoliahub.store;

import org.jspecify.annotations.NullMarked;
