package org.magnoliahub.platformhttp;

import java.time.Duration;

import org.junit.jupiter.api.extension.RegisterExtension;
import org.magnoliahub.store.TableStore;
import org.magnoliahub.store.TableStoreContractTests;

class EtcdTableStoreTests extends TableStoreContractTests {

	@RegisterExtension
	final StandInExtension standIn = new StandInExtension();

	private final TableStore store = this.standIn.tableStore(Duration.ofSeconds(10));

	@Override
	protected TableStore store() {
		return this.store;
	}

}
