package org.magnoliahub.simulation;

import java.time.Duration;
import java.util.List;

/**
 * A single fault that hits the first gateway, the agent that serves the request of a
 * schedule, the connection between them, the back end, the store or the caller.
 */
enum SimulatedFault {

	/** The process of the gateway ends. */
	GATEWAY_KILLED,

	/** The gateway is stopped and goes on later. */
	GATEWAY_FROZEN,

	/** The gateway drains and ends. */
	GATEWAY_STOPPED,

	/** The process of the agent ends and a new one starts. */
	AGENT_RESTARTED,

	/** The agent is stopped and goes on later. */
	AGENT_FROZEN,

	/** The agent drains and goes on refusing work. */
	AGENT_DRAINS,

	/** The agent drains and ends, and a new one starts. */
	AGENT_STOPPED,

	/** The connection is lost and restored soon. */
	CONNECTION_CUT,

	/** The connection is lost and restored later. */
	CONNECTION_BLOCKED,

	/** Messages to the agent arrive late. */
	STALLED_TO_AGENT,

	/** Messages to the gateway arrive late. */
	STALLED_TO_GATEWAY,

	/** Each message of an agent arrives twice. */
	ANSWERS_DUPLICATED,

	/** The store answers nothing. */
	STORE_DOWN,

	/** The store is slower than its clients wait. */
	STORE_SLOW,

	/** The store takes writes and does not answer. */
	STORE_LOSES_ANSWERS,

	/** Calls run and fail. */
	BACK_END_FAILS,

	/** Answers end before their end. */
	BACK_END_CUTS,

	/** The back end refuses calls. */
	BACK_END_REFUSES,

	/** Calls take longer than a claim may stay unchanged, and often than the deadline. */
	BACK_END_SLOW,

	/** The caller closes its connection. */
	CALLER_GONE,

	/** The same request is submitted at the second gateway. */
	REPEATED_ELSEWHERE,

	/** The key is used for another input at the second gateway. */
	KEY_REUSED_ELSEWHERE,

	/** The key is used for another input at the same gateway. */
	KEY_REUSED_HERE,

	/** The same request is submitted at the same gateway. */
	REPEATED_HERE;

	private static final Duration LENGTH = Duration.ofSeconds(3);

	// Calls of 60 ms on average outlast the deadline of 5 s in two of three cases.
	private static final int SLOWNESS = 120;

	void strike(SimulatedSystem system, SimulatedCall call) {
		SimulatedGateway gateway = system.gateways().get(0);
		SimulatedAgent agent = servingAgent(system, call);
		SimulatedLink link = gateway.linkTo(agent);
		switch (this) {
			case GATEWAY_KILLED -> gateway.kill();
			case GATEWAY_FROZEN -> freeze(system, gateway.timer());
			case GATEWAY_STOPPED -> gateway.stop();
			case AGENT_RESTARTED -> agent.restart();
			case AGENT_FROZEN -> freeze(system, agent.timer());
			case AGENT_DRAINS -> agent.drain();
			case AGENT_STOPPED -> agent.stop();
			case CONNECTION_CUT -> {
				link.cut();
				link.reconnectLater();
			}
			case CONNECTION_BLOCKED -> {
				link.block();
				system.run(link::unblock, LENGTH);
			}
			case STALLED_TO_AGENT -> link.stallToAgent(LENGTH);
			case STALLED_TO_GATEWAY -> link.stallToGateway(LENGTH);
			case ANSWERS_DUPLICATED -> gateway.links().forEach((each) -> each.setDuplicateProbability(1));
			case STORE_DOWN -> {
				system.storeFaults().setUnavailable(true);
				system.run(() -> system.storeFaults().setUnavailable(false), LENGTH);
			}
			case STORE_SLOW -> system.storeFaults().setExtraLatency(Duration.ofMillis(1_200));
			case STORE_LOSES_ANSWERS -> system.storeFaults().setLostResponseProbability(0.7);
			case BACK_END_FAILS -> agent.backEnd().setFaults(1, 0, false);
			case BACK_END_CUTS -> agent.backEnd().setFaults(0, 1, false);
			case BACK_END_REFUSES -> agent.backEnd().setFaults(0, 0, true);
			case BACK_END_SLOW -> agent.backEnd().setSlowness(SLOWNESS);
			case CALLER_GONE -> call.hangUp();
			case REPEATED_ELSEWHERE -> repeat(system, 1, call, "key");
			case KEY_REUSED_ELSEWHERE -> repeat(system, 1, call, "other");
			case KEY_REUSED_HERE -> repeat(system, 0, call, "other");
			default -> repeat(system, 0, call, "key");
		}
	}

	private static void freeze(SimulatedSystem system, ProcessTimer timer) {
		timer.freeze();
		system.run(timer::resume, LENGTH);
	}

	private static void repeat(SimulatedSystem system, int gateway, SimulatedCall call, String input) {
		String key = call.submission().idempotencyKey().orElseThrow();
		system.submit(gateway, call.submission().requestClass(), key, SimulatedSystem.inputOf(input));
	}

	// The agent that has work, or one that the request will reach.
	private static SimulatedAgent servingAgent(SimulatedSystem system, SimulatedCall call) {
		String pool = call.submission().requestClass().equals(SimulatedSystem.FILE) ? "filing" : "encoder";
		List<SimulatedAgent> agents = system.agentsOf(pool);
		return system.agents()
			.stream()
			.filter((agent) -> agent.core().load().running() > 0)
			.findFirst()
			.orElseGet(() -> agents.get(system.random().nextInt(agents.size())));
	}

	/**
	 * Ends all faults.
	 * @param system the system
	 */
	static void heal(SimulatedSystem system) {
		system.storeFaults().setUnavailable(false);
		system.storeFaults().setLostResponseProbability(0);
		system.storeFaults().setFailBeforeProbability(0);
		system.storeFaults().setExtraLatency(Duration.ZERO);
		system.gateways().forEach((gateway) -> gateway.timer().resume());
		system.agents().forEach((agent) -> {
			agent.backEnd().setFaults(0, 0, false);
			agent.backEnd().setSlowness(1);
			if (agent.core().isDraining()) {
				agent.restart();
			}
		});
	}

}
