/**
 * Records of requests in the object store, and the daily report made of them.
 */
@NullMarked
package org.magnoliahub.report;

import org.jspecify.annotations.NullMarked;
