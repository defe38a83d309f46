package org.magnoliahub.platform.emulator;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The raw objects of an emulated store.
 */
final class EmulatedObjects {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final String PUT_PATH = "/api/blob-put/";

	private static final String GET_PATH = "/api/blob-get/";

	private final Map<String, String> objects = new ConcurrentSkipListMap<>();

	/**
	 * Answers a call about objects.
	 * @param request the call
	 * @param history records the change that the call makes
	 * @param revision current revision of the store
	 * @return status and body
	 */
	Answer answer(RawServer.Request request, ChangeHistory history, long revision) {
		String path = URLDecoder.decode(request.target(), StandardCharsets.UTF_8);
		if (path.startsWith(PUT_PATH)) {
			return put(path.substring(PUT_PATH.length()), request.body(), history, revision);
		}
		if (path.startsWith(GET_PATH)) {
			String body = this.objects.get(path.substring(GET_PATH.length()));
			return (body != null) ? new Answer(200, body) : new Answer(404, "");
		}
		String after = path.contains("&after=") ? StoreEmulator.parameter(path, "after") : "";
		return new Answer(200, names(StoreEmulator.parameter(path, "prefix"), after));
	}

	private Answer put(String name, String body, ChangeHistory history, long revision) {
		if (this.objects.putIfAbsent(name, body) != null) {
			return new Answer(412, "");
		}
		history.add(() -> this.objects.remove(name), revision);
		return new Answer(200, "");
	}

	private String names(String prefix, String after) {
		ObjectNode root = MAPPER.createObjectNode().put("has_more", false);
		root.putArray("names");
		this.objects.keySet()
			.stream()
			.filter((key) -> key.startsWith(prefix) && key.compareTo(after) > 0)
			.forEach(root.withArray("names")::add);
		return root.toString();
	}

	int count() {
		return this.objects.size();
	}

	/**
	 * The answer to a call.
	 *
	 * @param status its status
	 * @param body its body
	 */
	record Answer(int status, String body) {
	}

}
