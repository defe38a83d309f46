/**
 * Tests of records and reports.
 */
@NullMarked
package org.magnoliahub.report;

import org.jspecify.annotations.NullMarked;
