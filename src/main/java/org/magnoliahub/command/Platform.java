package org.magnoliahub.command;

import org.magnoliahub.store.ObjectStore;
import org.magnoliahub.store.TableStore;

/**
 * Services of the platform that commands use.
 *
 * @param tableStore the table service
 * @param objectStore the object store
 */
public record Platform(TableStore tableStore, ObjectStore objectStore) {

}
