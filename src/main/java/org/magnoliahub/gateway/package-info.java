/**
 * Core of the gateway process: runs each request through the stages of its pipeline.
 */
@NullMarked
package org.magnoliahub.gateway;

import org.jspecify.annotations.NullMarked;
