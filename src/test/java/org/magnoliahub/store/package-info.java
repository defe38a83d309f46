/**
 * Tests of the in-memory services and fault injection, and contract tests for all
 * implementations.
 */
@NullMarked
package org.magnoliahub.store;

import org.jspecify.annotations.NullMarked;
