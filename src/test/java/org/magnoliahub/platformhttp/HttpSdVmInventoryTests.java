package org.magnoliahub.platformhttp;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.magnoliahub.model.Vm;
import org.magnoliahub.store.StoreException;
import org.magnoliahub.store.VmInventory;
import org.magnoliahub.store.VmInventoryContractTests;

import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class HttpSdVmInventoryTests extends VmInventoryContractTests {

	@RegisterExtension
	final StandInExtension standIn = new StandInExtension();

	@Override
	protected VmInventory inventory(List<Vm> vms) {
		this.standIn.send("PUT", "/inventory", vms.stream()
			.map((vm) -> "{\"targets\":[\"%s\"],\"labels\":{\"vm\":\"%s\",\"availability_zone\":\"%s\",\"state\":\"%s\"}}"
				.formatted(vm.address(), vm.name(), vm.availabilityZone().name(),
						vm.state().name().toLowerCase(Locale.ROOT)))
			.collect(Collectors.joining(",", "[", "]")));
		return this.standIn.vmInventory(Duration.ofSeconds(10));
	}

	/** Guards against a malformed list that reads as an empty one. */
	@Test
	void malformedListIsAnError() {
		for (String body : List.of("", "{}", "[", "[{\"targets\":[\"a:1\"]}]")) {
			assertThatExceptionOfType(StoreException.class).as(body)
				.isThrownBy(() -> HttpSdVmInventory.parse(body.getBytes(StandardCharsets.UTF_8)));
		}
	}

}
