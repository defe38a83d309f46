package org.magnoliahub.platform;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import org.jspecify.annotations.Nullable;
import org.magnoliahub.serving.CallerRequest;
import org.magnoliahub.serving.EndpointLoad;
import org.magnoliahub.serving.EndpointNotice;
import org.magnoliahub.serving.PromptSegment;
import org.magnoliahub.serving.ResponseHead;

/**
 * Header names of the platform, read into and written from the product's types.
 */
public final class PlatformHeaders {

	/** Path on which the platform asks whether a gateway takes new connections. */
	public static final String READINESS_PATH = "/api/readyz";

	/** Path on which an engine reports its state without using a slot. */
	public static final String ENGINE_STATE_PATH = "/api/report";

	private static final String REQUEST_ID = "Request-Id";

	private static final String DEADLINE = "Deadline-Ms";

	private static final String SIGNATURE = "Response-Signature";

	private static final String NOT_EXECUTED = "Not-Executed";

	private static final String TARGET = "Target-Instance";

	private static final String WORKSPACE = "Tenant";

	private static final String INPUTS = "Inputs";

	private static final String LAST_EVENT_ID = "Last-Event-Id";

	private static final String LEAVING = "Server-Leaving";

	private static final String LEAVING_VALUE = "1";

	private static final String RATE = "Server-Limit";

	private static final String STORE_ERA = "Store-Era";

	private static final int NO_CONTENT = 204;

	private static final int NOT_MODIFIED = 304;

	private static final int UNAVAILABLE = 503;

	private static final double MILLIS_PER_SECOND = 1_000;

	/** Longest text of a pause that is read as a number. */
	private static final int MAXIMUM_SECONDS_LENGTH = 18;

	/** Figures that each load report has: running, waiting and slots. */
	private static final int LOAD_FIGURES = 3;

	/** Larger counts of requests or slots are regarded as malformed. */
	private static final int MAXIMUM_LOAD = 1_000_000;

	/** A machine that states to be over 100 times slower is regarded as malformed. */
	private static final int MAXIMUM_SLOWDOWN_PERCENT = 10_000;

	private static final String BEARER = "bearer ";

	private static final String PROTOCOL = "HTTP/1.";

	/** Characters of a status line up to the end of its status. */
	private static final int STATUS_LINE_LENGTH = "HTTP/1.1 200".length();

	/** Headers that concern one connection only, in lower case. */
	private static final Set<String> CONNECTION_HEADERS = Set.of("connection", "keep-alive", "proxy-connection",
			"transfer-encoding", "te", "trailer", "upgrade", "content-length", "expect", "proxy-authorization",
			"proxy-authenticate");

	/** Headers that only the system sets, in lower case; callers cannot pass them. */
	private static final Set<String> SYSTEM_HEADERS = Set.of("authorization", "deadline-ms", "target-instance",
			"tenant", "inputs", "last-event-id", "hold", "pin-ms", "kv-backup", "kv-from", "kv-fetch",
			"request-priority", "expected-version", "accept-encoding");

	private PlatformHeaders() {
	}

	/**
	 * Reads what a caller's request says about itself.
	 * @param headers headers of the request
	 * @return the description; malformed values count as not stated
	 */
	public static CallerRequest callerRequest(HttpHeaders headers) {
		List<Integer> tokens = numbers(headers.get("Token-Count"));
		return new CallerRequest(text(headers, REQUEST_ID), number(headers.get(DEADLINE), -1), key(headers),
				parts(headers.get("Prompt-Prefix")), tokens.isEmpty() ? 0 : tokens.get(0),
				(tokens.size() < 2) ? 0 : tokens.get(1), numbers(headers.get("Pieces")), text(headers, "Piece-Key"),
				headers.get(LAST_EVENT_ID));
	}

	/**
	 * Writes the headers of a request to an endpoint.
	 * @param callerHeaders headers as the caller sent them
	 * @param endpointId the only endpoint that may run it
	 * @param budgetMillis time that is left, in milliseconds
	 * @param workspace the workspace, or {@code null} if the request has none
	 * @param inputs handles of stage results, empty if there are none
	 * @param lastEventId last event that was passed on, or {@code null}
	 * @return the headers, without those of the connection
	 */
	public static HttpHeaders endpointHeaders(HttpHeaders callerHeaders, String endpointId, long budgetMillis,
			@Nullable String workspace, List<String> inputs, @Nullable String lastEventId) {
		HttpHeaders headers = new DefaultHttpHeaders(false);
		Set<String> named = namedByConnection(callerHeaders);
		for (Map.Entry<String, String> header : callerHeaders) {
			String name = header.getKey().toLowerCase(Locale.ROOT);
			if (!CONNECTION_HEADERS.contains(name) && !SYSTEM_HEADERS.contains(name) && !named.contains(name)) {
				headers.add(header.getKey(), header.getValue());
			}
		}
		headers.set(DEADLINE, Long.toString(Math.max(1, budgetMillis)));
		headers.set(TARGET, endpointId);
		if (workspace != null) {
			headers.set(WORKSPACE, workspace);
		}
		if (!inputs.isEmpty()) {
			headers.set(INPUTS, String.join(",", inputs));
		}
		if (lastEventId != null) {
			headers.set(LAST_EVENT_ID, lastEventId);
		}
		return headers;
	}

	/**
	 * Writes the headers of the answer to a caller.
	 * @param endpointHeaders headers as the endpoint sent them
	 * @return the headers, without those of the connection
	 */
	public static HttpHeaders callerHeaders(HttpHeaders endpointHeaders) {
		HttpHeaders headers = new DefaultHttpHeaders(false);
		Set<String> named = namedByConnection(endpointHeaders);
		for (Map.Entry<String, String> header : endpointHeaders) {
			String name = header.getKey().toLowerCase(Locale.ROOT);
			if (!CONNECTION_HEADERS.contains(name) && !named.contains(name)) {
				headers.add(header.getKey(), header.getValue());
			}
		}
		return headers;
	}

	/**
	 * Writes the headers of the gateway's own call to an endpoint.
	 * @param endpointId the only endpoint that may run it
	 * @param budgetMillis time that is left, in milliseconds
	 * @return the headers
	 */
	public static HttpHeaders ownCallHeaders(String endpointId, long budgetMillis) {
		HttpHeaders headers = new DefaultHttpHeaders(false);
		headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json");
		if (!endpointId.isEmpty()) {
			headers.set(TARGET, endpointId);
			headers.set(DEADLINE, Long.toString(Math.max(1, budgetMillis)));
		}
		return headers;
	}

	/**
	 * Writes the headers of an answer that the gateway gives itself.
	 * @param requestId id of the request, empty if it has none
	 * @return the headers
	 */
	public static HttpHeaders ownAnswerHeaders(String requestId) {
		HttpHeaders headers = new DefaultHttpHeaders(false);
		if (!requestId.isEmpty()) {
			headers.set(REQUEST_ID, requestId);
		}
		return headers;
	}

	/**
	 * Reads the head of an endpoint's answer.
	 * @param response the answer
	 * @return the head
	 */
	public static ResponseHead answerHead(HttpResponse response) {
		HttpHeaders headers = response.headers();
		int status = response.status().code();
		String signature = headers.get(SIGNATURE);
		// A 421 promises the same as the header, with or without it.
		boolean notExecuted = headers.contains(NOT_EXECUTED) || status == 421;
		return new ResponseHead(status, headers.get(REQUEST_ID), signature != null && !signature.isBlank(), notExecuted,
				headers.contains(HttpHeaderNames.CONTENT_ENCODING), !HttpUtil.isKeepAlive(response),
				endsWithConnection(response), keepAliveMillis(headers.get("Keep-Alive")),
				load(headers.get("Server-Load")), notice(status, headers));
	}

	private static boolean endsWithConnection(HttpResponse response) {
		int status = response.status().code();
		return status != NO_CONTENT && status != NOT_MODIFIED && !HttpUtil.isTransferEncodingChunked(response)
				&& !HttpUtil.isContentLengthSet(response);
	}

	/**
	 * Returns whether a head contains parts of several answers: a status line within its
	 * reason or a header, or the ids of two requests. It arises if an answer follows an
	 * incomplete one on the same connection.
	 * @param response the answer
	 * @return whether nothing in the head can be relied on
	 */
	public static boolean hasSeveralHeads(HttpResponse response) {
		if (containsStatusLine(response.status().reasonPhrase())) {
			return true;
		}
		for (Map.Entry<String, String> header : response.headers()) {
			if (containsStatusLine(header.getValue())) {
				return true;
			}
		}
		return new HashSet<>(response.headers().getAll(REQUEST_ID)).size() > 1;
	}

	// Not a regular expression, because its classes lengthen the start.
	private static boolean containsStatusLine(String text) {
		int at = text.indexOf(PROTOCOL);
		while (at >= 0) {
			if (isStatusLine(text, at)) {
				return true;
			}
			at = text.indexOf(PROTOCOL, at + 1);
		}
		return false;
	}

	private static boolean isStatusLine(String text, int start) {
		int end = start + STATUS_LINE_LENGTH;
		if (end > text.length()) {
			return false;
		}
		int minor = start + PROTOCOL.length();
		return isBetween(text.charAt(minor), '0', '1') && text.charAt(minor + 1) == ' '
				&& isBetween(text.charAt(end - 3), '1', '5') && isBetween(text.charAt(end - 2), '0', '9')
				&& isBetween(text.charAt(end - 1), '0', '9');
	}

	private static boolean isBetween(char symbol, char lowest, char highest) {
		return symbol >= lowest && symbol <= highest;
	}

	private static EndpointNotice notice(int status, HttpHeaders headers) {
		boolean leaving = LEAVING_VALUE.equals(text(headers, LEAVING).trim());
		String pause = (status == UNAVAILABLE) ? headers.get(HttpHeaderNames.RETRY_AFTER) : null;
		String rate = headers.get(RATE);
		if (!leaving && pause == null && rate == null) {
			return EndpointNotice.NONE;
		}
		double pauseSeconds = decimal(pause);
		double requestsPerSecond = decimal(rate);
		return new EndpointNotice(leaving, (long) Math.ceil(MILLIS_PER_SECOND * Math.max(0, pauseSeconds)),
				(pauseSeconds < 0) ? pause : null, Math.max(0, requestsPerSecond),
				(requestsPerSecond < 0 || isZero(rate, requestsPerSecond)) ? rate : null);
	}

	// A rate of zero would exclude the endpoint without an end.
	private static boolean isZero(@Nullable String rate, double requestsPerSecond) {
		return rate != null && requestsPerSecond == 0;
	}

	// Returns zero if there is no header, and a negative number if it is no decimal.
	private static double decimal(@Nullable String header) {
		if (header == null) {
			return 0;
		}
		String number = header.trim();
		return isDecimal(number) ? Double.parseDouble(number) : -1;
	}

	// Digits with at most one point, so that signs, exponents and dates are no pause.
	private static boolean isDecimal(String text) {
		boolean digits = text.chars().allMatch((symbol) -> symbol == '.' || (symbol >= '0' && symbol <= '9'));
		boolean oneNumber = text.indexOf('.') == text.lastIndexOf('.');
		return digits && oneNumber && !text.isEmpty() && !text.startsWith(".") && !text.endsWith(".")
				&& text.length() <= MAXIMUM_SECONDS_LENGTH;
	}

	/**
	 * Reads the era of the store's data from an answer of the store.
	 * @param response the answer
	 * @return the era, empty if the answer states none
	 * @throws PlatformFormatException if the stated era is no number
	 */
	public static OptionalLong storeEra(HttpResponse response) throws PlatformFormatException {
		String value = response.headers().get(STORE_ERA);
		if (value == null) {
			return OptionalLong.empty();
		}
		long era = number(value, -1);
		if (era < 0) {
			throw new PlatformFormatException("the era of the store is no number: " + value);
		}
		return OptionalLong.of(era);
	}

	private static Set<String> namedByConnection(HttpHeaders headers) {
		List<String> values = headers.getAll(HttpHeaderNames.CONNECTION);
		if (values.isEmpty()) {
			return Set.of();
		}
		Set<String> names = new HashSet<>();
		for (String value : values) {
			for (String name : value.split(",")) {
				names.add(name.trim().toLowerCase(Locale.ROOT));
			}
		}
		// These are the caller's to pass on, whatever its connection header says.
		names.remove(REQUEST_ID.toLowerCase(Locale.ROOT));
		return names;
	}

	private static @Nullable String key(HttpHeaders headers) {
		String value = headers.get(HttpHeaderNames.AUTHORIZATION);
		if (value == null || !value.toLowerCase(Locale.ROOT).startsWith(BEARER)) {
			return null;
		}
		return value.substring(BEARER.length()).trim();
	}

	private static String text(HttpHeaders headers, String name) {
		String value = headers.get(name);
		return (value != null) ? value : "";
	}

	private static List<PromptSegment> parts(@Nullable String value) {
		List<PromptSegment> parts = new ArrayList<>();
		if (value == null) {
			return parts;
		}
		for (String part : value.split(",")) {
			int colon = part.indexOf(':');
			if (colon > 0) {
				parts.add(new PromptSegment(part.substring(0, colon).trim(), count(part.substring(colon + 1))));
			}
		}
		return parts;
	}

	private static List<Integer> numbers(@Nullable String value) {
		List<Integer> numbers = new ArrayList<>();
		if (value == null || value.isBlank()) {
			return numbers;
		}
		for (String part : value.split(",")) {
			numbers.add(count(part));
		}
		return numbers;
	}

	private static int count(String value) {
		return (int) Math.min(Integer.MAX_VALUE, Math.max(0, number(value, 0)));
	}

	// Reads "running,waiting,slots" with an optional slowdown; further figures are
	// ignored.
	private static @Nullable EndpointLoad load(@Nullable String value) {
		if (value == null) {
			return null;
		}
		String[] figures = value.split(",");
		if (figures.length < LOAD_FIGURES) {
			return null;
		}
		long running = number(figures[0], -1);
		long waiting = number(figures[1], -1);
		long slots = number(figures[2], -1);
		if (!isWithin(running, 0, MAXIMUM_LOAD) || !isWithin(waiting, 0, MAXIMUM_LOAD)
				|| !isWithin(slots, 1, MAXIMUM_LOAD)) {
			return null;
		}
		OptionalInt slowdownPercent = (figures.length > LOAD_FIGURES) ? slowdownPercent(figures[LOAD_FIGURES])
				: OptionalInt.empty();
		return new EndpointLoad((int) running, (int) waiting, (int) slots, slowdownPercent);
	}

	private static OptionalInt slowdownPercent(String value) {
		long percent = Math.round(decimal(value));
		return isWithin(percent, 1, MAXIMUM_SLOWDOWN_PERCENT) ? OptionalInt.of((int) percent) : OptionalInt.empty();
	}

	private static boolean isWithin(long value, long lowest, long highest) {
		return value >= lowest && value <= highest;
	}

	private static long keepAliveMillis(@Nullable String value) {
		if (value == null) {
			return -1;
		}
		for (String part : value.split(",")) {
			String trimmed = part.trim();
			if (trimmed.startsWith("timeout=")) {
				return 1_000 * number(trimmed.substring("timeout=".length()), 0);
			}
		}
		return -1;
	}

	private static long number(@Nullable String value, long fallback) {
		if (value == null) {
			return fallback;
		}
		try {
			return Long.parseLong(value.trim());
		}
		catch (NumberFormatException ex) {
			return fallback;
		}
	}

}
