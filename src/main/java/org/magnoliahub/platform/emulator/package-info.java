/**
 * The platform's side of its interfaces: a store, endpoints, callers, settings and a
 * configuration, for tests and for the fault soak.
 */
@NullMarked
package org.magnoliahub.platform.emulator;

import org.jspecify.annotations.NullMarked;
