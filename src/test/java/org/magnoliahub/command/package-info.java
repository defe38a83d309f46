/**
 * Tests of the package, and fakes that they need.
 */
@NullMarked
package org.magnoliahub.command;

import org.jspecify.annotations.NullMarked;
