package org.magnoliahub.store;

import java.util.List;

import io.reactivex.rxjava3.core.Single;
import org.magnoliahub.model.Vm;

/**
 * The platform's list of VMs, which lags behind the truth. A result can be a
 * {@link StoreException}.
 */
public interface VmInventory {

	/**
	 * Lists live and leaving VMs.
	 * @return the VMs in no particular order
	 */
	Single<List<Vm>> list();

}
