package org.magnoliahub.entry;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;

import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.magnoliahub.gateway.RequestRecorder;
import org.magnoliahub.placement.Placement;
import org.magnoliahub.platform.StoreFormat;
import org.magnoliahub.platform.StoredRow;
import org.magnoliahub.platform.emulator.EmulatedSettings;
import org.magnoliahub.serving.BodyMemory;
import org.magnoliahub.serving.EndpointDirectory;
import org.magnoliahub.serving.EndpointSelector;
import org.magnoliahub.serving.GatewayGroup;
import org.magnoliahub.serving.GracefulShutdown;
import org.magnoliahub.serving.StoreEra;
import org.magnoliahub.serving.WindowedRetryBudget;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;

/**
 * Guards against requests that an unexpected exception leaves without an answer.
 */
class RequestFaultTests {

	private final NioEventLoopGroup group = new NioEventLoopGroup(1);

	private final EventLoopTimers timers = new EventLoopTimers(this.group.next(), (failure) -> {
	});

	private final List<String> lines = new ArrayList<>();

	private final EntryLog log = new EntryLog(this.timers, this.lines::add);

	private final AtomicInteger ended = new AtomicInteger();

	@AfterEach
	void stop() {
		this.group.shutdownGracefully();
	}

	@Test
	void exceptionInTheReportOfARefusalStillAnswersTheCaller() {
		AtomicInteger calls = new AtomicInteger();
		RecordingExchange exchange = handle((record) -> {
			if (calls.getAndIncrement() == 0) {
				throw new IllegalStateException("first report");
			}
		});
		assertThat(exchange.statuses).containsExactly(503);
		assertThat(this.ended).hasValue(1);
		assertThat(this.lines.toString()).contains("\"event\":\"internal_error\",\"id\":\"r1\"")
			.contains("first report");
	}

	@Test
	void exceptionInEveryReportClosesTheConnection() {
		RecordingExchange exchange = handle((record) -> {
			throw new IllegalStateException("each report");
		});
		assertThat(exchange.statuses).isEmpty();
		assertThat(exchange.aborted).isTrue();
		assertThat(this.lines.toString()).contains("\"event\":\"internal_error\",\"id\":\"r1\"");
	}

	@Test
	void exceptionWhileTheAnswerIsWrittenIsFollowedByAnAnswer() {
		RecordingExchange exchange = new RecordingExchange();
		exchange.failures = 1;
		assertThatCode(() -> flow(exchange, (record) -> {
		}).start()).doesNotThrowAnyException();
		assertThat(exchange.statuses).containsExactly(502);
		assertThat(this.ended).hasValue(1);
	}

	private RecordingExchange handle(RequestRecorder recorder) {
		RecordingExchange exchange = new RecordingExchange();
		assertThatCode(() -> flow(exchange, recorder).start()).doesNotThrowAnyException();
		this.log.flush();
		return exchange;
	}

	private RequestFlow flow(CallerExchange exchange, RequestRecorder recorder) {
		EntryMetrics metrics = new EntryMetrics();
		HttpClient client = new HttpClient(this.group, this.timers);
		GatewayGroup gateways = new GatewayGroup("gateway");
		EndpointDirectory directory = new EndpointDirectory();
		directory.replaceAll(List.of(), 0);
		ConfigurationTable table = new ConfigurationTable(this.timers, this.log, new StoreEra(),
				new StoreRestorationReport(this.timers, this.log, metrics, () -> 0), (configuration) -> {
				});
		byte[] row = EmulatedSettings.configuration(1, List.of()).getBytes(StandardCharsets.UTF_8);
		table.onList(List.of(new StoredRow(StoreFormat.CONFIGURATION_KEY, row, 1, false)), false);
		EntryContext context = new EntryContext(this.timers, this.log, metrics, client,
				new EndpointNoticeHandler(this.timers, this.log, metrics, client, gateways, new Placement()), gateways,
				directory, new EndpointSelector(directory, "z1", RandomGenerator.getDefault()),
				new WindowedRetryBudget(0.2, 10, 10_000),
				new CrashingPrompts(this.group, this.timers, this.log, "gateway"), table, new GracefulShutdown(8_000),
				new BodyMemory(Long.MAX_VALUE), recorder, "gateway");
		return new RequestFlow(context, new StageCoordinator(context, this.group, "gateway", 32), exchange,
				(flow) -> this.ended.incrementAndGet());
	}

	private final class RecordingExchange implements CallerExchange {

		private final List<Integer> statuses = new ArrayList<>();

		private int failures;

		private boolean aborted;

		@Override
		public HttpMethod method() {
			return HttpMethod.GET;
		}

		@Override
		public String target() {
			return "/look/1";
		}

		@Override
		public HttpHeaders headers() {
			return new DefaultHttpHeaders().set("Host", "h")
				.set("Request-Id", "r1")
				.set("Authorization", "Bearer " + EmulatedSettings.KEY);
		}

		@Override
		public byte[] body() {
			return new byte[0];
		}

		@Override
		public long arrivedMillis() {
			return RequestFaultTests.this.timers.milliTime();
		}

		@Override
		public void respond(int status, HttpHeaders headers, byte[] body) {
			if (this.failures-- > 0) {
				throw new IllegalArgumentException("header");
			}
			this.statuses.add(status);
		}

		@Override
		public void startStream(int status, HttpHeaders headers) {
			this.statuses.add(status);
		}

		@Override
		public boolean write(byte[] data) {
			return true;
		}

		@Override
		public void endStream() {
			this.statuses.add(0);
		}

		@Override
		public void abort() {
			this.aborted = true;
		}

		@Override
		public void setObserver(@Nullable Observer observer) {
			// The caller stays connected.
		}

	}

}
