package org.magnoliahub.query;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.jparsec.Parser;
import org.jparsec.Parsers;
import org.jparsec.Scanners;
import org.jparsec.Tokens;
import org.jparsec.error.ParseErrorDetails;
import org.jparsec.error.ParserException;
import org.jparsec.pattern.Patterns;
import org.jspecify.annotations.Nullable;

/**
 * Parses statements. Key words are not case-sensitive; a name that is not a single word
 * is written in double quotes.
 */
public final class StatementParser {

	/** Longest statement, in characters. */
	public static final int MAXIMUM_LENGTH = 10_000;

	static final List<String> REQUEST_FIELDS = List.of("workspace", "pipeline", "class", "outcome", "reason", "gateway",
			"in_time", "total_ms", "attempts");

	static final List<String> ENDPOINT_FIELDS = List.of("name", "pool", "zone", "draining", "usable", "state",
			"paused_ms");

	static final List<String> CLAIM_FIELDS = List.of("workspace", "key", "outcome");

	private static final Duration LONGEST_SINCE = Duration.ofDays(7);

	private static final int DEFAULT_ROWS = 100;

	private static final int MAXIMUM_ROWS = 1_000;

	private static final String WORD = "word";

	private static final String TEXT = "text";

	private static final String OPERATOR = "operator";

	private static final String OTHER = "other";

	private static final Pattern DURATION = Pattern.compile("(\\d{1,6})([smhd])");

	private static final Pattern ESCAPE = Pattern.compile("\\\\(.)");

	private static final Parser<Tokens.Fragment> TOKEN = Parsers.or(
			Patterns.regex("\"(?:[^\"\\\\\\p{Cntrl}]++|\\\\[\"\\\\n])*+\"")
				.toScanner("quoted text")
				.source()
				.map((source) -> Tokens.fragment(unquoted(source), TEXT)),
			Patterns.regex("[A-Za-z0-9][A-Za-z0-9._:/-]*+")
				.toScanner(WORD)
				.source()
				.map((source) -> Tokens.fragment(source, WORD)),
			Patterns.regex("!=|<=|>=|=|<|>")
				.toScanner(OPERATOR)
				.source()
				.map((source) -> Tokens.fragment(source, OPERATOR)),
			// Any other character becomes a token, so that faults name what came.
			Patterns.regex("\\S").toScanner(OTHER).source().map((source) -> Tokens.fragment(source, OTHER)));

	private static final Parser<Statement> PARSER = statement().from(TOKEN, Scanners.WHITESPACES.skipMany());

	private StatementParser() {
	}

	/**
	 * Parses a statement.
	 * @param text the statement
	 * @return the statement
	 * @throws QueryException with position, expectation and what came instead
	 */
	public static Statement parse(String text) throws QueryException {
		if (text.length() > MAXIMUM_LENGTH) {
			throw new QueryException(QueryException.Kind.SYNTAX,
					"expected at most " + MAXIMUM_LENGTH + " characters, but " + text.length() + " came");
		}
		try {
			return PARSER.parse(text);
		}
		catch (ParserException ex) {
			throw new QueryException(QueryException.Kind.SYNTAX, message(ex));
		}
	}

	private static String message(ParserException failure) {
		ParseErrorDetails details = failure.getErrorDetails();
		String position = "line " + failure.getLine() + ", column " + failure.getColumn() + ": ";
		if (details == null) {
			return position + "expected a statement";
		}
		if (details.getFailureMessage() != null) {
			return position + details.getFailureMessage();
		}
		String expected = String.join(", ", details.getExpected().stream().distinct().toList());
		String came = details.getEncountered().equals("EOF") ? "the end" : "'" + details.getEncountered() + "'";
		return position + "expected " + expected + ", but " + came + " came";
	}

	private static Parser<Statement> statement() {
		return Parsers.or(requests(), story(), endpoints(), versions(), leases(), claims(), drain(), giveBack(),
				limit(), settle());
	}

	private static Parser<Statement> requests() {
		Parser<String> group = Parsers.sequence(word("group"), word("by"), field(REQUEST_FIELDS)).optional("");
		Parser<Integer> rows = word("limit").next(number(1, MAXIMUM_ROWS)).optional(DEFAULT_ROWS);
		return Parsers.sequence(word("requests").next(where(REQUEST_FIELDS)), since(Duration.ofHours(1)), group, rows,
				Statement.Requests::new);
	}

	private static Parser<Statement> story() {
		return Parsers.sequence(word("request").next(name("a request id")), since(Duration.ofDays(1)),
				Statement.RequestStory::new);
	}

	private static Parser<Statement> endpoints() {
		return word("endpoints").next(where(ENDPOINT_FIELDS)).map(Statement.Endpoints::new);
	}

	private static Parser<Statement> versions() {
		return word("versions").next(since(Duration.ofDays(1))).map(Statement.Versions::new);
	}

	private static Parser<Statement> leases() {
		return word("leases").map((word) -> new Statement.Leases());
	}

	private static Parser<Statement> claims() {
		return word("claims").next(where(CLAIM_FIELDS)).map(Statement.Claims::new);
	}

	private static Parser<Statement> drain() {
		return Parsers.sequence(word("drain"), word("endpoint"), name("the name of an endpoint"))
			.map((endpoint) -> new Statement.SetDraining(endpoint, true));
	}

	private static Parser<Statement> giveBack() {
		return Parsers.sequence(word("return"), word("endpoint"), name("the name of an endpoint"))
			.map((endpoint) -> new Statement.SetDraining(endpoint, false));
	}

	private static Parser<Statement> limit() {
		Parser<String> workspace = Parsers.sequence(word("limit"), word("workspace"), name("the name of a workspace"));
		return Parsers.sequence(workspace, word("to").next(number(1, 1_000_000)), Statement.LimitWorkspace::new);
	}

	private static Parser<Statement> settle() {
		Parser<Boolean> complete = Parsers.or(word("complete").map((word) -> true),
				word("failed").map((word) -> false));
		return Parsers.sequence(word("settle").next(name("the name of a workspace")), name("an idempotency key"),
				word("as").next(complete), token("a quoted text", (tag, text) -> tag.equals(TEXT) ? text : null),
				Statement.Settle::new);
	}

	private static Parser<List<Comparison>> where(List<String> fields) {
		Parser<Comparison> comparison = Parsers.sequence(field(fields), operator(), name("a value"), Comparison::new);
		return word("where").next(comparison.sepBy1(word("and"))).optional(List.of());
	}

	private static Parser<Duration> since(Duration whenAbsent) {
		Parser<Duration> duration = token("a time such as 90s, 15m, 1h or 7d, at most 7d",
				(tag, text) -> duration(text));
		return word("since").next(duration).optional(whenAbsent);
	}

	private static @Nullable Duration duration(String text) {
		var matcher = DURATION.matcher(text);
		if (!matcher.matches()) {
			return null;
		}
		long amount = Long.parseLong(matcher.group(1));
		Duration duration = switch (matcher.group(2)) {
			case "s" -> Duration.ofSeconds(amount);
			case "m" -> Duration.ofMinutes(amount);
			case "h" -> Duration.ofHours(amount);
			default -> Duration.ofDays(amount);
		};
		return (duration.isZero() || duration.compareTo(LONGEST_SINCE) > 0) ? null : duration;
	}

	private static Parser<Integer> number(int minimum, int maximum) {
		return token("a whole number from " + minimum + " to " + maximum, (tag, text) -> {
			if (!text.matches("\\d{1,9}")) {
				return null;
			}
			int value = Integer.parseInt(text);
			return (value >= minimum && value <= maximum) ? Integer.valueOf(value) : null;
		});
	}

	private static Parser<String> name(String label) {
		return token(label, (tag, text) -> (tag.equals(OPERATOR) || tag.equals(OTHER) || text.isBlank()) ? null : text);
	}

	private static Parser<String> field(List<String> fields) {
		return token("a field (" + String.join(", ", fields) + ")", (tag, text) -> {
			String lower = text.toLowerCase(Locale.ROOT);
			return (tag.equals(WORD) && fields.contains(lower)) ? lower : null;
		});
	}

	private static Parser<Comparison.Operator> operator() {
		Function<String, Comparison.@Nullable Operator> find = (text) -> Arrays.stream(Comparison.Operator.values())
			.filter((operator) -> operator.symbol().equals(text))
			.findFirst()
			.orElse(null);
		return token("one of = != < <= > >=", (tag, text) -> tag.equals(OPERATOR) ? find.apply(text) : null);
	}

	private static Parser<String> word(String word) {
		return token("'" + word + "'", (tag, text) -> (tag.equals(WORD) && text.equalsIgnoreCase(word)) ? word : null);
	}

	private static <T> Parser<T> token(String label, TokenReader<T> reader) {
		return Parsers.<T>token((token) -> {
			Tokens.Fragment fragment = (Tokens.Fragment) token.value();
			return reader.read(String.valueOf(fragment.tag()), fragment.text());
		}).label(label);
	}

	private static String unquoted(String source) {
		return ESCAPE.matcher(source.substring(1, source.length() - 1))
			.replaceAll((match) -> match.group(1).equals("n") ? "\n" : Matcher.quoteReplacement(match.group(1)));
	}

	/**
	 * Reads one token.
	 *
	 * @param <T> type of the result
	 */
	@FunctionalInterface
	private interface TokenReader<T> {

		@Nullable T read(String tag, String text);

	}

}
