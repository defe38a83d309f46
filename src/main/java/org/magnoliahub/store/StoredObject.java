package org.magnoliahub.store;

/**
 * An object with its version tag.
 *
 * @param content the content
 * @param entityTag changes with each write
 */
public record StoredObject(byte[] content, String entityTag) {

}
