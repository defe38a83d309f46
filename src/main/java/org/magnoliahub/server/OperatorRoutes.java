package org.magnoliahub.server;

import java.util.Optional;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeoutException;

import io.javalin.Javalin;
import io.javalin.http.Context;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.Schedulers;
import org.magnoliahub.query.QueryException;
import org.magnoliahub.query.QueryService;
import org.magnoliahub.query.ResultFormat;
import org.magnoliahub.report.HtmlReport;
import org.magnoliahub.report.ReportBuilder;
import org.magnoliahub.report.TextReport;
import org.magnoliahub.store.StoreException;

/**
 * Paths of a gateway for operators: {@code POST /query} and {@code GET /report}. They are
 * served on the admin port only and need a token.
 */
final class OperatorRoutes {

	/** Statements and reports that run at a time; each may hold thousands of records. */
	private static final int MAXIMUM_RUNNING = 4;

	private static final String TEXT = "text/plain;charset=utf-8";

	private final OperatorTokens tokens;

	private final RefusalAudit refusals;

	private final QueryService queries;

	private final ReportBuilder reports;

	private final Scheduler eventLoop;

	private final Semaphore running = new Semaphore(MAXIMUM_RUNNING);

	private OperatorRoutes(OperatorTokens tokens, RefusalAudit refusals, QueryService queries, ReportBuilder reports,
			Scheduler eventLoop) {
		this.tokens = tokens;
		this.refusals = refusals;
		this.queries = queries;
		this.reports = reports;
		this.eventLoop = eventLoop;
	}

	/**
	 * Adds the paths.
	 * @param javalin the admin server
	 * @param tokens who may use them
	 * @param refusals learns of calls without a valid token
	 * @param queries runs statements
	 * @param reports builds reports
	 * @param eventLoop the event loop of the process
	 */
	static void add(Javalin javalin, OperatorTokens tokens, RefusalAudit refusals, QueryService queries,
			ReportBuilder reports, Scheduler eventLoop) {
		OperatorRoutes routes = new OperatorRoutes(tokens, refusals, queries, reports, eventLoop);
		javalin.post("/query", routes::query);
		javalin.get("/report", routes::report);
	}

	private void query(Context context) {
		Optional<String> operator = authenticate(context);
		if (operator.isEmpty()) {
			return;
		}
		String name = Optional.ofNullable(context.queryParam("format")).orElse("table");
		Optional<ResultFormat> format = ResultFormat.find(name);
		if (format.isEmpty()) {
			fail(context, 400, "format must be table, json or csv, but was '" + ResultFormat.printable(name) + "'");
			return;
		}
		String text = context.body().strip();
		answer(context,
				Single.defer(() -> this.queries.run(text, operator.get()))
					.subscribeOn(this.eventLoop)
					.observeOn(Schedulers.computation())
					.map(format.get()::render),
				format.get().mediaType() + ";charset=utf-8");
	}

	private void report(Context context) {
		if (authenticate(context).isEmpty()) {
			return;
		}
		boolean text = "text".equals(context.queryParam("format"));
		answer(context,
				Single.defer(this.reports::build)
					.subscribeOn(this.eventLoop)
					.observeOn(Schedulers.computation())
					.map((report) -> text ? TextReport.render(report) : HtmlReport.render(report)),
				text ? TEXT : "text/html;charset=utf-8");
	}

	private Optional<String> authenticate(Context context) {
		Optional<String> operator = this.tokens.authenticate(context.header("Authorization"));
		if (operator.isEmpty()) {
			String path = context.path();
			String address = context.ip();
			// Counted before the answer is given, so that whoever got it finds it in the
			// metrics.
			this.refusals.count();
			this.eventLoop.scheduleDirect(() -> this.refusals.record(path, address));
			context.header("WWW-Authenticate", "Bearer");
			fail(context, 401, "expected the header Authorization: Bearer TOKEN with an operator token");
		}
		return operator;
	}

	private void answer(Context context, Single<String> work, String mediaType) {
		if (!this.running.tryAcquire()) {
			context.header("Retry-After", "1");
			fail(context, 429, MAXIMUM_RUNNING + " statements run already; try again");
			return;
		}
		context.future(() -> work.doFinally(this.running::release)
			.toCompletionStage()
			.toCompletableFuture()
			.handle((content, failure) -> {
				if (failure != null) {
					fail(context, failure);
				}
				else {
					context.contentType(mediaType).result(content);
				}
				return content;
			}));
	}

	private static void fail(Context context, Throwable failure) {
		String message = String.valueOf(failure.getMessage());
		if (failure instanceof QueryException query) {
			fail(context, (query.kind() == QueryException.Kind.SYNTAX) ? 400 : 409, message);
		}
		else if (failure instanceof StoreException) {
			fail(context, 503, "a service of the platform does not answer: " + message);
		}
		else if (failure instanceof TimeoutException) {
			fail(context, 504, "no result within " + QueryService.TIMEOUT.toSeconds()
					+ " s; a command may have taken effect, look at 'versions' or 'claims'");
		}
		else {
			fail(context, 500, "the statement failed: " + message);
		}
	}

	private static void fail(Context context, int status, String message) {
		context.status(status).contentType(TEXT).result(message + "\n");
	}

}
