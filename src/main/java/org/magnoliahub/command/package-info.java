/**
 * Command line of the magnoliahub binary.
 */
@NullMarked
package org.magnoliahub.command;

import org.jspecify.annotations.NullMarked;
