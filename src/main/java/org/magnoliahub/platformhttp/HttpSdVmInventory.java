package org.magnoliahub.platformhttp;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import org.magnoliahub.model.AvailabilityZone;
import org.magnoliahub.model.Vm;
import org.magnoliahub.model.VmState;
import org.magnoliahub.store.StoreException;
import org.magnoliahub.store.VmInventory;

/**
 * {@link VmInventory} on the Prometheus HTTP service discovery format. Labels of a group:
 * {@code availability_zone}, {@code vm} (the name; absent, the address is the name) and
 * {@code state} ({@code live}, also if absent, or {@code leaving}).
 */
public final class HttpSdVmInventory implements VmInventory {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final HttpUrl url;

	private final HttpCalls calls;

	private HttpSdVmInventory(HttpUrl url, HttpCalls calls) {
		this.url = url;
		this.calls = calls;
	}

	/**
	 * Creates the adapter.
	 * @param client shares its connections and threads
	 * @param url address of the list
	 * @param timeout longest time of a call, positive
	 * @param eventLoop where results are delivered
	 * @return the adapter
	 * @throws IllegalArgumentException if the address is no URL or the time-out not
	 * positive
	 */
	public static HttpSdVmInventory of(OkHttpClient client, String url, Duration timeout, Scheduler eventLoop) {
		return new HttpSdVmInventory(HttpUrl.get(url), HttpCalls.of(client, timeout, eventLoop));
	}

	/**
	 * Parses a list.
	 * @param body the JSON text in UTF-8
	 * @return the VMs
	 * @throws StoreException if the text is not in the format
	 */
	public static List<Vm> parse(byte[] body) throws StoreException {
		List<Vm> vms = new ArrayList<>();
		try {
			JsonNode groups = MAPPER.readTree(body);
			if (!groups.isArray()) {
				throw new StoreException("list of VMs is not a JSON array", false);
			}
			for (JsonNode group : groups) {
				JsonNode labels = group.path("labels");
				AvailabilityZone zone = new AvailabilityZone(labels.path("availability_zone").asText(""));
				VmState state = VmState.valueOf(labels.path("state").asText("live").toUpperCase(Locale.ROOT));
				for (JsonNode target : group.path("targets")) {
					String address = target.asText("");
					boolean named = labels.has("vm") && group.path("targets").size() == 1;
					vms.add(new Vm(named ? labels.path("vm").asText("") : address, zone, address, state));
				}
			}
		}
		catch (IOException | IllegalArgumentException ex) {
			throw new StoreException("list of VMs is malformed: " + ex.getMessage(), false);
		}
		return vms;
	}

	@Override
	public Single<List<Vm>> list() {
		return this.calls.send(new Request.Builder().url(this.url), false).map((answer) -> {
			if (answer.status() != HttpAnswer.OK) {
				throw HttpCalls.unexpectedStatus(answer, false);
			}
			return parse(answer.body());
		});
	}

}
