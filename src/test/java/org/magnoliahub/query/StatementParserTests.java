package org.magnoliahub.query;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class StatementParserTests {

	/**
	 * Guards against statements that are read as something else.
	 */
	@ParameterizedTest
	@CsvSource(delimiter = ';', quoteCharacter = '`',
			textBlock = """
					requests where workspace = "x" and outcome = not_run since 1h group by reason;Requests[conditions=[Comparison[field=workspace, operator=EQUAL, value=x], Comparison[field=outcome, operator=EQUAL, value=not_run]], since=PT1H, groupBy=reason, limit=100]
					REQUESTS where total_ms >= 500 limit 7;Requests[conditions=[Comparison[field=total_ms, operator=GREATER_OR_EQUAL, value=500]], since=PT1H, groupBy=, limit=7]
					request gateway-0-00ff since 7d;RequestStory[id=gateway-0-00ff, since=PT168H]
					endpoints where pool != engines;Endpoints[conditions=[Comparison[field=pool, operator=NOT_EQUAL, value=engines]]]
					versions since 90s;Versions[since=PT1M30S]
					leases;Leases[]
					claims where outcome = unknown;Claims[conditions=[Comparison[field=outcome, operator=EQUAL, value=unknown]]]
					drain endpoint "drain";SetDraining[endpoint=drain, draining=true]
					return endpoint e-1.z;SetDraining[endpoint=e-1.z, draining=false]
					limit workspace limit to 20;LimitWorkspace[workspace=limit, maximumRequests=20]
					settle w "k 1" as failed "a \\"b\\" \\\\n";Settle[workspace=w, idempotencyKey=k 1, complete=false, text=a "b" \\n]
					""")
	void statementIsParsed(String text, String expected) throws QueryException {
		assertThat(StatementParser.parse(text)).hasToString(expected);
	}

	/**
	 * Guards against messages that do not help to correct a statement.
	 */
	@ParameterizedTest
	@CsvSource(delimiter = ';', quoteCharacter = '`',
			textBlock = """
					``;line 1, column 1: expected 'requests', 'request', 'endpoints', 'versions', 'leases', 'claims', 'drain', 'return', 'limit', 'settle', but the end came
					reqests;line 1, column 1: expected 'requests', 'request', 'endpoints', 'versions', 'leases', 'claims', 'drain', 'return', 'limit', 'settle', but 'reqests' came
					requests where colour = red;line 1, column 16: expected a field (workspace, pipeline, class, outcome, reason, gateway, in_time, total_ms, attempts), but 'colour' came
					requests where workspace red;line 1, column 26: expected one of = != < <= > >=, but 'red' came
					requests where workspace =;line 1, column 27: expected a value, but the end came
					requests since 8d;line 1, column 16: expected a time such as 90s, 15m, 1h or 7d, at most 7d, but '8d' came
					requests group reason;line 1, column 16: expected 'by', but 'reason' came
					requests limit 1001;line 1, column 16: expected a whole number from 1 to 1000, but '1001' came
					request;line 1, column 8: expected a request id, but the end came
					drain e-1;line 1, column 7: expected 'endpoint', but 'e-1' came
					limit workspace w to 0;line 1, column 22: expected a whole number from 1 to 1000000, but '0' came
					settle w k as lost "x";line 1, column 15: expected 'complete', 'failed', but 'lost' came
					settle w k as failed x;line 1, column 22: expected a quoted text, but 'x' came
					leases x;line 1, column 8: expected EOF, but 'x' came
					drain endpoint "a;line 1, column 16: expected the name of an endpoint, but '"' came
					""")
	void faultNamesPositionAndExpectation(String text, String message) {
		assertThatThrownBy(() -> StatementParser.parse(text)).isInstanceOf(QueryException.class).hasMessage(message);
	}

	/**
	 * Guards against long input that exhausts the stack.
	 */
	@Test
	void longInputIsHandled() throws QueryException {
		String text = "x".repeat(9_900);
		assertThat(StatementParser.parse("request \"" + text + "\"")).isInstanceOf(Statement.RequestStory.class);
		assertThatThrownBy(() -> StatementParser.parse(text + text)).hasMessageContaining("at most 10000");
	}

}
