/**
 * Timer service through which all parts read monotonic time and schedule work.
 */
@NullMarked
package org.magnoliahub.time;

import org.jspecify.annotations.NullMarked;
