package org.magnoliahub.protocol;

/**
 * Version of the protocol between gateways and agents.
 */
public final class ProtocolVersion {

	/** Version spoken by this build. */
	public static final int CURRENT = 1;

	private ProtocolVersion() {
	}

}
