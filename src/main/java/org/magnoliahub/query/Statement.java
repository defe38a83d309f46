package org.magnoliahub.query;

import java.time.Duration;
import java.util.List;

/**
 * A parsed query or command.
 */
public sealed interface Statement {

	/**
	 * Returns whether the statement changes state.
	 * @return {@code true} for commands
	 */
	default boolean isCommand() {
		return this instanceof SetDraining || this instanceof LimitWorkspace || this instanceof Settle;
	}

	/**
	 * Lists or counts requests.
	 *
	 * @param conditions all of them hold for the requests wanted
	 * @param since age of the oldest requests wanted
	 * @param groupBy field whose values are counted, empty text for a list
	 * @param limit most rows wanted
	 */
	record Requests(List<Comparison> conditions, Duration since, String groupBy, int limit) implements Statement {

		public Requests {
			conditions = List.copyOf(conditions);
		}

	}

	/**
	 * Tells what happened to one request.
	 *
	 * @param id its id
	 * @param since age of the oldest request looked at
	 */
	record RequestStory(String id, Duration since) implements Statement {
	}

	/**
	 * Lists endpoints.
	 *
	 * @param conditions all of them hold for the endpoints wanted
	 */
	record Endpoints(List<Comparison> conditions) implements Statement {

		public Endpoints {
			conditions = List.copyOf(conditions);
		}

	}

	/**
	 * Lists configuration versions and refused changes.
	 *
	 * @param since age of the oldest entry wanted
	 */
	record Versions(Duration since) implements Statement {
	}

	/**
	 * Lists leases.
	 */
	record Leases() implements Statement {
	}

	/**
	 * Lists claims.
	 *
	 * @param conditions all of them hold for the claims wanted
	 */
	record Claims(List<Comparison> conditions) implements Statement {

		public Claims {
			conditions = List.copyOf(conditions);
		}

	}

	/**
	 * Lets an endpoint drain or take work again.
	 *
	 * @param endpoint name of the endpoint
	 * @param draining whether it drains
	 */
	record SetDraining(String endpoint, boolean draining) implements Statement {
	}

	/**
	 * Changes the limit of a workspace.
	 *
	 * @param workspace name of the workspace
	 * @param maximumRequests most requests in flight at one gateway
	 */
	record LimitWorkspace(String workspace, int maximumRequests) implements Statement {
	}

	/**
	 * Decides on an unknown outcome.
	 *
	 * @param workspace name of the workspace
	 * @param idempotencyKey the caller's key
	 * @param complete whether the request counts as complete, else as failed
	 * @param text the answer, or why the request failed
	 */
	record Settle(String workspace, String idempotencyKey, boolean complete, String text) implements Statement {
	}

}
