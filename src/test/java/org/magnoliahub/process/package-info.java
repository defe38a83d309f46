/**
 * Tests that run the binary as separate processes on loopback.
 */
@NullMarked
package org.magnoliahub.process;

import org.jspecify.annotations.NullMarked;
