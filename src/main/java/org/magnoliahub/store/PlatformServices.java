package org.magnoliahub.store;

/**
 * Services of the platform that a process uses. They deliver results on the event loop.
 *
 * @param tableStore the transactional table service
 * @param objectStore the object store
 * @param vmInventory the inventory of VMs
 */
public record PlatformServices(TableStore tableStore, ObjectStore objectStore, VmInventory vmInventory) {

}
