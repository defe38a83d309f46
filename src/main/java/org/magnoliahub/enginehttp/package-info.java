/**
 * Adapter to model engines and plain services over HTTP.
 */
@NullMarked
package org.magnoliahub.enginehttp;

import org.jspecify.annotations.NullMarked;
