package org.magnoliahub.transport;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.magnoliahub.gateway.AgentConnection;
import org.magnoliahub.model.AttemptId;
import org.magnoliahub.model.AvailabilityZone;
import org.magnoliahub.model.Endpoint;
import org.magnoliahub.model.RequestId;
import org.magnoliahub.protocol.Message;
import org.magnoliahub.protocol.ProtocolVersion;
import org.magnoliahub.time.SchedulerTimerService;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the transport with loopback sockets and virtual time. Only the timeout of
 * {@link #await} uses real time.
 */
class TcpTransportTests {

	private static final AttemptId ATTEMPT = new AttemptId(new RequestId("r"), 0, 1);

	private final TestScheduler scheduler = new TestScheduler();

	private final SimpleMeterRegistry meters = new SimpleMeterRegistry();

	private final Transport transport = Transport.create(this.scheduler, SchedulerTimerService.virtual(this.scheduler),
			this.meters);

	private final List<GatewaySession> sessions = new ArrayList<>();

	private final Queue<Message> received = new ConcurrentLinkedQueue<>();

	private int port;

	@AfterEach
	void closeTransport() {
		this.transport.close();
	}

	static List<Arguments> invalidFrames() throws Exception {
		byte[] hello = frame(MessageCodec.create().encode(hello(1, ProtocolVersion.CURRENT)));
		return List.of(Arguments.of("malformed", frame("text".getBytes(StandardCharsets.UTF_8)), "malformed_frame"),
				Arguments.of("empty", new byte[4], "malformed_frame"),
				Arguments.of("malformed after hello", concat(hello, frame(new byte[] { 1 })), "malformed_frame"),
				Arguments.of("oversized", new byte[] { 0, 16, 0, 1 }, "oversized_frame"),
				Arguments.of("negative length", new byte[] { -1, -1, -1, -1 }, "oversized_frame"),
				Arguments.of("no hello", frame(MessageCodec.create().encode(new Message.Draining(1))), "hello_missing"),
				Arguments.of("other version", frame(MessageCodec.create().encode(hello(1, 99))), "version_mismatch"),
				Arguments.of("valid hello after other version",
						concat(frame(MessageCodec.create().encode(hello(1, 99))), hello), "version_mismatch"));
	}

	// Guards against a peer that sends invalid frames and yet keeps its connection or
	// starts a session.
	@ParameterizedTest(name = "{0}")
	@MethodSource("invalidFrames")
	void invalidFrameClosesConnection(String name, byte[] bytes, String reason) throws Exception {
		startServer(1);
		try (Socket socket = connectSocket()) {
			socket.getOutputStream().write(bytes);
			await(() -> closedConnections(reason) == 1);
			assertThat(isClosedByPeer(socket)).isTrue();
		}
		assertThat(this.received).isEmpty();
	}

	// Guards against closing the connection to a newer peer that sends an unknown message
	// type, and against errors when a frame arrives in several reads.
	@Test
	void unknownTypeIsIgnoredAndPartialFrameIsBuffered() throws Exception {
		startServer(1);
		try (Socket socket = connectSocket()) {
			byte[] bytes = concat(frame(MessageCodec.create().encode(hello(1, ProtocolVersion.CURRENT))),
					concat(frame(MessageCodecTests.encodeMessagePack(Map.of("new_type", Map.of()))),
							frame(MessageCodec.create().encode(new Message.Credit(ATTEMPT, 5)))));
			for (byte part : bytes) {
				socket.getOutputStream().write(part);
			}
			await(() -> this.received.contains(new Message.Credit(ATTEMPT, 5)));
			assertThat(this.meters.counter("magnoliahub.transport.messages.ignored").count()).isEqualTo(1);
			socket.getOutputStream().write(bytes, 0, 3);
		}
		await(() -> closedConnections("peer_closed") == 1);
	}

	// Guards against a gateway that keeps the state of an agent's previous incarnation
	// or does not reconnect after the agent restarts.
	@Test
	void reconnectsToNextIncarnation() throws Exception {
		AgentServer first = startServer(1);
		TcpAgentConnections connections = connections();
		AgentConnection connection = connections.open(endpoint(first.port()));
		List<Boolean> connectionChanges = new ArrayList<>();
		connection.connectionChanges().subscribe(connectionChanges::add);
		assertThat(connection.send(new Message.Cancel(ATTEMPT))).isFalse();
		await(() -> connection.agentHello().isPresent());
		assertThat(connection.agentMillisSeen()).isEqualTo(1_000);
		this.sessions.get(0).send(new Message.LoadReport(1, 2, 5_000));
		await(() -> connection.agentMillisSeen() == 5_000);
		first.close();
		await(() -> connection.agentHello().isEmpty());
		assertThat(connection.agentMillisSeen()).isZero();
		this.scheduler.advanceTimeBy(3, TimeUnit.SECONDS);
		startServer(2, first.port());
		await(() -> {
			this.scheduler.advanceTimeBy(100, TimeUnit.MILLISECONDS);
			return connection.agentHello().filter(hasIncarnation(2)).isPresent();
		});
		assertThat(connection.send(new Message.Cancel(ATTEMPT))).isTrue();
		await(() -> this.received.contains(new Message.Cancel(ATTEMPT)));
		assertThat(connectionChanges).containsExactly(true, false, true);
		connections.closeAll();
	}

	// Guards against closing idle connections and against sending more than one
	// heartbeat per interval: 6 from each side in 65 s.
	@Test
	void idleConnectionStaysOpenWithOneHeartbeatPerInterval() throws Exception {
		AgentServer running = startServer(1);
		AgentConnection connection = connections().open(endpoint(running.port()));
		await(() -> connection.agentHello().isPresent());
		double sent = this.meters.counter("magnoliahub.transport.messages.sent").count();
		for (int second = 0; second < 65; second++) {
			this.scheduler.advanceTimeBy(1, TimeUnit.SECONDS);
			await(() -> this.meters.counter("magnoliahub.transport.messages.sent")
				.count() == this.meters.counter("magnoliahub.transport.messages.received").count());
			this.scheduler.triggerActions();
		}
		assertThat(connection.agentHello()).isPresent();
		assertThat(this.meters.counter("magnoliahub.transport.messages.sent").count() - sent).isEqualTo(12);
	}

	// Guards against keeping connections to peers that disappeared without closing
	// them or that never send a hello message.
	@Test
	void connectionsToUnresponsivePeersAreClosed() throws Exception {
		startServer(1);
		try (Socket withoutHello = connectSocket(); Socket withHello = connectSocket()) {
			withHello.getOutputStream().write(frame(MessageCodec.create().encode(hello(7, ProtocolVersion.CURRENT))));
			await(() -> this.sessions.size() == 1);
			this.scheduler.advanceTimeBy(29, TimeUnit.SECONDS);
			await(() -> closedConnections("handshake_timeout") == 1);
			assertThat(closedConnections("heartbeat_timeout")).isZero();
			this.scheduler.advanceTimeBy(2, TimeUnit.SECONDS);
			await(() -> closedConnections("heartbeat_timeout") == 1);
		}
	}

	// Guards against unbounded memory use when a peer does not read.
	@Test
	void writeBufferIsBounded() throws Exception {
		startServer(1);
		try (Socket socket = connectSocket()) {
			socket.getOutputStream().write(frame(MessageCodec.create().encode(hello(1, ProtocolVersion.CURRENT))));
			await(() -> this.sessions.size() == 1);
			GatewaySession session = this.sessions.get(0);
			String content = "x".repeat(100_000);
			int acceptedChunks = 0;
			while (acceptedChunks < 1_000 && session.send(new Message.Chunk(ATTEMPT, 1, acceptedChunks, content))) {
				acceptedChunks++;
			}
			assertThat(acceptedChunks).isBetween(3, 999);
			assertThat(session.send(new Message.Draining(1))).isTrue();
			assertThat(session
				.send(new Message.Failed(ATTEMPT, 1, "x".repeat(2_000_000), new Message.LoadReport(0, 0, 0))))
				.isFalse();
			int acceptedWithoutChunks = 0;
			while (acceptedWithoutChunks < 1_000
					&& session.send(new Message.Failed(ATTEMPT, 1, content, new Message.LoadReport(0, 0, 0)))) {
				acceptedWithoutChunks++;
			}
			assertThat(acceptedWithoutChunks).isLessThan(1_000);
			await(() -> closedConnections("write_limit") == 1);
		}
	}

	// Guards against an unbounded number of connections.
	@Test
	void connectionsBeyondLimitAreClosed() throws Exception {
		startServer(1);
		List<Socket> sockets = new ArrayList<>();
		for (int i = 0; i < 5; i++) {
			sockets.add(connectSocket());
		}
		await(() -> closedConnections("connection_limit") == 1);
		for (Socket socket : sockets) {
			socket.close();
		}
	}

	private static Predicate<Message.Hello> hasIncarnation(long incarnation) {
		return (hello) -> hello.incarnation() == incarnation;
	}

	private static Message.Hello hello(long incarnation, int version) {
		return new Message.Hello(version, "process", incarnation, "zone", "endpoint", 0, 1_000, false);
	}

	private static Endpoint endpoint(int port) {
		return new Endpoint("endpoint", "pool", new AvailabilityZone("zone"), "127.0.0.1:" + port, true);
	}

	private static byte[] frame(byte[] content) {
		return ByteBuffer.allocate(content.length + 4).putInt(content.length).put(content).array();
	}

	private static byte[] concat(byte[] left, byte[] right) {
		return ByteBuffer.allocate(left.length + right.length).put(left).put(right).array();
	}

	private static boolean isClosedByPeer(Socket socket) {
		try {
			socket.setSoTimeout(5_000);
			return new DataInputStream(socket.getInputStream()).readAllBytes().length >= 0;
		}
		catch (SocketTimeoutException ex) {
			return false;
		}
		catch (IOException ex) {
			// The peer closed the connection by a reset.
			return true;
		}
	}

	private AgentServer startServer(long incarnation) throws IOException {
		return startServer(incarnation, 0);
	}

	private AgentServer startServer(long incarnation, int port) throws IOException {
		AgentServer started = AgentServer.start(this.transport,
				new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 4,
				() -> hello(incarnation, ProtocolVersion.CURRENT), () -> new Message.LoadReport(0, 0, 0), (session) -> {
					this.sessions.add(session);
					session.messages().subscribe(this.received::add);
				});
		this.port = started.port();
		return started;
	}

	private TcpAgentConnections connections() {
		return TcpAgentConnections.create(this.transport, () -> hello(9, ProtocolVersion.CURRENT),
				() -> new Message.ConfigurationChanges(0, List.of()), new Random(1));
	}

	private Socket connectSocket() throws IOException {
		Socket socket = new Socket();
		socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), this.port));
		return socket;
	}

	private double closedConnections(String reason) {
		return this.meters.counter("magnoliahub.transport.connections.closed", "reason", reason).count();
	}

	private void await(Callable<Boolean> condition) {
		Awaitility.await()
			.pollInSameThread()
			.pollInterval(Duration.ofMillis(2))
			.atMost(Duration.ofSeconds(20))
			.until(() -> {
				this.scheduler.triggerActions();
				return condition.call();
			});
	}

}
