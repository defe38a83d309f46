package org.magnoliahub.store;

/**
 * Row of a table.
 *
 * @param key key of the row
 * @param value content of the row as JSON
 * @param revision revision of the store at which the row was last written, at least 1
 */
public record Row(RowKey key, String value, long revision) {

}
