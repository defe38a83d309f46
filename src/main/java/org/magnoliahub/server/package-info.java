/**
 * Gateway and agent processes.
 */
@NullMarked
package org.magnoliahub.server;

import org.jspecify.annotations.NullMarked;
