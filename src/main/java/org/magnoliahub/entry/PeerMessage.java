package org.magnoliahub.entry;

import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.magnoliahub.serving.PieceResult;
import org.magnoliahub.serving.StageLoad;
import org.magnoliahub.serving.ZonePreference;

/**
 * Messages between gateways. Times travel as budgets, because clocks differ.
 */
sealed interface PeerMessage {

	/**
	 * First message of the gateway that connects.
	 *
	 * @param member its name
	 */
	record Hello(String member) implements PeerMessage {
	}

	/**
	 * Heartbeat of the gateway that forms calls.
	 *
	 * @param loads state of its queues, by service
	 */
	record Heartbeat(Map<String, StageLoad> loads) implements PeerMessage {
	}

	/**
	 * Pieces to be done.
	 *
	 * @param service the stage's service
	 * @param jobId number of the submission at its gateway
	 * @param requestId the caller's id of the request
	 * @param stage index of the stage
	 * @param pieces indexes of the pieces
	 * @param pieceKey key of the pieces, or {@code null} if they have inputs
	 * @param inputs handles of their inputs
	 * @param resultBytes size of one result
	 * @param startBudgetMillis time within which they have to start to be in time
	 * @param budgetMillis time until the request ends
	 * @param priority rank of the route
	 * @param zonePreference zone of the inputs or of the use of the results
	 */
	record Submit(String service, long jobId, String requestId, int stage, List<Integer> pieces,
			@Nullable String pieceKey, List<String> inputs, long resultBytes, long startBudgetMillis, long budgetMillis,
			int priority, ZonePreference zonePreference) implements PeerMessage {
	}

	/**
	 * Pieces that will be submitted when earlier stages are done.
	 *
	 * @param service the stage's service
	 * @param requestId the caller's id of the request
	 * @param stage index of the stage
	 * @param pieces number of pieces
	 * @param resultBytes size of one result
	 * @param budgetMillis time within which they come
	 */
	record Announce(String service, String requestId, int stage, int pieces, long resultBytes,
			long budgetMillis) implements PeerMessage {
	}

	/**
	 * Result of a piece.
	 *
	 * @param service the service that made it
	 * @param jobId number of the submission
	 * @param piece index of the piece
	 * @param result the result
	 */
	record Result(String service, long jobId, int piece, PieceResult result) implements PeerMessage {
	}

	/**
	 * Pieces of a submission are no longer wanted.
	 *
	 * @param service the service
	 * @param jobId number of the submission
	 */
	record Cancel(String service, long jobId) implements PeerMessage {
	}

	/**
	 * Results are no longer needed.
	 *
	 * @param service the service
	 * @param handles their handles
	 */
	record Release(String service, List<String> handles) implements PeerMessage {
	}

}
