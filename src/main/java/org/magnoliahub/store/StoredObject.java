package org.magnoliahub.store;

/**
 * Object of the object store.
 *
 * @param content the content
 * @param entityTag tag of the object's version, changed by each write
 */
public record StoredObject(byte[] content, String entityTag) {

}
