package org.magnoliahub.serving;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.magnoliahub.placement.AllowedZones;
import org.magnoliahub.placement.EvacuatedZones;
import org.magnoliahub.placement.Placement;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against new work for endpoints in evacuated zones, and against queued pieces
 * that are lost or wait when their zone is evacuated.
 */
class EvacuatedEndpointTests {

	private final EvacuatedZones zones = new EvacuatedZones((zone, now) -> {
	});

	private final Placement placement = new Placement();

	private final EndpointDirectory directory = new EndpointDirectory(this.placement);

	private final EndpointSelector selector = new EndpointSelector(this.directory, "z1", new Random(1));

	private final StageQueue queue = new StageQueue("ocr", ServingFixtures.LIMITS, this.directory,
			new WindowedRetryBudget(0, 0, 10_000));

	@BeforeEach
	void listEndpoints() {
		this.placement.setEvacuatedZones(this.zones);
		this.directory.replaceAll(List.of(ServingFixtures.endpoint("a", "ocr", "z1"),
				ServingFixtures.endpoint("b", "ocr", "z2"), ServingFixtures.endpoint("c", "model", "z1")), 0);
	}

	private EndpointState endpoint(String id) {
		return this.directory.all()
			.stream()
			.filter((endpoint) -> endpoint.record().id().equals(id))
			.findFirst()
			.orElseThrow();
	}

	@Test
	void evacuatedEndpointIsNotSelected() {
		this.zones.evacuate("z1");
		for (int attempt = 0; attempt < 20; attempt++) {
			assertThat(this.selector.selectEndpoint("ocr", Set.of(), 0).orElseThrow().endpoint())
				.isSameAs(endpoint("b"));
		}
		CallerRequest request = ServingFixtures.request(List.of(new PromptSegment("p", 900)), 900);
		assertThat(this.selector.selectEngine("model", request, Map.of(), Set.of(), 0)).isEmpty();
	}

	@Test
	void serviceIsEvacuatedOnlyIfNoEndpointIsElsewhere() {
		this.zones.evacuate("z1");
		assertThat(this.directory.isEvacuated("model", AllowedZones.ALL, 0)).isTrue();
		assertThat(this.directory.isEvacuated("ocr", AllowedZones.ALL, 0)).isFalse();
		assertThat(this.directory.isEvacuated("unknown", AllowedZones.ALL, 0)).isFalse();
		endpoint("b").markDraining();
		assertThat(this.directory.isEvacuated("ocr", AllowedZones.ALL, 0)).isTrue();
	}

	@Test
	void pauseOfTheOtherZoneIsReported() {
		this.zones.evacuate("z1");
		endpoint("b").requestPause(0, 400);
		assertThat(this.directory.pausedMillis("ocr", 0)).isEqualTo(400);
	}

	@Test
	void batchThatWasNotSentIsQueuedAgainWithoutUseOfTheRetryBudget() {
		this.queue.add(ServingFixtures.job(1, 3, 500, 10), 0);
		StageBatch batch = this.queue.nextBatch(0).orElseThrow();
		this.zones.evacuate(batch.endpoint().record().availabilityZone());
		assertThat(this.queue.withdraw(batch, 5)).isEmpty();
		StageBatch next = this.queue.nextBatch(5).orElseThrow();
		assertThat(next.tasks()).hasSize(3).allMatch((task) -> task.attempts() == 0);
		assertThat(next.endpoint()).isNotSameAs(batch.endpoint());
		assertThat(batch.endpoint().failureRate(5)).isZero();
	}

	@Test
	void queuedPiecesOfAnEvacuatedServiceEndAtOnceAndRunningOnesComplete() {
		this.queue.add(ServingFixtures.job(1, 2, 500, 10), 0);
		StageBatch running = this.queue.nextBatch(0).orElseThrow();
		this.queue.add(ServingFixtures.job(2, 2, 500, 10), 0);
		this.zones.evacuate("z1");
		this.zones.evacuate("z2");
		assertThat(this.queue.nextBatch(10)).isEmpty();
		assertThat(this.queue.removeExpired(10)).hasSize(2).allMatch((task) -> task.job().jobId() == 2);
		List<PieceResult> results = List.of(new PieceResult("10.0.0.1:80/1", "z1", null),
				new PieceResult("10.0.0.1:80/2", "z1", null));
		assertThat(this.queue.complete(running, results, 20)).hasSize(2);
	}

}
