/**
 * Adapter to the users' platform: its settings file, header names, store calls, entries
 * of endpoints and calls of stages, translated into the product's types. It decides
 * nothing, and no other package knows the platform's names.
 */
@NullMarked
package org.magnoliahub.platform;

import org.jspecify.annotations.NullMarked;
