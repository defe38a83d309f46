/**
 * Declarations of operators: YAML files in a directory, with faults by file and line.
 */
@NullMarked
package org.magnoliahub.declaration;

import org.jspecify.annotations.NullMarked;
