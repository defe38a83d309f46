/**
 * Tests of the package, and fakes that they need.
 */
@NullMarked
package org.magnoliahub.configuration;

import org.jspecify.annotations.NullMarked;
