package org.magnoliahub.platform;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/**
 * Addresses in the form {@code IP:PORT}.
 */
public final class HostPort {

	private HostPort() {
	}

	/**
	 * Reads an address; names are not looked up.
	 * @param text the text form
	 * @return the address
	 * @throws PlatformFormatException if the text has another form
	 */
	public static InetSocketAddress parse(String text) throws PlatformFormatException {
		int colon = text.lastIndexOf(':');
		if (colon <= 0 || !text.substring(0, colon).matches("\\d{1,3}(\\.\\d{1,3}){3}")) {
			throw new PlatformFormatException("expected IP:PORT, but was '" + text + "'");
		}
		try {
			int port = Integer.parseInt(text.substring(colon + 1));
			return new InetSocketAddress(InetAddress.getByName(text.substring(0, colon)), port);
		}
		catch (UnknownHostException | IllegalArgumentException ex) {
			throw new PlatformFormatException("expected IP:PORT, but was '" + text + "'", ex);
		}
	}

}
