package org.magnoliahub.transport;

import java.util.Locale;

/**
 * Reasons for closing a connection. The lower-case name of a reason is the value of the
 * metric tag {@code reason}.
 */
public enum CloseReason {

	/** The peer closed the connection. */
	PEER_CLOSED,

	/** This process closed the connection. */
	LOCAL,

	/** A read or write failed, for example because the peer reset the connection. */
	IO_ERROR,

	/** No bytes were received for {@link Transport#HEARTBEAT_TIMEOUT_MS}. */
	HEARTBEAT_TIMEOUT,

	/**
	 * No hello message was received within {@link Transport#HANDSHAKE_TIMEOUT_MS}.
	 */
	HANDSHAKE_TIMEOUT,

	/** The first message was not a hello message. */
	HELLO_MISSING,

	/** The hello message had a different protocol version. */
	VERSION_MISMATCH,

	/** A frame did not contain a valid message. */
	MALFORMED_FRAME,

	/** The length prefix exceeded {@link MessageCodec#MAXIMUM_FRAME_BYTES}. */
	OVERSIZED_FRAME,

	/**
	 * Unsent output exceeded {@link Transport#WRITE_LIMIT_BYTES} because the peer did not
	 * read fast enough.
	 */
	WRITE_LIMIT,

	/** The server had reached its maximum number of connections. */
	CONNECTION_LIMIT;

	String metricTag() {
		return name().toLowerCase(Locale.ROOT);
	}

}
