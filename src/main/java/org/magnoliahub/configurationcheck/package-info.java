/**
 * Check of the platform's configuration before it is stored: findings, the rules that
 * produce them, and the differences between two versions. Nothing here reads files or
 * knows the names of stored fields; entries carry the place that they were read from.
 */
@NullMarked
package org.magnoliahub.configurationcheck;

import org.jspecify.annotations.NullMarked;
