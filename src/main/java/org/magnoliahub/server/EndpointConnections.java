package org.magnoliahub.server;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

import io.micrometer.core.instrument.MeterRegistry;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import org.magnoliahub.configuration.ConfigurationPeers;
import org.magnoliahub.configuration.ConfigurationSynchronizer;
import org.magnoliahub.gateway.AgentConnection;
import org.magnoliahub.model.AvailabilityZone;
import org.magnoliahub.model.Configuration;
import org.magnoliahub.model.Endpoint;
import org.magnoliahub.model.Vm;
import org.magnoliahub.model.VmState;
import org.magnoliahub.protocol.Message;
import org.magnoliahub.routing.EndpointSubset;
import org.magnoliahub.routing.StageScheduler;
import org.magnoliahub.transport.TcpAgentConnections;

/**
 * Keeps a gateway connected to its subset of each pool, and hands on what agents say
 * about their state and about configuration versions. All methods run on the event loop.
 */
final class EndpointConnections implements ConfigurationPeers {

	private static final Logger LOGGER = System.getLogger(EndpointConnections.class.getName());

	private static final int SEEDS = 5;

	private static final String SEED_POOL = "seed";

	private final TcpAgentConnections connections;

	private final String gateway;

	private final AvailabilityZone availabilityZone;

	private final RandomGenerator random;

	private final Map<String, Open> open = new HashMap<>();

	private final Set<String> draining = new HashSet<>();

	private final AtomicInteger connectedCount = new AtomicInteger();

	private Set<String> leavingAddresses = Set.of();

	private Set<String> drainingByConfiguration = Set.of();

	EndpointConnections(TcpAgentConnections connections, String gateway, AvailabilityZone availabilityZone,
			RandomGenerator random, MeterRegistry meters) {
		this.connections = connections;
		this.gateway = gateway;
		this.availabilityZone = availabilityZone;
		this.random = random;
		meters.gauge("magnoliahub.gateway.agents.connected", this.connectedCount);
	}

	/**
	 * Opens and closes connections so that they fit a configuration.
	 * @param configuration the configuration in force
	 * @param scheduler learns which endpoints are usable
	 * @param holder learns configuration versions of agents
	 */
	void apply(Configuration configuration, StageScheduler scheduler, ConfigurationSynchronizer holder) {
		// A draining endpoint stays connected, since its running work goes on.
		Map<String, Endpoint> wanted = subset(configuration);
		for (Open present : List.copyOf(this.open.values())) {
			if (!present.endpoint().equals(wanted.get(present.endpoint().name()))) {
				close(present);
			}
		}
		this.drainingByConfiguration = configuration.endpoints()
			.values()
			.stream()
			.filter(Endpoint::draining)
			.map(Endpoint::name)
			.collect(Collectors.toSet());
		this.open.values().forEach((present) -> updateUsable(present.connection(), scheduler));
		for (Endpoint endpoint : wanted.values()) {
			if (!this.open.containsKey(endpoint.name())) {
				open(endpoint, scheduler, holder);
			}
		}
	}

	/**
	 * Closes all connections.
	 */
	void closeAll() {
		List.copyOf(this.open.values()).forEach(this::close);
		this.connections.closeAll();
	}

	private Map<String, Endpoint> subset(Configuration configuration) {
		Map<String, List<Endpoint>> pools = configuration.endpoints()
			.values()
			.stream()
			.collect(Collectors.groupingBy(Endpoint::pool));
		return pools.values()
			.stream()
			.flatMap((pool) -> EndpointSubset.choose(pool, this.gateway, this.availabilityZone).stream())
			.collect(Collectors.toMap(Endpoint::name, (endpoint) -> endpoint.withDraining(false)));
	}

	private void open(Endpoint endpoint, StageScheduler scheduler, ConfigurationSynchronizer holder) {
		AgentConnection connection = this.connections.open(endpoint);
		CompositeDisposable subscriptions = new CompositeDisposable();
		this.open.put(endpoint.name(), new Open(endpoint, connection, subscriptions));
		scheduler.setUsable(endpoint.name(), false);
		subscriptions.add(connection.connectionChanges()
			.subscribe((connected) -> connectionChanged(connection, connected, scheduler, holder)));
		subscriptions
			.add(connection.messages().subscribe((message) -> receive(connection, message, scheduler, holder)));
	}

	private void close(Open present) {
		this.open.remove(present.endpoint().name());
		present.subscriptions().dispose();
		this.connections.close(present.endpoint());
	}

	/**
	 * Takes the list of VMs. Endpoints on leaving VMs get no new work. A gateway without
	 * a configuration connects to a few VMs, whose agents may know one.
	 * @param vms the VMs
	 * @param scheduler learns which endpoints are usable
	 * @param holder learns configuration versions of agents
	 */
	void vmsListed(List<Vm> vms, StageScheduler scheduler, ConfigurationSynchronizer holder) {
		Set<String> leaving = vms.stream()
			.filter((vm) -> vm.state() == VmState.LEAVING)
			.map(Vm::address)
			.collect(Collectors.toSet());
		if (!leaving.equals(this.leavingAddresses)) {
			this.leavingAddresses = leaving;
			this.open.values().forEach((present) -> updateUsable(present.connection(), scheduler));
		}
		if (holder.configuration().version() == 0 && connected().isEmpty()) {
			List.copyOf(this.open.values()).forEach(this::close);
			seeds(vms).forEach((seed) -> open(seed, scheduler, holder));
		}
	}

	private List<Endpoint> seeds(List<Vm> vms) {
		List<Vm> live = new ArrayList<>(vms.stream().filter((vm) -> vm.state() == VmState.LIVE).toList());
		List<Endpoint> seeds = new ArrayList<>();
		while (!live.isEmpty() && seeds.size() < SEEDS) {
			Vm vm = live.remove(this.random.nextInt(live.size()));
			seeds.add(new Endpoint(vm.name(), SEED_POOL, vm.availabilityZone(), vm.address(), false));
		}
		return seeds;
	}

	private void connectionChanged(AgentConnection connection, boolean connected, StageScheduler scheduler,
			ConfigurationSynchronizer holder) {
		String name = connection.endpoint().name();
		Message.Hello peer = connection.agentHello().orElse(null);
		this.draining.remove(name);
		if (peer != null && peer.draining()) {
			this.draining.add(name);
		}
		LOGGER.log(Level.INFO, "agent connection changed endpoint={0} connected={1}", name, connected);
		updateUsable(connection, scheduler);
		this.connectedCount.set(connected().size());
		if (connected && peer != null) {
			holder.peerConnected(name, peer.configurationVersion());
		}
	}

	private void updateUsable(AgentConnection connection, StageScheduler scheduler) {
		scheduler.setUsable(connection.endpoint().name(), isUsable(connection));
	}

	private boolean isUsable(AgentConnection connection) {
		Endpoint endpoint = connection.endpoint();
		return connection.agentHello().isPresent() && !this.draining.contains(endpoint.name())
				&& !this.drainingByConfiguration.contains(endpoint.name())
				&& !this.leavingAddresses.contains(endpoint.agentAddress());
	}

	private void receive(AgentConnection connection, Message message, StageScheduler scheduler,
			ConfigurationSynchronizer holder) {
		String endpoint = connection.endpoint().name();
		if (message instanceof Message.Draining notice) {
			// Tells the agent that no attempt follows that was sent before the gateway
			// knew.
			connection.send(notice);
			LOGGER.log(Level.INFO, "endpoint draining endpoint={0}", endpoint);
			this.draining.add(endpoint);
			updateUsable(connection, scheduler);
		}
		else if (message instanceof Message.LoadReport load) {
			scheduler.loadReported(endpoint, load);
		}
		else if (message instanceof Message.ConfigurationChanges changes) {
			holder.receive(endpoint, changes);
		}
	}

	/**
	 * Returns the endpoints that this gateway sends work to.
	 * @return names of connected endpoints that do not drain
	 */
	Set<String> usable() {
		return this.open.values()
			.stream()
			.map(Open::connection)
			.filter(this::isUsable)
			.map((connection) -> connection.endpoint().name())
			.collect(Collectors.toSet());
	}

	@Override
	public List<String> connected() {
		List<String> names = new ArrayList<>();
		for (Open present : this.open.values()) {
			if (present.connection().agentHello().isPresent()) {
				names.add(present.endpoint().name());
			}
		}
		return names;
	}

	@Override
	public void send(String peer, Message.ConfigurationChanges message) {
		Open present = this.open.get(peer);
		if (present != null) {
			present.connection().send(message);
		}
	}

	private record Open(Endpoint endpoint, AgentConnection connection, CompositeDisposable subscriptions) {

	}

}
