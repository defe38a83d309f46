/**
 * Tests of the command line.
 */
@NullMarked
package org.magnoliahub.command;

import org.jspecify.annotations.NullMarked;
