/**
 * HTTP client for model engines and plain services.
 */
@NullMarked
package org.magnoliahub.enginehttp;

import org.jspecify.annotations.NullMarked;
