/**
 * Tests of versioned configuration, and fake stores for them.
 */
@NullMarked
package org.magnoliahub.configuration;

import org.jspecify.annotations.NullMarked;
