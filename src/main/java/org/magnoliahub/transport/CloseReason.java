package org.magnoliahub.transport;

import java.util.Locale;

/**
 * Why a connection was closed.
 */
public enum CloseReason {

	/** The peer closed the connection. */
	PEER_CLOSED,

	/** This process closed the connection. */
	LOCAL,

	/** Reading or writing failed, for example by a reset. */
	IO_ERROR,

	/** Nothing was heard for {@link Transport#SILENCE_LIMIT_MS}. */
	HEARTBEAT_TIMEOUT,

	/** No greeting came within {@link Transport#HANDSHAKE_LIMIT_MS}. */
	HANDSHAKE_TIMEOUT,

	/** The first message was not a greeting. */
	HELLO_MISSING,

	/** The greeting named another protocol version. */
	VERSION_MISMATCH,

	/** A frame did not hold a message. */
	MALFORMED_FRAME,

	/** A frame announced more than {@link MessageCodec#MAXIMUM_FRAME_BYTES}. */
	OVERSIZED_FRAME,

	/** The peer did not read while more than the write limit was waiting for it. */
	WRITE_LIMIT,

	/** The server already had its largest number of connections. */
	CONNECTION_LIMIT;

	String tag() {
		return name().toLowerCase(Locale.ROOT);
	}

}
