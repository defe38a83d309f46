package org.magnoliahub.platform;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

import org.jspecify.annotations.Nullable;

/**
 * Addresses in the form {@code IP:PORT}.
 */
public final class HostPort {

	private static final int ADDRESS_BYTES = 4;

	private static final int MAXIMUM_BYTE = 255;

	private static final int MAXIMUM_BYTE_DIGITS = 3;

	private static final int MAXIMUM_PORT = 65_535;

	private static final int MAXIMUM_PORT_DIGITS = 5;

	private static final int NO_NUMBER = -1;

	private HostPort() {
	}

	/**
	 * Reads an address; names are not looked up.
	 * @param text the text form
	 * @return the address, with a port from 0 to 65535
	 * @throws PlatformFormatException if the text has another form
	 */
	public static InetSocketAddress parse(String text) throws PlatformFormatException {
		int colon = Math.max(0, text.lastIndexOf(':'));
		String[] parts = text.substring(0, colon).split("\\.", -1);
		int port = number(text.substring(Math.min(colon + 1, text.length())), MAXIMUM_PORT_DIGITS);
		if (parts.length != ADDRESS_BYTES || port == NO_NUMBER || port > MAXIMUM_PORT) {
			throw otherForm(text, null);
		}
		byte[] bytes = new byte[ADDRESS_BYTES];
		for (int index = 0; index < ADDRESS_BYTES; index++) {
			int value = number(parts[index], MAXIMUM_BYTE_DIGITS);
			if (value == NO_NUMBER || value > MAXIMUM_BYTE) {
				throw otherForm(text, null);
			}
			bytes[index] = (byte) value;
		}
		try {
			// A text with numbers out of range would be looked up as a name, which blocks
			// the event loop.
			return new InetSocketAddress(InetAddress.getByAddress(bytes), port);
		}
		catch (UnknownHostException ex) {
			throw otherForm(text, ex);
		}
	}

	private static int number(String text, int maximumDigits) {
		if (text.isEmpty() || text.length() > maximumDigits) {
			return NO_NUMBER;
		}
		int number = 0;
		for (int index = 0; index < text.length(); index++) {
			char digit = text.charAt(index);
			if (digit < '0' || digit > '9') {
				return NO_NUMBER;
			}
			number = 10 * number + (digit - '0');
		}
		return number;
	}

	private static PlatformFormatException otherForm(String text, @Nullable Throwable cause) {
		return new PlatformFormatException("expected IP:PORT, but was '" + text + "'", cause);
	}

}
