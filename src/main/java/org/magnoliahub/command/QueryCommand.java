package org.magnoliahub.command;

import java.io.IOException;
import java.io.PrintStream;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.magnoliahub.query.QueryResult;
import org.magnoliahub.query.QueryService;
import org.magnoliahub.query.ResultFormat;

/**
 * Sends a statement to a gateway and prints the answer.
 */
final class QueryCommand implements Command {

	private static final String STATEMENT = "statement";

	private static final String ENTRY_FLAG = "--entry-gateway-url";

	private static final MediaType TEXT = MediaType.get("text/plain; charset=utf-8");

	@Override
	public String name() {
		return "query";
	}

	@Override
	public void configure(Subparser parser) {
		parser.help("ask a gateway, or change something");
		parser.description("Sends a query or command to the admin port of a gateway. Quote the statement for the shell,"
				+ " for example: magnoliahub query 'requests where outcome = not_run since 1h group by reason'");
		parser.addArgument(STATEMENT).metavar("STATEMENT").nargs("+").help("the statement");
		Settings.declare(parser, "--gateway-url", "base URL of the admin port of a gateway");
		Settings.declare(parser, ENTRY_FLAG,
				"instead, base URL of the metrics port of an entry gateway, which answers 'endpoints'");
		Settings.declare(parser, OperatorTokenSettings.FILE_FLAG,
				"file with the operator token; or the variable " + OperatorTokenSettings.VARIABLE);
		Settings.declare(parser, "--format", "table, json or csv; default: table");
	}

	@Override
	public ExitCode run(Namespace arguments, Map<String, String> environment, PrintStream output, PrintStream errors)
			throws CommandException {
		Settings settings = Settings.of(arguments, environment);
		List<String> words = arguments.getList(STATEMENT);
		Optional<String> entry = settings.optionalText(ENTRY_FLAG);
		if (entry.isPresent()) {
			return askEntryGateway(settings, entry.get(), String.join(" ", words), output);
		}
		HttpUrl url = HttpUrl.parse(settings.requiredText("--gateway-url"));
		if (url == null) {
			settings.addFault("--gateway-url must be an http or https URL");
		}
		String token = OperatorTokenSettings.readOwn(settings, environment);
		String format = format(settings);
		settings.check();
		Request request = new Request.Builder()
			.url(Objects.requireNonNull(url)
				.newBuilder()
				.addPathSegment("query")
				.addQueryParameter("format", format)
				.build())
			.header("Authorization", "Bearer " + token)
			.post(RequestBody.create(String.join(" ", words), TEXT))
			.build();
		return send(request, output, errors);
	}

	private static String format(Settings settings) {
		String format = settings.optionalText("--format").orElse("table");
		if (ResultFormat.find(format).isEmpty()) {
			settings.addFault("--format must be table, json or csv, but was '" + format + "'");
		}
		return format;
	}

	private static ExitCode askEntryGateway(Settings settings, String address, String statement, PrintStream output)
			throws CommandException {
		HttpUrl url = HttpUrl.parse(address);
		if (url == null) {
			settings.addFault(ENTRY_FLAG + " must be an http URL");
		}
		String format = format(settings);
		settings.check();
		QueryResult result = EntryEndpoints.query(Objects.requireNonNull(url), statement);
		output.print(ResultFormat.find(format).orElseThrow().render(result));
		return ExitCode.SUCCESS;
	}

	private static ExitCode send(Request request, PrintStream output, PrintStream errors) throws CommandException {
		// The gateway gives up first, so that its message arrives.
		OkHttpClient client = new OkHttpClient.Builder().readTimeout(QueryService.TIMEOUT.plus(Duration.ofSeconds(5)))
			.retryOnConnectionFailure(false)
			.build();
		try (Response response = client.newCall(request).execute()) {
			String content = response.body().string();
			if (response.isSuccessful()) {
				output.print(content);
				return ExitCode.SUCCESS;
			}
			errors.print(content);
			return switch (response.code()) {
				case 400, 401 -> ExitCode.USAGE;
				case 409 -> ExitCode.CONFLICT;
				case 429, 503, 504 -> ExitCode.UNAVAILABLE;
				default -> ExitCode.FAILURE;
			};
		}
		catch (IOException ex) {
			throw new CommandException(ExitCode.UNAVAILABLE, "the gateway does not answer: " + ex.getMessage());
		}
	}

}
