package org.magnoliahub.simulation;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.reactivex.rxjava3.core.Single;
import org.magnoliahub.claim.ClaimRepository;
import org.magnoliahub.claim.ClaimSettings;
import org.magnoliahub.gateway.GatewayLimits;
import org.magnoliahub.gateway.RequestCoordinator;
import org.magnoliahub.model.AvailabilityZone;
import org.magnoliahub.model.Configuration;
import org.magnoliahub.model.RequestRecord;
import org.magnoliahub.routing.RoutingPolicy;
import org.magnoliahub.routing.StageScheduler;
import org.magnoliahub.store.Row;
import org.magnoliahub.store.RowKey;
import org.magnoliahub.store.TableStore;
import org.magnoliahub.store.Transaction;
import org.magnoliahub.store.TransactionResult;
import org.magnoliahub.time.TimerService;

/**
 * A gateway's core with its links, its view of the store and its own timer.
 */
final class SimulatedGateway {

	private final ProcessTimer timer;

	private final Map<String, SimulatedLink> links = new HashMap<>();

	private final List<RequestRecord> records = new ArrayList<>();

	private final RequestCoordinator coordinator;

	SimulatedGateway(String name, Supplier<Configuration> configuration, List<SimulatedAgent> agents, TableStore store,
			TimerService base, RandomGenerator random, GatewayLimits limits, RoutingPolicy policy) {
		this.timer = new ProcessTimer(base);
		for (SimulatedAgent agent : agents) {
			this.links.put(agent.endpoint().name(), new SimulatedLink(agent, this.timer, base, random));
		}
		ClaimRepository claims = ClaimRepository.of(gated(store), this.timer, random, ClaimSettings.defaults());
		StageScheduler scheduler = policy.create(configuration, this.timer, random, new AvailabilityZone("zone-a"),
				name);
		this.links.forEach((endpoint, link) -> link.connectionChanges()
			.subscribe((connected) -> scheduler.setUsable(endpoint, connected && link.agentHello().isPresent())));
		this.coordinator = RequestCoordinator.of(name, configuration, scheduler,
				(endpoint) -> Optional.ofNullable(this.links.get(endpoint.name())), claims, this.timer, random, limits,
				() -> Instant.EPOCH, this.records::add, new SimpleMeterRegistry());
	}

	RequestCoordinator coordinator() {
		return this.coordinator;
	}

	ProcessTimer timer() {
		return this.timer;
	}

	List<SimulatedLink> links() {
		return List.copyOf(this.links.values());
	}

	SimulatedLink linkTo(SimulatedAgent agent) {
		return Objects.requireNonNull(this.links.get(agent.endpoint().name()));
	}

	List<RequestRecord> records() {
		return this.records;
	}

	/**
	 * Stops the process gracefully: it refuses new requests and ends with the last one.
	 */
	void stop() {
		this.coordinator.drain().subscribe(this::kill);
	}

	void kill() {
		this.timer.kill();
		this.links.values().forEach(SimulatedLink::block);
	}

	/**
	 * Delivers answers of the store only while the process runs. What was sent before a
	 * freeze still takes effect.
	 */
	private TableStore gated(TableStore store) {
		return new TableStore() {

			@Override
			public Single<Optional<Row>> read(RowKey key) {
				return gate(store.read(key));
			}

			@Override
			public Single<List<Row>> scan(String table, String fromKey, int limit) {
				return gate(store.scan(table, fromKey, limit));
			}

			@Override
			public Single<TransactionResult> commit(Transaction transaction) {
				return gate(store.commit(transaction));
			}

			private <T> Single<T> gate(Single<T> answer) {
				return answer.materialize()
					.flatMap((notification) -> SimulatedGateway.this.timer.whenRunning()
						.andThen(Single.just(notification)))
					.dematerialize((notification) -> notification)
					.toSingle();
			}

		};
	}

}
