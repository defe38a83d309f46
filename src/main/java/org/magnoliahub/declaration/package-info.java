/**
 * Reads, validates and writes the YAML files in which operators declare the
 * configuration.
 */
@NullMarked
package org.magnoliahub.declaration;

import org.jspecify.annotations.NullMarked;
