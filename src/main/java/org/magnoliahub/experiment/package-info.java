/**
 * Drives the schedulers under virtual time against small fake endpoints.
 */
@NullMarked
package org.magnoliahub.experiment;

import org.jspecify.annotations.NullMarked;
