package org.magnoliahub.soak;

/**
 * Kinds of faults and of planned work that a soak plays.
 */
enum FaultKind {

	/** The store answers no call. */
	STORE_SILENT(Scope.STORE),

	/** The store refuses all calls. */
	STORE_BUSY(Scope.STORE),

	/** The store refuses every other call. */
	STORE_UNEVEN(Scope.STORE),

	/** The store resets connections. */
	STORE_RESET(Scope.STORE),

	/** The store answers late. */
	STORE_SLOW(Scope.STORE),

	/** The store does what it is told, and its answers get lost. */
	STORE_LOSES_ANSWERS(Scope.STORE),

	/** The store forgets the history of its feeds. */
	STORE_FORGETS(Scope.STORE),

	/** The store is away and comes back from an older copy. */
	STORE_ROLLS_BACK(Scope.STORE),

	/** The store never answers the calls that it has, and none for a moment. */
	STORE_LOSES_CALLS(Scope.STORE),

	/** One gateway's open connections to the store go silent, while new ones work. */
	STORE_CONNECTIONS_SILENT(Scope.STORE),

	/** One gateway's calls do not reach the store. */
	STORE_LINK_TO(Scope.STORE),

	/** The store's answers do not reach one gateway. */
	STORE_LINK_FROM(Scope.STORE),

	/** One gateway's connections to the store are reset. */
	STORE_LINK_RESET(Scope.STORE),

	/** A gateway is told to stop, and starts again. */
	GATEWAY_STOP(Scope.PLANNED),

	/** All gateways are told to stop, one a second after the other, and start again. */
	GATEWAYS_STOP_IN_TURN(Scope.PLANNED),

	/** A gateway is paused. */
	GATEWAY_PAUSE(Scope.GATEWAY),

	/** A gateway is killed, and starts again. */
	GATEWAY_KILL(Scope.GATEWAY),

	/** All gateways are killed at the same moment, and start again. */
	GATEWAYS_KILL(Scope.GATEWAY),

	/** A gateway is killed when a change of the configuration was acknowledged. */
	GATEWAY_KILL_AFTER_CHANGE(Scope.GATEWAY),

	/**
	 * Stage endpoints are slow, and a gateway is killed twice, the second time while the
	 * first pieces of its process are in work.
	 */
	GATEWAY_KILL_AMID_STAGES(Scope.GATEWAY),

	/** A gateway is told to read its settings again. */
	GATEWAY_RELOAD(Scope.PLANNED),

	/** What is sent to an endpoint is late. */
	ENDPOINT_LINK_DELAY(Scope.ENDPOINT),

	/** An endpoint's connections are reset. */
	ENDPOINT_LINK_RESET(Scope.ENDPOINT),

	/** What is sent to an endpoint is lost. */
	ENDPOINT_LINK_TO(Scope.ENDPOINT),

	/** What an endpoint sends is lost. */
	ENDPOINT_LINK_FROM(Scope.ENDPOINT),

	/** The open connections to an endpoint go silent, while new ones work. */
	ENDPOINT_CONNECTIONS_SILENT(Scope.ENDPOINT),

	/** An endpoint refuses all requests. */
	ENDPOINT_FULL(Scope.ENDPOINT),

	/** An endpoint refuses all requests and asks for pauses. */
	ENDPOINT_PAUSES(Scope.ENDPOINT),

	/** An endpoint states in its answers a low request rate. */
	ENDPOINT_LIMITED(Scope.ENDPOINT),

	/** An endpoint says in its answers that it leaves, and its row does not. */
	ENDPOINT_LEAVES(Scope.ENDPOINT),

	/** An endpoint takes several times as long. */
	ENDPOINT_SLOW(Scope.ENDPOINT),

	/** An endpoint ends answers early. */
	ENDPOINT_TRUNCATES(Scope.ENDPOINT),

	/** An endpoint sends bytes that are no answer. */
	ENDPOINT_GARBLES(Scope.ENDPOINT),

	/** An endpoint sends bytes without end. */
	ENDPOINT_ENDLESS(Scope.ENDPOINT),

	/** An endpoint sends more answers than it was asked for. */
	ENDPOINT_ADDS_ANSWERS(Scope.ENDPOINT),

	/** An endpoint ends without a word, and another one starts. */
	ENDPOINT_RESTART(Scope.ENDPOINT),

	/** An endpoint drains and leaves, and another one starts. */
	ENDPOINT_DRAIN(Scope.PLANNED),

	/**
	 * An endpoint's row is removed, and the store then performs an earlier write of it,
	 * which excuses nobody who has read the removal.
	 */
	ENDPOINT_WRITES_LATE(Scope.PLANNED),

	/** A new configuration adds a route and removes an older one. */
	CONFIGURATION_CHANGE(Scope.PLANNED),

	/** The operator evacuates a zone and later reopens it. */
	ZONE_EVACUATION(Scope.PLANNED);

	private final Scope scope;

	FaultKind(Scope scope) {
		this.scope = scope;
	}

	/**
	 * Returns whether it is planned work, which excuses nothing.
	 * @return whether the operator does it
	 */
	boolean isPlanned() {
		return this.scope == Scope.PLANNED;
	}

	/**
	 * Returns whether it ends all gateways, which takes longer than a series leaves time
	 * for.
	 * @return whether it meets all of them
	 */
	boolean stopsAllGateways() {
		return this == GATEWAYS_KILL || this == GATEWAYS_STOP_IN_TURN;
	}

	/**
	 * Returns whether gateways are out of touch for some time after it.
	 * @return whether it disturbs the store, links to it or processes of gateways
	 */
	boolean breaksContact() {
		return this.scope == Scope.STORE || this.scope == Scope.GATEWAY;
	}

	/**
	 * What a fault disturbs.
	 */
	private enum Scope {

		/** The store or links to it. */
		STORE,

		/** Processes of gateways. */
		GATEWAY,

		/** An endpoint or the link to it. */
		ENDPOINT,

		/** Nothing: it is planned work. */
		PLANNED

	}

}
