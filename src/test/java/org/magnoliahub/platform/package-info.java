/**
 * Tests of the in-memory services and their fault injection.
 */
@NullMarked
package org.magnoliahub.platform;

import org.jspecify.annotations.NullMarked;
