/**
 * Tests of the package of the same name.
 */
@NullMarked
package org.magnoliahub.server;

import org.jspecify.annotations.NullMarked;
