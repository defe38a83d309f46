/**
 * Contract and fault tests of the adapters to the platform.
 */
@NullMarked
package org.magnoliahub.platformhttp;

import org.jspecify.annotations.NullMarked;
