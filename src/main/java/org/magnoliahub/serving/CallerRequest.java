package org.magnoliahub.serving;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * Metadata in the headers of a caller's request.
 *
 * @param requestId id that the caller assigned to this attempt
 * @param timeoutMillis time that the caller waits for the response, in milliseconds, or
 * -1 if not specified
 * @param apiKey the API key, if there is one
 * @param promptSegments segments of the prompt in order; the last one is specific to the
 * request or its session
 * @param promptTokens length of the prompt, in tokens
 * @param outputTokens maximum length of the response, in tokens
 * @param pieces number of pieces of each stage, empty if there are no stages
 * @param pieceKey key of the pieces of stages without inputs
 * @param lastEventId id of the last event that the caller received, if it resumes a
 * stream
 */
public record CallerRequest(String requestId, long timeoutMillis, @Nullable String apiKey,
		List<PromptSegment> promptSegments, int promptTokens, int outputTokens, List<Integer> pieces, String pieceKey,
		@Nullable String lastEventId) {

	/** Maximum number of pieces of all stages of a request. */
	public static final int MAXIMUM_PIECES = 1_000;

	/**
	 * Creates a request with immutable copies of the lists.
	 */
	public CallerRequest {
		promptSegments = List.copyOf(promptSegments);
		pieces = List.copyOf(pieces);
	}

	/**
	 * Returns whether the request has more pieces than a gateway accepts. The memory and
	 * the time for a request grow with them.
	 * @return whether there are more than {@value #MAXIMUM_PIECES}
	 */
	public boolean hasTooManyPieces() {
		return this.pieces.stream().mapToLong(Integer::longValue).sum() > MAXIMUM_PIECES;
	}

}
