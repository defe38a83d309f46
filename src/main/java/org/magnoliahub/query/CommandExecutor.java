package org.magnoliahub.query;

import java.util.List;

import io.reactivex.rxjava3.core.Single;
import org.magnoliahub.claim.SettleResult;
import org.magnoliahub.configuration.AuditEntry;
import org.magnoliahub.configuration.CommitResult;
import org.magnoliahub.configuration.ConfigurationChange;
import org.magnoliahub.configuration.ConfigurationFault;
import org.magnoliahub.configuration.ConfigurationRepository;
import org.magnoliahub.configuration.ItemChange;
import org.magnoliahub.model.Configuration;
import org.magnoliahub.model.Endpoint;
import org.magnoliahub.model.FailureReason;
import org.magnoliahub.model.Outcome;
import org.magnoliahub.model.PipelineDefinition;
import org.magnoliahub.model.StageDefinition;
import org.magnoliahub.model.Workspace;

/**
 * Carries out commands. Each accepted or refused command leaves an audit entry.
 */
final class CommandExecutor {

	/** Commits of one command; each further one follows a conflict. */
	private static final int MAXIMUM_COMMITS = 4;

	private static final int MAXIMUM_COMMENT = 200;

	private final QuerySources sources;

	CommandExecutor(QuerySources sources) {
		this.sources = sources;
	}

	Single<QueryResult> setDraining(Statement.SetDraining command, String author) {
		String text = (command.draining() ? "drain" : "return") + " endpoint " + command.endpoint();
		return change(text, author, MAXIMUM_COMMITS, (configuration) -> {
			Endpoint endpoint = configuration.endpoints().get(command.endpoint());
			if (endpoint == null) {
				throw refused("expected a declared endpoint, but '" + command.endpoint() + "' is not declared");
			}
			if (endpoint.draining() == command.draining()) {
				throw refused("endpoint " + endpoint.name()
						+ (command.draining() ? " drains already" : " does not drain") + "; nothing was changed");
			}
			return new ItemChange.PutEndpoint(endpoint.withDraining(command.draining()));
		});
	}

	Single<QueryResult> limit(Statement.LimitWorkspace command, String author) {
		String text = "limit workspace " + command.workspace() + " to " + command.maximumRequests();
		return change(text, author, MAXIMUM_COMMITS, (configuration) -> {
			Workspace workspace = configuration.workspaces().get(command.workspace());
			if (workspace == null) {
				throw refused("expected a declared workspace, but '" + command.workspace() + "' is not declared");
			}
			if (workspace.maximumConcurrentRequests() == command.maximumRequests()) {
				throw refused("workspace " + workspace.name() + " has this limit already; nothing was changed");
			}
			return new ItemChange.PutWorkspace(
					new Workspace(workspace.name(), workspace.weight(), command.maximumRequests()));
		});
	}

	Single<QueryResult> settle(Statement.Settle command, String author) {
		String text = "settle claim " + command.workspace() + " " + command.idempotencyKey() + " as "
				+ (command.complete() ? "complete" : "failed");
		String id = this.sources.ids().get();
		// The answer stays out of the audit trail; the claim holds it.
		AuditEntry entry = AuditEntry.ofCommand(this.sources.wallTime().get(), id, author, AuditEntry.Result.SETTLED,
				text, List.of());
		return this.sources.configuration()
			.load()
			.flatMap((configuration) -> this.sources.claims()
				.settle(command.workspace(), command.idempotencyKey(),
						(unknown) -> outcome(command, unknown, configuration), "operator-" + id,
						ConfigurationRepository.auditWrite(entry)))
			.flatMap((result) -> {
				if (result instanceof SettleResult.Settled) {
					return Single.just(QueryResult.done(text + ": done"));
				}
				if (result instanceof SettleResult.NotUnknown present) {
					return refuse(text, author, "expected a claim whose outcome is unknown, but it is "
							+ present.state() + "; nothing was changed");
				}
				return refuse(text, author, "there is no such claim");
			});
	}

	// The stages name the non-idempotent one in any case: without it a resubmission would
	// run the call a second time.
	private static Outcome outcome(Statement.Settle command, Outcome.Unknown unknown, Configuration configuration) {
		if (command.complete()) {
			return new Outcome.Complete(command.text());
		}
		List<String> stages = unknown.stage().isBlank() ? configuration.pipelines()
			.values()
			.stream()
			.map(PipelineDefinition::stages)
			.flatMap(List::stream)
			.filter((stage) -> !stage.idempotent())
			.map(StageDefinition::name)
			.distinct()
			.toList() : List.of(unknown.stage());
		return new Outcome.Failed(stages, FailureReason.OPERATOR_DECISION, command.text());
	}

	private Single<QueryResult> change(String text, String author, int commits,
			CheckedFunction<Configuration, ItemChange> edit) {
		ConfigurationRepository repository = this.sources.configuration();
		return repository.load().flatMap((configuration) -> {
			ItemChange item;
			try {
				item = edit.apply(configuration);
			}
			catch (QueryException ex) {
				return refuse(text, author, String.valueOf(ex.getMessage()));
			}
			ConfigurationChange change = ConfigurationChange.of(this.sources.ids().get(), configuration.version(),
					author, this.sources.wallTime().get(), text.substring(0, Math.min(text.length(), MAXIMUM_COMMENT)),
					List.of(item));
			return repository.commit(change).flatMap((result) -> {
				if (result instanceof CommitResult.Accepted accepted) {
					return Single.just(QueryResult.done(text + ": done, version " + accepted.version()));
				}
				if (result instanceof CommitResult.Conflict && commits > 1) {
					return change(text, author, commits - 1, edit);
				}
				// The repository has recorded the refusal.
				return Single.error(refused(reason(result)));
			});
		});
	}

	private static String reason(CommitResult result) {
		if (result instanceof CommitResult.Invalid invalid) {
			return "the resulting configuration would be invalid: "
					+ String.join("; ", invalid.faults().stream().map(ConfigurationFault::toString).toList());
		}
		return (result instanceof CommitResult.Conflict)
				? "other changes were committed at the same time; nothing was changed, repeat the command"
				: "the change was refused: " + result;
	}

	private Single<QueryResult> refuse(String text, String author, String reason) {
		AuditEntry entry = AuditEntry.ofCommand(this.sources.wallTime().get(), this.sources.ids().get(), author,
				AuditEntry.Result.REFUSED, text, List.of(reason));
		return this.sources.configuration().appendAuditEntry(entry).andThen(Single.error(refused(reason)));
	}

	private static QueryException refused(String reason) {
		return new QueryException(QueryException.Kind.REFUSED, reason);
	}

	/**
	 * A function that may refuse.
	 *
	 * @param <T> type of the argument
	 * @param <R> type of the result
	 */
	@FunctionalInterface
	private interface CheckedFunction<T, R> {

		R apply(T value) throws QueryException;

	}

}
