package org.magnoliahub.store;

import java.util.List;

import io.reactivex.rxjava3.core.Single;
import org.magnoliahub.model.Vm;

/**
 * Inventory of the VMs of the platform, which may be outdated. Listing can fail with a
 * {@link StoreException}.
 */
public interface VmInventory {

	/**
	 * Lists live and leaving VMs.
	 * @return the VMs in no particular order
	 */
	Single<List<Vm>> list();

}
