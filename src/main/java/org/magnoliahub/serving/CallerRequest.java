package org.magnoliahub.serving;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * What a caller's request says about itself, apart from its method, target and body.
 *
 * @param requestId the caller's id for this attempt
 * @param timeoutMillis how long the caller waits, in milliseconds, or -1 if not stated
 * @param apiKey the key, if it sent one
 * @param promptSegments parts of the prompt in order; the last belongs to the request or
 * its session
 * @param promptTokens length of the prompt, in tokens
 * @param outputTokens most tokens of the answer
 * @param pieces number of pieces of each stage, empty if there are no stages
 * @param pieceKey key of the pieces of stages without inputs
 * @param lastEventId id of the last event that the caller has, if it resumes a stream
 */
public record CallerRequest(String requestId, long timeoutMillis, @Nullable String apiKey,
		List<PromptSegment> promptSegments, int promptTokens, int outputTokens, List<Integer> pieces, String pieceKey,
		@Nullable String lastEventId) {

	/**
	 * Copies the lists.
	 */
	public CallerRequest {
		promptSegments = List.copyOf(promptSegments);
		pieces = List.copyOf(pieces);
	}

}
