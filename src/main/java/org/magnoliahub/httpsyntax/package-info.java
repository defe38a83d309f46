/**
 * Syntax rules of HTTP/1.1 that responses are held to, without input or output.
 */
@NullMarked
package org.magnoliahub.httpsyntax;

import org.jspecify.annotations.NullMarked;
