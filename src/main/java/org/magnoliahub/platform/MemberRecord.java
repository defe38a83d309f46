package org.magnoliahub.platform;

import java.io.IOException;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * What a gateway writes about itself into the store.
 *
 * @param name name of the gateway's VM
 * @param address where other gateways connect, {@code host:port}
 * @param incarnation number that differs between two starts of one gateway
 */
public record MemberRecord(String name, String address, long incarnation) {

	/**
	 * Returns the stored form.
	 * @return the bytes, as JSON
	 */
	public byte[] encode() {
		return JsonTree.write((json) -> {
			json.writeStartObject();
			json.writeStringField("address", this.address);
			json.writeNumberField("incarnation", this.incarnation);
			json.writeEndObject();
		});
	}

	/**
	 * Reads a row.
	 * @param row the row
	 * @return the member, or empty if the row does not describe one
	 */
	public static Optional<MemberRecord> decode(StoredRow row) {
		try {
			JsonNode root = JsonTree.read(row.value());
			JsonNode incarnation = root.path("incarnation");
			if (row.key().isBlank() || !incarnation.isIntegralNumber() || !incarnation.canConvertToLong()) {
				return Optional.empty();
			}
			String address = root.path("address").asText();
			if (HostPort.parse(address).getPort() == 0) {
				return Optional.empty();
			}
			return Optional.of(new MemberRecord(row.key(), address, incarnation.asLong()));
		}
		catch (IOException | PlatformFormatException ex) {
			return Optional.empty();
		}
	}

}
