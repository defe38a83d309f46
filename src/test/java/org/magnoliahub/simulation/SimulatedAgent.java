package org.magnoliahub.simulation;

import java.util.ArrayList;
import java.util.List;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import org.magnoliahub.agent.AgentLimits;
import org.magnoliahub.agent.EndpointAgent;
import org.magnoliahub.model.Endpoint;
import org.magnoliahub.time.TimerService;

/**
 * The agent of one endpoint with its present incarnation and its links to gateways.
 */
final class SimulatedAgent {

	private final Endpoint endpoint;

	private final SimulatedBackEnd backEnd;

	private final TimerService base;

	private final AgentLimits limits;

	private final List<SimulatedLink> links = new ArrayList<>();

	private ProcessTimer timer;

	private EndpointAgent core;

	private long incarnation = 1;

	SimulatedAgent(Endpoint endpoint, SimulatedBackEnd backEnd, TimerService base, AgentLimits limits) {
		this.endpoint = endpoint;
		this.backEnd = backEnd;
		this.base = base;
		this.limits = limits;
		this.timer = new ProcessTimer(base);
		this.core = newCore();
	}

	private EndpointAgent newCore() {
		return EndpointAgent.of(this.incarnation, this.backEnd, this.timer, this.limits, new SimpleMeterRegistry());
	}

	Endpoint endpoint() {
		return this.endpoint;
	}

	SimulatedBackEnd backEnd() {
		return this.backEnd;
	}

	EndpointAgent core() {
		return this.core;
	}

	ProcessTimer timer() {
		return this.timer;
	}

	void addLink(SimulatedLink link) {
		this.links.add(link);
	}

	/**
	 * Kills the process and starts a new incarnation, which knows nothing.
	 */
	void restart() {
		this.timer.kill();
		this.links.forEach(SimulatedLink::cut);
		this.incarnation++;
		this.timer = new ProcessTimer(this.base);
		this.core = newCore();
		this.links.forEach(SimulatedLink::reconnectLater);
	}

}
