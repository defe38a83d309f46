package org.magnoliahub.soak;

/**
 * Kinds of faults and of planned work that a soak plays.
 */
enum FaultKind {

	/** The store answers no call. */
	STORE_SILENT(false),

	/** The store refuses all calls. */
	STORE_BUSY(false),

	/** The store refuses every other call. */
	STORE_UNEVEN(false),

	/** The store resets connections. */
	STORE_RESET(false),

	/** The store answers late. */
	STORE_SLOW(false),

	/** The store does what it is told, and its answers get lost. */
	STORE_LOSES_ANSWERS(false),

	/** The store forgets the history of its feeds. */
	STORE_FORGETS(false),

	/** The store is away and comes back from an older copy. */
	STORE_ROLLS_BACK(false),

	/** One gateway's calls do not reach the store. */
	STORE_LINK_TO(false),

	/** The store's answers do not reach one gateway. */
	STORE_LINK_FROM(false),

	/** One gateway's connections to the store are reset. */
	STORE_LINK_RESET(false),

	/** A gateway is told to stop, and starts again. */
	GATEWAY_STOP(true),

	/** A gateway is paused. */
	GATEWAY_PAUSE(false),

	/** A gateway is killed, and starts again. */
	GATEWAY_KILL(false),

	/** A gateway is told to read its settings again. */
	GATEWAY_RELOAD(true),

	/** What is sent to an endpoint is late. */
	ENDPOINT_LINK_DELAY(false),

	/** An endpoint's connections are reset. */
	ENDPOINT_LINK_RESET(false),

	/** What is sent to an endpoint is lost. */
	ENDPOINT_LINK_TO(false),

	/** What an endpoint sends is lost. */
	ENDPOINT_LINK_FROM(false),

	/** An endpoint refuses all requests. */
	ENDPOINT_FULL(false),

	/** An endpoint refuses all requests and asks for pauses. */
	ENDPOINT_PAUSES(false),

	/** An endpoint states in its answers a low request rate. */
	ENDPOINT_LIMITED(false),

	/** An endpoint says in its answers that it leaves, and its row does not. */
	ENDPOINT_LEAVES(false),

	/** An endpoint takes several times as long. */
	ENDPOINT_SLOW(false),

	/** An endpoint ends answers early. */
	ENDPOINT_TRUNCATES(false),

	/** An endpoint sends bytes that are no answer. */
	ENDPOINT_GARBLES(false),

	/** An endpoint sends bytes without end. */
	ENDPOINT_ENDLESS(false),

	/** An endpoint sends more answers than it was asked for. */
	ENDPOINT_ADDS_ANSWERS(false),

	/** An endpoint ends without a word, and another one starts. */
	ENDPOINT_RESTART(false),

	/** An endpoint drains and leaves, and another one starts. */
	ENDPOINT_DRAIN(true),

	/** A new configuration adds a route and removes an older one. */
	CONFIGURATION_CHANGE(true);

	private final boolean planned;

	FaultKind(boolean planned) {
		this.planned = planned;
	}

	/**
	 * Returns whether it is planned work, which excuses nothing.
	 * @return whether the operator does it
	 */
	boolean isPlanned() {
		return this.planned;
	}

}
