package org.magnoliahub.platform;

import java.util.List;
import java.util.OptionalInt;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.magnoliahub.serving.CallerRequest;
import org.magnoliahub.serving.EndpointLoad;
import org.magnoliahub.serving.EndpointNotice;
import org.magnoliahub.serving.PromptSegment;
import org.magnoliahub.serving.ResponseHead;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Guards what passes between callers and endpoints, and what the system sets itself.
 */
class PlatformHeadersTests {

	private static HttpHeaders headers(String... namesAndValues) {
		HttpHeaders headers = new DefaultHttpHeaders();
		for (int index = 0; index < namesAndValues.length; index += 2) {
			headers.add(namesAndValues[index], namesAndValues[index + 1]);
		}
		return headers;
	}

	@Test
	void readsWhatARequestSaysOfItself() {
		CallerRequest request = PlatformHeaders.callerRequest(
				headers("Request-Id", "r", "Deadline-Ms", "900", "Authorization", "Bearer k", "Prompt-Prefix",
						"a:10,b:20", "Token-Count", "30,40", "Pieces", "2,0", "Piece-Key", "p", "Last-Event-Id", "7"));
		assertThat(request).isEqualTo(new CallerRequest("r", 900, "k",
				List.of(new PromptSegment("a", 10), new PromptSegment("b", 20)), 30, 40, List.of(2, 0), "p", "7"));
	}

	@Test
	void malformedValuesCountAsNotStated() {
		CallerRequest request = PlatformHeaders
			.callerRequest(headers("Deadline-Ms", "soon", "Token-Count", "x", "Prompt-Prefix", ":::", "Pieces", "-1"));
		assertThat(request.timeoutMillis()).isEqualTo(-1);
		assertThat(request.promptTokens()).isZero();
		assertThat(request.pieces()).containsExactly(0);
	}

	@Test
	void callerCannotSetWhatTheSystemSets() {
		HttpHeaders sent = PlatformHeaders.endpointHeaders(
				headers("Request-Id", "r", "X-Other", "1", "Tenant", "forged", "Authorization", "Bearer k", "Hold", "h",
						"Pin-Ms", "9", "Kv-Backup", "x", "Kv-From", "y", "Inputs", "z", "Target-Instance", "i-2",
						"Connection", "close, X-Hop", "X-Hop", "1", "Transfer-Encoding", "chunked"),
				"i-1", 500, "workspace", List.of("a", "b"), null);
		assertThat(sent.get("Request-Id")).isEqualTo("r");
		assertThat(sent.get("X-Other")).isEqualTo("1");
		assertThat(sent.get("Tenant")).isEqualTo("workspace");
		assertThat(sent.get("Inputs")).isEqualTo("a,b");
		assertThat(sent.get("Target-Instance")).isEqualTo("i-1");
		assertThat(sent.get("Deadline-Ms")).isEqualTo("500");
		assertThat(sent.names()).doesNotContain("Authorization", "Hold", "Pin-Ms", "Kv-Backup", "Kv-From", "Connection",
				"X-Hop", "Transfer-Encoding");
	}

	@Test
	void anonymousRequestHasNoWorkspace() {
		HttpHeaders sent = PlatformHeaders.endpointHeaders(headers("Tenant", "forged"), "i-1", 500, null, List.of(),
				"12");
		assertThat(sent.contains("Tenant")).isFalse();
		assertThat(sent.get("Last-Event-Id")).isEqualTo("12");
	}

	@Test
	void readsTheHeadOfAnAnswer() {
		DefaultHttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
		response.headers()
			.add(headers("Request-Id", "r", "Response-Signature", "s", "Server-Load", "3,1,8", "Keep-Alive",
					"timeout=2, max=5"));
		ResponseHead head = PlatformHeaders.answerHead(response);
		assertThat(head).isEqualTo(new ResponseHead(200, "r", true, false, false, false, true, 2_000,
				new EndpointLoad(3, 1, 8), EndpointNotice.NONE));
	}

	private static @Nullable EndpointLoad load(String value) {
		return PlatformHeaders.answerHead(answer(HttpResponseStatus.OK, "Server-Load", value)).load();
	}

	@ParameterizedTest
	@CsvSource({ "'3,1,8,100', 100", "'3 , 1 , 8 , 250', 250", "'3,1,8,99.6', 100", "'3,1,8,1', 1",
			"'3,1,8,10000', 10000", "'3,1,8,140,7,x', 140" })
	void fourthFigureOfALoadReportIsTheSlowdownOfTheMachine(String value, int percent) {
		assertThat(load(value)).isEqualTo(new EndpointLoad(3, 1, 8, OptionalInt.of(percent)));
	}

	@ParameterizedTest
	@ValueSource(strings = { "3,1,8", "3,1,8,", "3,1,8, ", "3,1,8,-1", "3,1,8,0", "3,1,8,1e9", "3,1,8,1000000000",
			"3,1,8,fast", "3,1,8,NaN", "3,1,8,99999999999999999999", "3,1,8,,120" })
	void malformedSlowdownLeavesTheReportWithThreeFigures(String value) {
		assertThat(load(value)).isEqualTo(new EndpointLoad(3, 1, 8));
	}

	@ParameterizedTest
	@ValueSource(strings = { "", ",", ",,,", "3", "3,1", "x,1,8,100", "3,x,8,100", "3,1,x,100", ",1,8", "3,,8",
			"-1,1,8", "3,-1,8", "3,1,-1", "3,1,0,100", "1e9,1,8", "3,1000000001,8", "3,1,99999999999999999999" })
	void malformedLoadReportIsLeftOut(String value) {
		assertThat(load(value)).isNull();
	}

	@Test
	void misdirectedAnswerProvesThatNothingRan() {
		assertThat(PlatformHeaders
			.answerHead(new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.MISDIRECTED_REQUEST))
			.notExecuted()).isTrue();
		assertThat(PlatformHeaders
			.answerHead(new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.SERVICE_UNAVAILABLE))
			.notExecuted()).isFalse();
	}

	private static DefaultHttpResponse answer(HttpResponseStatus status, String... namesAndValues) {
		DefaultHttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status);
		response.headers().add(headers(namesAndValues));
		return response;
	}

	@ParameterizedTest
	@CsvSource({ "0.25, 250", "2, 2000", "0, 0", "86400, 86400000", "999999999.5, 999999999500", "0.0001, 1" })
	void pauseIsReadInSeconds(String value, long millis) {
		EndpointNotice notice = PlatformHeaders
			.answerHead(answer(HttpResponseStatus.SERVICE_UNAVAILABLE, "Retry-After", value))
			.notice();
		assertThat(notice).isEqualTo(new EndpointNotice(false, millis, null, 0, null));
	}

	@ParameterizedTest
	@CsvSource({ "1.3, 1.3", "40, 40", "0.25, 0.25" })
	void requestRateIsReadFromEachResponse(String value, double perSecond) {
		EndpointNotice notice = PlatformHeaders.answerHead(answer(HttpResponseStatus.OK, "Server-Limit", value))
			.notice();
		assertThat(notice).isEqualTo(new EndpointNotice(false, 0, null, perSecond, null));
	}

	@ParameterizedTest
	@ValueSource(strings = { "0", "-1", "many", "1e9", "" })
	void requestRateThatIsNotPositiveIsLeftOut(String value) {
		EndpointNotice notice = PlatformHeaders.answerHead(answer(HttpResponseStatus.OK, "Server-Limit", value))
			.notice();
		assertThat(notice).isEqualTo(new EndpointNotice(false, 0, null, 0, value));
	}

	@ParameterizedTest
	@ValueSource(strings = { "-1", "soon", "1e9", "NaN", "Infinity", "Fri, 31 Dec 1999 23:59:59 GMT", ".", "1.2.3",
			"+1", "99999999999999999999999999", "1,5", "" })
	void pauseThatIsNoSensibleNumberIsLeftOut(String value) {
		EndpointNotice notice = PlatformHeaders
			.answerHead(answer(HttpResponseStatus.SERVICE_UNAVAILABLE, "Retry-After", value))
			.notice();
		assertThat(notice).isEqualTo(new EndpointNotice(false, 0, value, 0, null));
	}

	@Test
	void onlyARefusalWith503AsksForAPause() {
		assertThat(
				PlatformHeaders.answerHead(answer(HttpResponseStatus.TOO_MANY_REQUESTS, "Retry-After", "3")).notice())
			.isEqualTo(EndpointNotice.NONE);
		assertThat(PlatformHeaders.answerHead(answer(HttpResponseStatus.OK, "Retry-After", "3")).notice())
			.isEqualTo(EndpointNotice.NONE);
	}

	@Test
	void endpointThatLeavesSaysSoInAnyAnswer() {
		for (HttpResponseStatus status : List.of(HttpResponseStatus.OK, HttpResponseStatus.SERVICE_UNAVAILABLE,
				HttpResponseStatus.CONFLICT)) {
			assertThat(PlatformHeaders.answerHead(answer(status, "Server-Leaving", "1")).notice().draining()).isTrue();
			assertThat(PlatformHeaders.answerHead(answer(status, "Server-Leaving", "0")).notice().draining()).isFalse();
		}
	}

	@ParameterizedTest
	@CsvSource({ "Not-Executed,HTTP/1.1 200 OK,true", "Server,a HTTP/1.0 503,true", "Via,HTTP/1.1 gateway,false",
			"Via,1.1 10.0.0.1,false", "Upgrade,HTTP/2.0,false", "Request-Id,r1,false" })
	void statusLineInAHeaderIsPartOfAnotherHead(String header, String value, boolean several) {
		assertThat(PlatformHeaders.hasSeveralHeads(answer(HttpResponseStatus.OK, header, value))).isEqualTo(several);
	}

	@Test
	void readsTheEraOfTheStore() throws PlatformFormatException {
		assertThat(PlatformHeaders.storeEra(answer(HttpResponseStatus.OK, "Store-Era", "7"))).hasValue(7);
		assertThat(PlatformHeaders.storeEra(answer(HttpResponseStatus.OK))).isEmpty();
	}

	@ParameterizedTest
	@ValueSource(strings = { "x", "-2", "1.5", "", "99999999999999999999" })
	void eraThatIsNoNumberIsAFault(String value) {
		assertThatThrownBy(() -> PlatformHeaders.storeEra(answer(HttpResponseStatus.OK, "Store-Era", value)))
			.isInstanceOf(PlatformFormatException.class)
			.hasMessageContaining(value);
	}

}
