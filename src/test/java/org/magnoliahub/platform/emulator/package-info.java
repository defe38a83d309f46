/**
 * Tests of the emulated platform.
 */
@NullMarked
package org.magnoliahub.platform.emulator;

import org.jspecify.annotations.NullMarked;
