package org.magnoliahub.store;

/**
 * A row as it was read.
 *
 * @param key its key
 * @param value its content, JSON text
 * @param revision revision of the store at which the row was last written, at least 1
 */
public record Row(RowKey key, String value, long revision) {

}
