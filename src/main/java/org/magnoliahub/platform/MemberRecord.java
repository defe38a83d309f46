package org.magnoliahub.platform;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * What a gateway writes about itself into the store.
 *
 * @param name name of the gateway's VM
 * @param address where other gateways connect, {@code host:port}
 * @param incarnation number that differs between two starts of one gateway
 */
public record MemberRecord(String name, String address, long incarnation) {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	/**
	 * Returns the stored form.
	 * @return the bytes, as JSON
	 */
	public byte[] encode() {
		try {
			return MAPPER.writeValueAsBytes(
					MAPPER.createObjectNode().put("address", this.address).put("incarnation", this.incarnation));
		}
		catch (IOException ex) {
			throw new UncheckedIOException("writing to memory failed", ex);
		}
	}

	/**
	 * Reads a row.
	 * @param row the row
	 * @return the member, or empty if the row does not describe one
	 */
	public static Optional<MemberRecord> decode(StoredRow row) {
		try {
			JsonNode root = MAPPER.readTree(row.value());
			if (root == null || !root.path("address").isTextual()) {
				return Optional.empty();
			}
			return Optional
				.of(new MemberRecord(row.key(), root.path("address").asText(), root.path("incarnation").asLong()));
		}
		catch (IOException ex) {
			return Optional.empty();
		}
	}

}
