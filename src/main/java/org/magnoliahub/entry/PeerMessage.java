package org.magnoliahub.entry;

import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.magnoliahub.placement.AllowedZones;
import org.magnoliahub.serving.PieceResult;
import org.magnoliahub.serving.StageLoad;
import org.magnoliahub.serving.ZonePreference;

/**
 * Messages between gateways. Deadlines are sent as remaining times, because clocks of
 * gateways differ.
 */
sealed interface PeerMessage {

	/**
	 * First message on a connection, which identifies the gateway that opened it.
	 *
	 * @param member name of that gateway
	 */
	record Hello(String member) implements PeerMessage {
	}

	/**
	 * Heartbeat of a gateway that batches stage calls.
	 *
	 * @param loads load of its stage queues, by service
	 * @param configurationVersion version of its configuration, zero if it has none
	 */
	record Heartbeat(Map<String, StageLoad> loads, long configurationVersion) implements PeerMessage {
	}

	/**
	 * Asks for the configuration of a gateway that uses a newer one.
	 */
	record ConfigurationRequest() implements PeerMessage {
	}

	/**
	 * The configuration of a gateway.
	 *
	 * @param content the configuration as it was stored
	 */
	record Configuration(byte[] content) implements PeerMessage {
	}

	/**
	 * Submits pieces of a stage.
	 *
	 * @param service the stage's service
	 * @param jobId number of the stage job, unique at the submitting gateway
	 * @param requestId the caller's id of the request
	 * @param stage index of the stage
	 * @param pieces indexes of the pieces
	 * @param pieceKey key that identifies the data of the pieces, or {@code null} if they
	 * have inputs
	 * @param inputs handles of the results that are their inputs
	 * @param largeInputs whether these results use a large share of the capacity where
	 * they are stored
	 * @param resultBytes size of one result, in bytes
	 * @param startBudgetMillis time within which they must start to meet the latency
	 * objective, in milliseconds
	 * @param budgetMillis time until the request expires, in milliseconds
	 * @param priority priority of the route
	 * @param zonePreference preferred zone: that of the inputs, or that in which the
	 * results are used
	 * @param allowedZones zones in which the pieces may run
	 */
	record Submit(String service, long jobId, String requestId, int stage, List<Integer> pieces,
			@Nullable String pieceKey, List<String> inputs, boolean largeInputs, long resultBytes,
			long startBudgetMillis, long budgetMillis, int priority, ZonePreference zonePreference,
			AllowedZones allowedZones) implements PeerMessage {

		Submit(String service, long jobId, String requestId, int stage, List<Integer> pieces, @Nullable String pieceKey,
				List<String> inputs, boolean largeInputs, long resultBytes, long startBudgetMillis, long budgetMillis,
				int priority, ZonePreference zonePreference) {
			this(service, jobId, requestId, stage, pieces, pieceKey, inputs, largeInputs, resultBytes,
					startBudgetMillis, budgetMillis, priority, zonePreference, AllowedZones.ALL);
		}

	}

	/**
	 * Announces pieces that will be submitted after earlier stages. Zero pieces withdraw
	 * an earlier announcement.
	 *
	 * @param service the stage's service
	 * @param requestId the caller's id of the request
	 * @param stage index of the stage
	 * @param pieces number of pieces
	 * @param resultBytes size of one result, in bytes
	 * @param budgetMillis time within which they will be submitted, in milliseconds
	 */
	record Announce(String service, String requestId, int stage, int pieces, long resultBytes,
			long budgetMillis) implements PeerMessage {
	}

	/**
	 * Reports the result of a piece.
	 *
	 * @param service the service that produced it
	 * @param jobId number of the stage job
	 * @param piece index of the piece
	 * @param result the result
	 */
	record Result(String service, long jobId, int piece, PieceResult result) implements PeerMessage {
	}

	/**
	 * Cancels the remaining pieces of a stage job.
	 *
	 * @param service the service
	 * @param jobId number of the stage job
	 */
	record Cancel(String service, long jobId) implements PeerMessage {
	}

	/**
	 * Releases results that are no longer needed.
	 *
	 * @param service the service
	 * @param handles their handles
	 */
	record Release(String service, List<String> handles) implements PeerMessage {
	}

}
