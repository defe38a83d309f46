/**
 * A seeded fault soak: real gateway processes between emulated callers, endpoints and a
 * store, with faults from outside, and checks of what callers and endpoints saw.
 */
@NullMarked
package org.magnoliahub.soak;

import org.jspecify.annotations.NullMarked;
