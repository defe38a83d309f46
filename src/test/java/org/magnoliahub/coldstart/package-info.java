@NullMarked
package org.magnoliahub.coldstart;

import org.jspecify.annotations.NullMarked;
