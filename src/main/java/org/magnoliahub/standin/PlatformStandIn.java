package org.magnoliahub.standin;

import java.io.IOException;
import java.io.StringWriter;
import java.net.InetAddress;
import java.net.UnknownHostException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

import javax.xml.stream.XMLOutputFactory;
import javax.xml.stream.XMLStreamException;
import javax.xml.stream.XMLStreamWriter;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.javalin.Javalin;
import io.javalin.http.Context;
import io.javalin.http.Handler;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.functions.Consumer;
import io.reactivex.rxjava3.schedulers.Schedulers;
import org.magnoliahub.model.Vm;
import org.magnoliahub.platformhttp.HttpSdVmInventory;
import org.magnoliahub.store.Condition;
import org.magnoliahub.store.FaultyObjectStore;
import org.magnoliahub.store.FaultyTableStore;
import org.magnoliahub.store.InMemoryObjectStore;
import org.magnoliahub.store.InMemoryTableStore;
import org.magnoliahub.store.InMemoryVmInventory;
import org.magnoliahub.store.ObjectStore;
import org.magnoliahub.store.PutCondition;
import org.magnoliahub.store.RateLimitedTableStore;
import org.magnoliahub.store.Row;
import org.magnoliahub.store.RowKey;
import org.magnoliahub.store.StoreException;
import org.magnoliahub.store.StoreFaults;
import org.magnoliahub.store.StoredObject;
import org.magnoliahub.store.TableStore;
import org.magnoliahub.store.Transaction;
import org.magnoliahub.store.TransactionResult;
import org.magnoliahub.store.Write;
import org.magnoliahub.time.SchedulerTimerService;

/**
 * Stand-in for the services of the platform, in memory. Paths: {@code /v3/kv/range} and
 * {@code /v3/kv/txn} (table service), {@code /s3/bucket/key} (object store),
 * {@code /inventory} (GET; PUT replaces the list) and {@code /faults} (POST).
 */
public final class PlatformStandIn implements AutoCloseable {

	// A lost answer keeps its connection open for so long; clients have shorter
	// time-outs.
	private static final Duration SERVER_TIMEOUT = Duration.ofSeconds(30);

	private static final long MAXIMUM_REQUEST_BYTES = 8L * 1024 * 1024;

	private static final int MAXIMUM_PAGE = 1000;

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor((task) -> {
		Thread thread = new Thread(task, "platform-stand-in");
		thread.setDaemon(true);
		return thread;
	});

	private final Scheduler eventLoop = Schedulers.from(this.executor);

	private final StoreFaults faults = StoreFaults.none();

	private final TableStore tables;

	private final ObjectStore objects;

	private final InMemoryVmInventory inventory;

	private final Javalin server;

	private PlatformStandIn(int transactionsPerSecond, long seed) {
		SchedulerTimerService timers = SchedulerTimerService.of(this.eventLoop, System::nanoTime);
		Random random = new Random(seed);
		TableStore table = InMemoryTableStore.of(timers, Duration.ZERO);
		if (transactionsPerSecond > 0) {
			table = RateLimitedTableStore.of(table, timers, transactionsPerSecond);
		}
		this.tables = FaultyTableStore.of(table, this.faults, timers, random, SERVER_TIMEOUT);
		this.objects = FaultyObjectStore.of(InMemoryObjectStore.of(timers, Duration.ZERO), this.faults, timers, random,
				SERVER_TIMEOUT);
		this.inventory = InMemoryVmInventory.of(timers, Duration.ZERO);
		this.server = Javalin.create((config) -> {
			config.showJavalinBanner = false;
			config.http.maxRequestSize = MAXIMUM_REQUEST_BYTES;
		});
		this.server.post("/v3/kv/range", handler(this::range))
			.post("/v3/kv/txn", handler(this::transaction))
			.get("/s3/{bucket}", handler(this::listObjects))
			.get("/s3/{bucket}/<key>", handler(this::getObject))
			.put("/s3/{bucket}/<key>", handler(this::putObject))
			.delete("/s3/{bucket}/<key>", handler(this::deleteObject))
			.get("/inventory", handler(this::listVms))
			.put("/inventory", handler(this::replaceVms))
			.post("/faults", handler(this::changeFaults));
	}

	/**
	 * Starts a stand-in.
	 * @param address loopback address to listen on
	 * @param port the port, 0 for any
	 * @param transactionsPerSecond limit of the table service, 0 for none
	 * @param seed seed of the random faults
	 * @return the running stand-in
	 * @throws IllegalArgumentException if the address is not a loopback address
	 */
	public static PlatformStandIn start(String address, int port, int transactionsPerSecond, long seed) {
		requireLoopback(address);
		PlatformStandIn standIn = new PlatformStandIn(transactionsPerSecond, seed);
		try {
			standIn.server.start(address, port);
		}
		catch (RuntimeException ex) {
			standIn.executor.shutdownNow();
			throw ex;
		}
		return standIn;
	}

	private static void requireLoopback(String address) {
		try {
			if (InetAddress.getByName(address).isLoopbackAddress()) {
				return;
			}
		}
		catch (UnknownHostException ex) {
			throw new IllegalArgumentException("unknown address " + address, ex);
		}
		throw new IllegalArgumentException("address must be a loopback address, but was " + address);
	}

	/**
	 * Returns the port.
	 * @return the port it listens on
	 */
	public int port() {
		return this.server.port();
	}

	@Override
	public void close() {
		this.server.stop();
		this.executor.shutdownNow();
	}

	private Handler handler(Operation operation) {
		return (context) -> context.future(() -> Single.defer(() -> operation.run(context))
			.subscribeOn(this.eventLoop)
			.onErrorReturn(PlatformStandIn::errorAnswer)
			.doOnSuccess((answer) -> answer.accept(context))
			.toCompletionStage()
			.toCompletableFuture());
	}

	// 429 promises that there was no effect.
	private static Consumer<Context> errorAnswer(Throwable error) {
		int status = 400;
		if (error instanceof StoreException failure) {
			status = failure.isEffectPossible() ? 504 : 429;
		}
		ObjectNode body = MAPPER.createObjectNode().put("error", String.valueOf(error.getMessage()));
		int answer = status;
		return (context) -> context.status(answer).contentType("application/json").result(body.toString());
	}

	private static Consumer<Context> json(JsonNode body) {
		return (context) -> context.contentType("application/json").result(body.toString());
	}

	private Single<Consumer<Context>> range(Context context) throws IOException {
		JsonNode body = MAPPER.readTree(context.bodyAsBytes());
		String key = decode(body.path("key").asText());
		if (!body.has("range_end")) {
			return this.tables.read(rowKey(key)).map((row) -> json(rangeAnswer(row.stream().toList())));
		}
		int slash = key.indexOf('/');
		String table = key.substring(0, slash);
		if (!decode(body.path("range_end").asText()).equals(table + "0")) {
			throw new IllegalArgumentException("only ranges up to the end of a table are supported");
		}
		return this.tables.scan(table, key.substring(slash + 1), body.path("limit").asInt(Integer.MAX_VALUE))
			.map((rows) -> json(rangeAnswer(rows)));
	}

	private Single<Consumer<Context>> transaction(Context context) throws IOException {
		JsonNode body = MAPPER.readTree(context.bodyAsBytes());
		List<Condition> conditions = new ArrayList<>();
		for (JsonNode comparison : body.path("compare")) {
			RowKey key = rowKey(decode(comparison.path("key").asText()));
			conditions.add(comparison.path("target").asText().equals("MOD")
					? new Condition.RevisionEquals(key, comparison.path("mod_revision").asLong())
					: new Condition.Absent(key));
		}
		List<Write> writes = new ArrayList<>();
		for (JsonNode operation : body.path("success")) {
			if (operation.has("request_put")) {
				JsonNode put = operation.path("request_put");
				writes.add(new Write.Put(rowKey(decode(put.path("key").asText())), decode(put.path("value").asText())));
			}
			else {
				writes
					.add(new Write.Delete(rowKey(decode(operation.path("request_delete_range").path("key").asText()))));
			}
		}
		return this.tables.commit(new Transaction(conditions, writes)).map((result) -> json(answer(result)));
	}

	private static ObjectNode answer(TransactionResult result) {
		ObjectNode answer = MAPPER.createObjectNode();
		if (result instanceof TransactionResult.Committed committed) {
			answer.putObject("header").put("revision", Long.toString(committed.revision()));
			return answer.put("succeeded", true);
		}
		answer.putObject("header").put("revision", "1");
		ArrayNode responses = answer.putArray("responses");
		for (Row row : ((TransactionResult.Conflict) result).currentRows()) {
			responses.addObject().set("response_range", rangeAnswer(List.of(row)));
		}
		return answer;
	}

	private static ObjectNode rangeAnswer(List<Row> rows) {
		ObjectNode answer = MAPPER.createObjectNode();
		answer.putObject("header").put("revision", "1");
		// As in the protocol, empty lists are left out.
		if (!rows.isEmpty()) {
			ArrayNode entries = answer.putArray("kvs");
			for (Row row : rows) {
				entries.addObject()
					.put("key", encode(row.key().table() + "/" + row.key().key()))
					.put("mod_revision", Long.toString(row.revision()))
					.put("value", encode(row.value()));
			}
		}
		return answer;
	}

	private Single<Consumer<Context>> listObjects(Context context) {
		String bucket = context.pathParam("bucket") + "/";
		String startAfter = Optional.ofNullable(context.queryParam("start-after")).orElse("");
		String prefix = Optional.ofNullable(context.queryParam("prefix")).orElse("");
		int limit = Math.min(MAXIMUM_PAGE,
				Integer.parseInt(Optional.ofNullable(context.queryParam("max-keys")).orElse("1000")));
		// One more key tells whether the page is the last one.
		return this.objects.list(bucket + prefix, bucket + startAfter, limit + 1)
			.map((keys) -> listAnswer(keys.stream().map((key) -> key.substring(bucket.length())).toList(), limit));
	}

	private static Consumer<Context> listAnswer(List<String> keys, int limit) throws XMLStreamException {
		StringWriter text = new StringWriter();
		XMLStreamWriter writer = XMLOutputFactory.newInstance().createXMLStreamWriter(text);
		writer.writeStartElement("ListBucketResult");
		writeElement(writer, "IsTruncated", Boolean.toString(keys.size() > limit));
		for (String key : keys.subList(0, Math.min(limit, keys.size()))) {
			writer.writeStartElement("Contents");
			writeElement(writer, "Key", key);
			writer.writeEndElement();
		}
		writer.writeEndElement();
		writer.close();
		return (context) -> context.contentType("application/xml;charset=utf-8").result(text.toString());
	}

	private static void writeElement(XMLStreamWriter writer, String name, String content) throws XMLStreamException {
		writer.writeStartElement(name);
		writer.writeCharacters(content);
		writer.writeEndElement();
	}

	private Single<Consumer<Context>> getObject(Context context) {
		return this.objects.get(objectKey(context)).map((object) -> (answer) -> {
			if (object.isEmpty()) {
				answer.status(404);
				return;
			}
			StoredObject present = object.get();
			answer.header("ETag", present.entityTag())
				.contentType("application/octet-stream")
				.result(present.content());
		});
	}

	private Single<Consumer<Context>> putObject(Context context) {
		String expected = context.header("If-Match");
		PutCondition condition = (expected != null) ? new PutCondition.IfMatches(expected)
				: (context.header("If-None-Match") != null) ? new PutCondition.IfAbsent() : new PutCondition.Always();
		return this.objects.put(objectKey(context), context.bodyAsBytes(), condition).map((entityTag) -> (answer) -> {
			if (entityTag.isPresent()) {
				answer.header("ETag", entityTag.get());
			}
			else {
				answer.status(412);
			}
		});
	}

	private Single<Consumer<Context>> deleteObject(Context context) {
		return this.objects.delete(objectKey(context)).toSingleDefault((answer) -> answer.status(204));
	}

	private static String objectKey(Context context) {
		return context.pathParam("bucket") + "/" + context.pathParam("key");
	}

	private Single<Consumer<Context>> listVms(Context context) {
		return this.inventory.list().map((vms) -> {
			ArrayNode groups = MAPPER.createArrayNode();
			for (Vm vm : vms) {
				ObjectNode group = groups.addObject();
				group.putArray("targets").add(vm.address());
				group.putObject("labels")
					.put("vm", vm.name())
					.put("availability_zone", vm.availabilityZone().name())
					.put("state", vm.state().name().toLowerCase(Locale.ROOT));
			}
			return json(groups);
		});
	}

	private Single<Consumer<Context>> replaceVms(Context context) throws StoreException {
		this.inventory.replace(HttpSdVmInventory.parse(context.bodyAsBytes()));
		return Single.just(json(MAPPER.createObjectNode()));
	}

	// Absent fields mean no fault, so an empty object ends all faults.
	private Single<Consumer<Context>> changeFaults(Context context) throws IOException {
		JsonNode body = MAPPER.readTree(context.bodyAsBytes());
		this.faults.setFailBeforeProbability(body.path("failBeforeProbability").asDouble(0));
		this.faults.setLostResponseProbability(body.path("lostAnswerProbability").asDouble(0));
		this.faults.setExtraLatency(Duration.ofMillis(body.path("extraLatencyMillis").asLong(0)));
		this.faults.setUnavailable(body.path("unavailable").asBoolean(false));
		return Single.just(json(MAPPER.createObjectNode()));
	}

	private static RowKey rowKey(String key) {
		int slash = key.indexOf('/');
		return new RowKey(key.substring(0, slash), key.substring(slash + 1));
	}

	private static String encode(String text) {
		return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
	}

	private static String decode(String text) {
		return new String(Base64.getDecoder().decode(text), StandardCharsets.UTF_8);
	}

	/**
	 * Serves a request on the event loop.
	 */
	private interface Operation {

		Single<Consumer<Context>> run(Context context) throws Exception;

	}

}
