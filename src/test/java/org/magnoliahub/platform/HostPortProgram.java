package org.magnoliahub.platform;

import java.io.IOException;
import java.net.InetAddress;

/**
 * Program that parses an address which only the host file of its process contains.
 */
public final class HostPortProgram {

	private HostPortProgram() {
	}

	/**
	 * Prints whether the host file is in use, and the parsed address.
	 * @param arguments none
	 * @throws IOException if the host file does not contain the address
	 */
	public static void main(String[] arguments) throws IOException {
		if (InetAddress.getByName("999.1.1.1").isLoopbackAddress()) {
			System.out.print("host file in use, ");
		}
		try {
			System.out.print(HostPort.parse("999.1.1.1:80"));
		}
		catch (PlatformFormatException ex) {
			System.out.print("rejected");
		}
	}

}
