package org.magnoliahub.platform;

/**
 * A row of the platform's store.
 *
 * @param key key of the row
 * @param value its bytes, empty if the row was removed
 * @param revision number of the transaction that wrote it
 * @param removed whether the row was removed
 */
public record StoredRow(String key, byte[] value, long revision, boolean removed) {
}
