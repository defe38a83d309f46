package org.magnoliahub.protocol;

/**
 * Version of the protocol between gateways and agents.
 */
public final class ProtocolVersion {

	/** Protocol version that this build implements. */
	public static final int CURRENT = 1;

	private ProtocolVersion() {
	}

}
