package org.magnoliahub.command;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.magnoliahub.entry.EndpointPage;
import org.magnoliahub.query.EndpointRow;
import org.magnoliahub.query.QueryException;
import org.magnoliahub.query.QueryResult;
import org.magnoliahub.query.Statement;
import org.magnoliahub.query.StatementParser;

/**
 * Answers queries about the endpoints of an entry gateway from its page about them.
 */
final class EntryEndpoints {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private EntryEndpoints() {
	}

	/**
	 * Asks a gateway.
	 * @param gateway base URL of its metrics port
	 * @param statement a query for endpoints
	 * @return the answer
	 * @throws CommandException if the statement is another one, or the gateway does not
	 * answer
	 */
	static QueryResult query(HttpUrl gateway, String statement) throws CommandException {
		try {
			if (StatementParser.parse(statement) instanceof Statement.Endpoints query) {
				return EndpointRow.select(rows(gateway), query, List.of("as gateway " + gateway.host() + " sees them"));
			}
		}
		catch (QueryException ex) {
			throw new CommandException(ExitCode.USAGE, "" + ex.getMessage());
		}
		throw new CommandException(ExitCode.USAGE, "an entry gateway answers only 'endpoints [where ...]'");
	}

	private static List<EndpointRow> rows(HttpUrl gateway) throws CommandException {
		HttpUrl page = gateway.newBuilder().encodedPath(EndpointPage.PATH).build();
		try (Response response = new OkHttpClient().newCall(new Request.Builder().url(page).build()).execute()) {
			if (!response.isSuccessful()) {
				throw new CommandException(ExitCode.UNAVAILABLE, page + " answered with " + response.code());
			}
			List<EndpointRow> rows = new ArrayList<>();
			for (String line : response.body().string().lines().toList()) {
				rows.add(row(MAPPER.readTree(line)));
			}
			return rows;
		}
		catch (IOException ex) {
			throw new CommandException(ExitCode.UNAVAILABLE, "the gateway does not answer: " + ex.getMessage());
		}
	}

	private static EndpointRow row(JsonNode line) {
		String state = line.path("state").asText();
		return new EndpointRow(line.path("name").asText(), line.path("pool").asText(), line.path("zone").asText(),
				line.path("address").asText(), state.equals(EndpointRow.DRAINING), state,
				line.path("paused_ms").asLong());
	}

}
