package org.magnoliahub.transport;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.MemoryMXBean;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicInteger;

import com.sun.management.OperatingSystemMXBean;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.schedulers.Schedulers;
import org.magnoliahub.gateway.AgentConnection;
import org.magnoliahub.model.AttemptId;
import org.magnoliahub.model.AvailabilityZone;
import org.magnoliahub.model.Endpoint;
import org.magnoliahub.model.RequestId;
import org.magnoliahub.protocol.Message;
import org.magnoliahub.protocol.ProtocolVersion;
import org.magnoliahub.time.SchedulerTimerService;

/**
 * Measures heap use, transferred bytes and CPU time of loopback connections. Both ends of
 * each connection are in this process, so each figure per connection covers a gateway's
 * side and an agent's side.
 */
public final class TransportMeasurement {

	private static final int IDLE_SECONDS = 30;

	private static final int MESSAGES = 200_000;

	private static final int WARM_UP_MESSAGES = 100_000;

	private static final int BATCH_MESSAGES = 50;

	private static final OperatingSystemMXBean OPERATING_SYSTEM = (OperatingSystemMXBean) ManagementFactory
		.getOperatingSystemMXBean();

	private final SimpleMeterRegistry meters = new SimpleMeterRegistry();

	private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();

	private final Scheduler eventLoop = Schedulers.from(this.executor);

	private final Transport transport = Transport.create(this.eventLoop,
			SchedulerTimerService.of(this.eventLoop, System::nanoTime), this.meters);

	private final AtomicInteger messagesReceived = new AtomicInteger();

	private TransportMeasurement() {
	}

	/**
	 * Measures 50, 200 and 800 connections and prints one line for each.
	 * @param arguments not used
	 * @throws Exception if a measurement fails
	 */
	public static void main(String[] arguments) throws Exception {
		System.out.println("connections | heap bytes each | idle bytes/s each | idle processor us/s each "
				+ "| bytes per message | processor us per message");
		// Warms up the JVM; these figures are not printed.
		new TransportMeasurement().measure(50, 1);
		for (int connections : new int[] { 50, 200, 800 }) {
			System.out.println(new TransportMeasurement().measure(connections, IDLE_SECONDS));
		}
	}

	private String measure(int connectionCount, int idleSeconds) throws Exception {
		AgentServer server = startServer();
		TcpAgentConnections connections = TcpAgentConnections.create(this.transport, TransportMeasurement::hello,
				() -> new Message.ConfigurationChanges(1, List.of()), new Random(1));
		open(connections, server, "warm-up");
		// Waits until the threads of the previous measurement have ended.
		Thread.sleep(3_000);
		long heapBefore = usedHeap();
		List<AgentConnection> measured = new ArrayList<>();
		for (int i = 0; i < connectionCount; i++) {
			measured.add(open(connections, server, "endpoint-" + i));
		}
		long heapPerConnection = (usedHeap() - heapBefore) / connectionCount;
		Sample beforeIdle = Sample.take(this.meters);
		Thread.sleep(Duration.ofSeconds(idleSeconds).toMillis());
		Sample afterIdle = Sample.take(this.meters);
		sendAll(measured, WARM_UP_MESSAGES);
		Sample beforeMessages = Sample.take(this.meters);
		sendAll(measured, MESSAGES);
		Sample afterMessages = Sample.take(this.meters);
		double connectionSeconds = (double) idleSeconds * connectionCount;
		String line = String.format("%d | %d | %.1f | %.1f | %.1f | %.2f", connectionCount, heapPerConnection,
				(afterIdle.bytes - beforeIdle.bytes) / connectionSeconds,
				(afterIdle.cpuMicros - beforeIdle.cpuMicros) / connectionSeconds,
				(afterMessages.bytes - beforeMessages.bytes) / (afterMessages.messages - beforeMessages.messages),
				(afterMessages.cpuMicros - beforeMessages.cpuMicros)
						/ (afterMessages.messages - beforeMessages.messages));
		this.eventLoop.scheduleDirect(connections::closeAll);
		Thread.sleep(500);
		server.close();
		this.transport.close();
		this.executor.shutdownNow();
		return line;
	}

	private AgentServer startServer() throws IOException {
		return AgentServer.start(this.transport, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1_000,
				TransportMeasurement::hello, () -> new Message.LoadReport(3, 2, System.nanoTime() / 1_000_000),
				(session) -> session.messages().subscribe((message) -> this.messagesReceived.incrementAndGet()));
	}

	private AgentConnection open(TcpAgentConnections connections, AgentServer server, String name)
			throws InterruptedException {
		Endpoint endpoint = new Endpoint(name, "pool", new AvailabilityZone("zone"), "127.0.0.1:" + server.port(),
				true);
		AgentConnection connection = callOnEventLoop(() -> connections.open(endpoint));
		while (callOnEventLoop(() -> connection.agentHello().isEmpty())) {
			Thread.sleep(1);
		}
		return connection;
	}

	private void sendAll(List<AgentConnection> connections, int count) throws InterruptedException {
		Message message = new Message.Chunk(new AttemptId(new RequestId("3f1c2a9e-0b7d-4c55-9a51-7d2a6f0e8b13"), 2, 1),
				1_764_800_000_000L, 17, " token");
		int start = this.messagesReceived.get();
		for (int sent = 0; sent < count; sent += BATCH_MESSAGES) {
			int offset = sent;
			callOnEventLoop(() -> {
				for (int i = 0; i < BATCH_MESSAGES; i++) {
					connections.get((offset + i) % connections.size()).send(message);
				}
				return true;
			});
			// Keeps the unsent output below Transport.CHUNK_WRITE_LIMIT_BYTES, so that no
			// chunk is refused.
			while (this.messagesReceived.get() - start < sent - 20 * BATCH_MESSAGES) {
				Thread.sleep(1);
			}
		}
		while (this.messagesReceived.get() - start < count) {
			Thread.sleep(1);
		}
	}

	private <T> T callOnEventLoop(Callable<T> task) {
		return Single.fromCallable(task).subscribeOn(this.eventLoop).blockingGet();
	}

	private static Message.Hello hello() {
		return new Message.Hello(ProtocolVersion.CURRENT, "process", 1, "zone", "endpoint", 1, 1, false);
	}

	private static long usedHeap() throws InterruptedException {
		MemoryMXBean memory = ManagementFactory.getMemoryMXBean();
		for (int i = 0; i < 3; i++) {
			System.gc();
			Thread.sleep(100);
		}
		return memory.getHeapMemoryUsage().getUsed();
	}

	private record Sample(double bytes, double messages, double cpuMicros) {

		static Sample take(SimpleMeterRegistry meters) {
			return new Sample(meters.counter("magnoliahub.transport.bytes.sent").count(),
					meters.counter("magnoliahub.transport.messages.sent").count(),
					OPERATING_SYSTEM.getProcessCpuTime() / 1_000.0);
		}

	}

}
