package org.magnoliahub.store;

/**
 * The services of the platform that a process uses. Their results arrive on the event
 * loop.
 *
 * @param tableStore the transactional table service
 * @param objectStore the object store
 * @param vmInventory the list of VMs
 */
public record PlatformServices(TableStore tableStore, ObjectStore objectStore, VmInventory vmInventory) {

}
