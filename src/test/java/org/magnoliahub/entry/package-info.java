/**
 * Tests of the gateway on the users' platform.
 */
@NullMarked
package org.magnoliahub.entry;

import org.jspecify.annotations.NullMarked;
