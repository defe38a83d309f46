/**
 * Tests of the gateway decision logic.
 */
@NullMarked
package org.magnoliahub.serving;

import org.jspecify.annotations.NullMarked;
