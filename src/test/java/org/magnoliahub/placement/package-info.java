/**
 * Tests of the decision where work may be sent.
 */
@NullMarked
package org.magnoliahub.placement;

import org.jspecify.annotations.NullMarked;
