package org.magnoliahub.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

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

	private final List<Drain> drains = new ArrayList<>();

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
	 * Lets the agent drain; its back end may start no call of it from 3 s after.
	 */
	void drain() {
		this.core.drain();
		this.drains.add(new Drain(this.base.milliTime(), Long.MAX_VALUE));
	}

	/**
	 * Stops the process gracefully: it drains and ends, and a new incarnation starts.
	 */
	void stop() {
		EndpointAgent stopped = this.core;
		drain();
		stopped.drain().subscribe(() -> {
			if (this.core == stopped) {
				replace(SimulatedLink::closeFromAgent);
			}
		});
	}

	List<Drain> drains() {
		return this.drains;
	}

	/**
	 * Kills the process and starts a new incarnation, which knows nothing.
	 */
	void restart() {
		replace((link) -> {
			link.cut();
			link.reconnectLater();
		});
	}

	private void replace(Consumer<SimulatedLink> close) {
		this.timer.kill();
		this.drains.replaceAll((drain) -> drain.endedBy(this.base.milliTime()));
		this.incarnation++;
		this.timer = new ProcessTimer(this.base);
		this.core = newCore();
		this.links.forEach(close);
	}

	/**
	 * Time in which an incarnation drained.
	 *
	 * @param startMillis virtual time of its start
	 * @param endMillis virtual time of the end of the incarnation
	 */
	record Drain(long startMillis, long endMillis) {

		private Drain endedBy(long millis) {
			return new Drain(this.startMillis, Math.min(this.endMillis, millis));
		}

	}

}
