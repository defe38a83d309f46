package org.magnoliahub.platformhttp;

import java.time.Duration;

import org.junit.jupiter.api.extension.RegisterExtension;
import org.magnoliahub.store.ObjectStore;
import org.magnoliahub.store.ObjectStoreContractTests;

class S3ObjectStoreTests extends ObjectStoreContractTests {

	@RegisterExtension
	final StandInExtension standIn = new StandInExtension();

	private final ObjectStore store = this.standIn.objectStore(Duration.ofSeconds(10));

	@Override
	protected ObjectStore store() {
		return this.store;
	}

}
