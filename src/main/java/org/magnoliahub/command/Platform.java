package org.magnoliahub.command;

import org.magnoliahub.platform.ObjectStore;
import org.magnoliahub.platform.TableStore;

/**
 * Services of the platform that commands use.
 *
 * @param tableStore the table service
 * @param objectStore the object store
 */
public record Platform(TableStore tableStore, ObjectStore objectStore) {

}
