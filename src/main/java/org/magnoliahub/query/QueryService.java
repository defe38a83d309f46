package org.magnoliahub.query;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import io.reactivex.rxjava3.core.Single;

/**
 * Runs statements of operators.
 */
public final class QueryService {

	/** Longest time of one statement. */
	public static final Duration TIMEOUT = Duration.ofSeconds(30);

	private final QueryEngine engine;

	private final CommandExecutor commands;

	private QueryService(QuerySources sources) {
		this.engine = new QueryEngine(sources);
		this.commands = new CommandExecutor(sources);
	}

	/**
	 * Creates the service.
	 * @param sources what statements read and change
	 * @return the service
	 */
	public static QueryService of(QuerySources sources) {
		return new QueryService(sources);
	}

	/**
	 * Runs a statement. To be called on the event loop.
	 * @param text the statement
	 * @param author who gave it, for the audit trail
	 * @return the result; {@link QueryException} if the text is no statement or the
	 * command is refused, {@link org.magnoliahub.store.StoreException} if a store fails,
	 * {@link java.util.concurrent.TimeoutException} after {@link #TIMEOUT}, in which case
	 * a command may have taken effect
	 */
	public Single<QueryResult> run(String text, String author) {
		try {
			return run(StatementParser.parse(text), author).timeout(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
		}
		catch (QueryException ex) {
			return Single.error(ex);
		}
	}

	private Single<QueryResult> run(Statement statement, String author) {
		if (statement instanceof Statement.Requests requests) {
			return this.engine.requests(requests);
		}
		if (statement instanceof Statement.RequestStory story) {
			return this.engine.story(story);
		}
		if (statement instanceof Statement.Endpoints endpoints) {
			return this.engine.endpoints(endpoints);
		}
		if (statement instanceof Statement.Versions versions) {
			return this.engine.versions(versions);
		}
		if (statement instanceof Statement.Claims claims) {
			return this.engine.claims(claims);
		}
		if (statement instanceof Statement.SetDraining draining) {
			return this.commands.setDraining(draining, author);
		}
		if (statement instanceof Statement.LimitWorkspace limit) {
			return this.commands.limit(limit, author);
		}
		if (statement instanceof Statement.Settle settle) {
			return this.commands.settle(settle, author);
		}
		return this.engine.leases();
	}

}
