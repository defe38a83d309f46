package org.magnoliahub.platform.emulator;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;

/**
 * What a sound endpoint does with a request, decided by the request's id alone.
 */
public final class EmulatedWork {

	static final int EVENT_MILLIS = 30;

	private static final int LONG_RUN_SHARE = 8;

	private static final int LONG_RUN_MILLIS = 1_100;

	private static final int SHORTEST_LONG_MILLIS = 2_000;

	private static final int LONG_SPAN_MILLIS = 4_000;

	private static final int MAXIMUM_EVENTS = 10;

	private EmulatedWork() {
	}

	/**
	 * Returns how many events the stream of a request has.
	 * @param requestId id of the request
	 * @return number of events, at least 2
	 */
	public static int eventCount(String requestId) {
		return 2 + Math.floorMod(requestId.hashCode(), MAXIMUM_EVENTS - 1);
	}

	/**
	 * Returns an event of the stream of a request.
	 * @param requestId id of the request
	 * @param number number of the event, from 1
	 * @return its text
	 */
	public static String event(String requestId, int number) {
		return "id: " + number + "\ndata: " + requestId + "/" + number + "\n\n";
	}

	/**
	 * Returns how long a sound endpoint works on a request.
	 * @param requestId id of the request
	 * @param stream whether its answer is a stream
	 * @return time from its start to the end of its answer, in milliseconds
	 */
	public static long expectedMillis(String requestId, boolean stream) {
		return stream ? soundMillis(requestId) / 2 + (long) EVENT_MILLIS * eventCount(requestId)
				: soundMillis(requestId);
	}

	/**
	 * Waits like a request that is worked on.
	 * @param socket its connection
	 * @param millis how long
	 * @return whether the connection is still open
	 * @throws IOException if the connection is broken
	 */
	static boolean perform(Socket socket, long millis) throws IOException {
		socket.setSoTimeout((int) Math.max(1, millis));
		try {
			// Nothing comes on a connection before the answer but its end.
			return socket.getInputStream().read() >= 0;
		}
		catch (SocketTimeoutException ex) {
			return true;
		}
		finally {
			if (!socket.isClosed()) {
				socket.setSoTimeout(0);
			}
		}
	}

	static long soundMillis(String requestId) {
		int hash = Math.floorMod(requestId.hashCode() * 31, 1_000);
		return (hash % LONG_RUN_SHARE == 0) ? LONG_RUN_MILLIS : 10 + hash / 20;
	}

	static long longMillis(String requestId) {
		return SHORTEST_LONG_MILLIS + Math.floorMod(requestId.hashCode() * 31, LONG_SPAN_MILLIS);
	}

}
