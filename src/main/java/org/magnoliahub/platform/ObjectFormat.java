package org.magnoliahub.platform;

import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Calls of the platform's store that concern objects.
 */
public final class ObjectFormat {

	private ObjectFormat() {
	}

	/**
	 * Returns the target of the call that writes an object.
	 * @param key its key
	 * @return the path
	 */
	public static String putTarget(String key) {
		return "/api/blob-put/" + encoded(key);
	}

	/**
	 * Returns the target of the call that reads an object.
	 * @param key its key
	 * @return the path
	 */
	public static String getTarget(String key) {
		return "/api/blob-get/" + encoded(key);
	}

	/**
	 * Returns the target of the call that removes an object.
	 * @param key its key
	 * @return the path
	 */
	public static String deleteTarget(String key) {
		return "/api/blob-drop/" + encoded(key);
	}

	/**
	 * Returns the target of the call that lists keys.
	 * @param prefix prefix of the keys
	 * @param after only keys behind this one, empty for all
	 * @return path and query
	 */
	public static String listTarget(String prefix, String after) {
		String target = "/api/blob-list?prefix=" + encoded(prefix);
		return after.isEmpty() ? target : target + "&after=" + encoded(after);
	}

	/**
	 * Reads a list of keys.
	 * @param body body of the answer
	 * @return the keys
	 * @throws PlatformFormatException if the body is not such an answer
	 */
	public static List<String> names(byte[] body) throws PlatformFormatException {
		try {
			JsonNode names = JsonTree.read(body).path("names");
			if (!names.isArray()) {
				throw new PlatformFormatException("the answer of the store lacks its names");
			}
			List<String> keys = new ArrayList<>();
			names.forEach((name) -> keys.add(name.asText()));
			return keys;
		}
		catch (IOException ex) {
			throw new PlatformFormatException("the answer of the store cannot be read: " + ex.getMessage(), ex);
		}
	}

	private static String encoded(String text) {
		return URLEncoder.encode(text, StandardCharsets.UTF_8);
	}

}
