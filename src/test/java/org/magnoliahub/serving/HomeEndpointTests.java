package org.magnoliahub.serving;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.magnoliahub.placement.AllowedZones;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests and pieces that run outside their homes, and against pieces
 * that wait although an endpoint in a home is free.
 */
class HomeEndpointTests {

	private static final AllowedZones SECOND_ZONE = new AllowedZones(Set.of("z2"));

	private final EndpointDirectory directory = ServingFixtures.directory(ServingFixtures.endpoint("a", "ocr", "z1"),
			ServingFixtures.endpoint("b", "ocr", "z2"));

	private final EndpointSelector selector = new EndpointSelector(this.directory, "z1", new Random(1));

	private final StageQueue queue = new StageQueue("ocr", ServingFixtures.LIMITS, this.directory,
			ServingFixtures.retryBudget());

	private static StageJob job(long id, ZonePreference preference, AllowedZones zones) {
		return new StageJob(ServingFixtures.ORIGIN, id, "request-" + id, 0, List.of(0, 1), "key", List.of(), false, 10,
				500, 100_000, 0, preference, zones);
	}

	private EndpointState endpoint(String zone) {
		return this.directory.availableEndpoints("ocr", new AllowedZones(Set.of(zone)), 0).get(0);
	}

	@Test
	void onlyEndpointsInHomesAreSelected() {
		CallerRequest request = ServingFixtures.request(List.of(new PromptSegment("p", 900)), 900);
		for (int attempt = 0; attempt < 20; attempt++) {
			assertThat(this.selector.selectEndpoint("ocr", Set.of(), SECOND_ZONE, 0).orElseThrow().endpoint())
				.isSameAs(endpoint("z2"));
			assertThat(this.selector.selectEngine("ocr", request, Map.of(), Set.of(), SECOND_ZONE, 0)
				.orElseThrow()
				.endpoint()).isSameAs(endpoint("z2"));
		}
		assertThat(this.selector.selectEndpoint("ocr", Set.of("b"), SECOND_ZONE, 0)).isEmpty();
		assertThat(this.directory.hasEndpoint("ocr", new AllowedZones(Set.of()), 0)).isFalse();
	}

	@Test
	void batchContainsOnlyPiecesThatMayRunAtItsEndpoint() {
		this.queue.add(job(1, ZonePreference.NONE, SECOND_ZONE), 0);
		this.queue.add(job(2, ZonePreference.NONE, new AllowedZones(Set.of("z1"))), 0);
		for (int batches = 0; batches < 2; batches++) {
			StageBatch batch = this.queue.nextBatch(0).orElseThrow();
			String zone = batch.endpoint().record().availabilityZone();
			assertThat(batch.tasks()).hasSize(2).allMatch((task) -> task.job().allowedZones().contains(zone));
		}
	}

	@Test
	void pieceWithoutAFreeEndpointInItsHomeIsNotSentElsewhere() {
		this.queue.add(job(1, ZonePreference.NONE, SECOND_ZONE), 0);
		assertThat(this.queue.nextBatch(0)).isPresent();
		this.queue.add(job(2, ZonePreference.NONE, SECOND_ZONE), 0);
		assertThat(this.queue.nextBatch(0)).isEmpty();
	}

	@Test
	void pieceDoesNotWaitForAPreferredZoneThatIsNoHome() {
		this.queue.add(job(1, new ZonePreference("z1", 1_000_000), SECOND_ZONE), 0);
		assertThat(this.queue.nextBatch(0)).isPresent();
	}

	@Test
	void pieceDoesNotWaitForAFasterEndpointOutsideItsHome() {
		EndpointState slow = endpoint("z2");
		for (int call = 0; call < 40; call++) {
			EndpointCall slowCall = slow.beginCall(0, 10, 0);
			slowCall.recordFirstResponse(1_000);
			slowCall.end();
		}
		this.queue.add(job(1, ZonePreference.NONE, AllowedZones.ALL), 1_000);
		assertThat(this.queue.nextBatch(1_000).orElseThrow().endpoint()).isSameAs(endpoint("z1"));
		this.queue.add(job(2, ZonePreference.NONE, SECOND_ZONE), 1_000);
		this.queue.add(job(3, ZonePreference.NONE, AllowedZones.ALL), 1_000);
		assertThat(this.queue.nextBatch(1_000).orElseThrow().tasks())
			.allMatch((task) -> task.job().allowedZones().isRestricted());
	}

}
