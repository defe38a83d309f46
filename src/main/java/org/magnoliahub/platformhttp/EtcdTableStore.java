package org.magnoliahub.platformhttp;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import org.magnoliahub.model.Arguments;
import org.magnoliahub.store.Condition;
import org.magnoliahub.store.Row;
import org.magnoliahub.store.RowKey;
import org.magnoliahub.store.StoreException;
import org.magnoliahub.store.TableStore;
import org.magnoliahub.store.Transaction;
import org.magnoliahub.store.TransactionResult;
import org.magnoliahub.store.Write;

/**
 * {@link TableStore} on the JSON gateway of the etcd v3 protocol. The key of a row is its
 * table, a slash and its key.
 */
public final class EtcdTableStore implements TableStore {

	private static final MediaType JSON = MediaType.get("application/json");

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final HttpUrl baseUrl;

	private final HttpCalls calls;

	private EtcdTableStore(HttpUrl baseUrl, HttpCalls calls) {
		this.baseUrl = baseUrl;
		this.calls = calls;
	}

	/**
	 * Creates the adapter.
	 * @param client shares its connections and threads
	 * @param baseUrl address of the gateway, without {@code /v3}
	 * @param timeout longest time of a call, positive
	 * @param eventLoop where results are delivered
	 * @return the adapter
	 * @throws IllegalArgumentException if the address is no URL or the time-out not
	 * positive
	 */
	public static EtcdTableStore of(OkHttpClient client, String baseUrl, Duration timeout, Scheduler eventLoop) {
		return new EtcdTableStore(HttpUrl.get(baseUrl), HttpCalls.of(client, timeout, eventLoop));
	}

	@Override
	public Single<Optional<Row>> read(RowKey key) {
		ObjectNode body = MAPPER.createObjectNode().put("key", encode(key));
		return post("v3/kv/range", body, false).map((answer) -> rows(answer).stream().findFirst());
	}

	@Override
	public Single<List<Row>> scan(String table, String fromKey, int limit) {
		Arguments.requireRange(limit, 1, Integer.MAX_VALUE, "scan limit");
		// The character after the slash ends the range of the table.
		ObjectNode body = MAPPER.createObjectNode()
			.put("key", encode(table + "/" + fromKey))
			.put("range_end", encode(table + "0"))
			.put("limit", Integer.toString(limit));
		return post("v3/kv/range", body, false).map(EtcdTableStore::rows);
	}

	@Override
	public Single<TransactionResult> commit(Transaction transaction) {
		ObjectNode body = MAPPER.createObjectNode();
		ArrayNode compare = body.putArray("compare");
		ArrayNode success = body.putArray("success");
		ArrayNode failure = body.putArray("failure");
		for (Condition condition : transaction.conditions()) {
			ObjectNode comparison = compare.addObject().put("key", encode(condition.key())).put("result", "EQUAL");
			if (condition instanceof Condition.RevisionEquals expected) {
				comparison.put("target", "MOD").put("mod_revision", Long.toString(expected.revision()));
			}
			else {
				comparison.put("target", "CREATE").put("create_revision", "0");
			}
			failure.addObject().putObject("request_range").put("key", encode(condition.key()));
		}
		for (Write write : transaction.writes()) {
			if (write instanceof Write.Put put) {
				success.addObject()
					.putObject("request_put")
					.put("key", encode(put.key()))
					.put("value", encode(put.value()));
			}
			else {
				success.addObject().putObject("request_delete_range").put("key", encode(write.key()));
			}
		}
		return post("v3/kv/txn", body, true).map(EtcdTableStore::result);
	}

	private Single<JsonNode> post(String path, ObjectNode body, boolean write) {
		Request.Builder request = new Request.Builder().url(this.baseUrl.newBuilder().addPathSegments(path).build())
			.post(RequestBody.create(body.toString(), JSON));
		return this.calls.send(request, write).map((answer) -> {
			if (answer.status() != HttpAnswer.OK) {
				throw HttpCalls.unexpectedStatus(answer, write);
			}
			JsonNode content = MAPPER.readTree(answer.body());
			// Without this check an empty answer would read as a row that does not exist.
			if (!content.path("header").has("revision")) {
				throw new StoreException("answer has no revision", write);
			}
			return content;
		}).onErrorResumeNext((error) -> Single.error(malformed(error, write)));
	}

	private static Throwable malformed(Throwable error, boolean write) {
		return (error instanceof IOException) ? new StoreException("answer is not valid JSON", write) : error;
	}

	private static TransactionResult result(JsonNode answer) throws StoreException {
		if (answer.path("succeeded").asBoolean(false)) {
			return new TransactionResult.Committed(answer.path("header").path("revision").asLong());
		}
		List<Row> current = new ArrayList<>();
		for (JsonNode response : answer.path("responses")) {
			current.addAll(rows(response.path("response_range")));
		}
		return new TransactionResult.Conflict(current);
	}

	private static List<Row> rows(JsonNode range) throws StoreException {
		List<Row> rows = new ArrayList<>();
		try {
			for (JsonNode entry : range.path("kvs")) {
				String key = decode(entry.path("key").asText());
				int slash = key.indexOf('/');
				rows.add(new Row(new RowKey(key.substring(0, Math.max(0, slash)), key.substring(slash + 1)),
						decode(entry.path("value").asText()), entry.path("mod_revision").asLong(0)));
			}
		}
		catch (IllegalArgumentException ex) {
			throw new StoreException("answer has a malformed row: " + ex.getMessage(), false);
		}
		return rows;
	}

	private static String encode(RowKey key) {
		return encode(key.table() + "/" + key.key());
	}

	private static String encode(String text) {
		return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
	}

	private static String decode(String text) {
		return new String(Base64.getDecoder().decode(text), StandardCharsets.UTF_8);
	}

}
