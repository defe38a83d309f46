/**
 * Checks of the responses that HTTP clients of other packages receive.
 */
@NullMarked
package org.magnoliahub.okhttp;

import org.jspecify.annotations.NullMarked;
