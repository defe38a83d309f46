/**
 * Adapters to the services of the platform over HTTP.
 */
@NullMarked
package org.magnoliahub.platformhttp;

import org.jspecify.annotations.NullMarked;
