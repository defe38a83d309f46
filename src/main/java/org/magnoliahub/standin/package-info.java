/**
 * Stand-ins for the platform, engines and plain services, for demonstrations and tests.
 */
@NullMarked
package org.magnoliahub.standin;

import org.jspecify.annotations.NullMarked;
