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
 * Measures memory, bytes and processor time of connections on loopback. Both ends of each
 * connection are in this process, so that each figure per connection covers a gateway's
 * end and an agent's end.
 */
public final class TransportMeasurement {

	private static final int IDLE_SECONDS = 30;

	private static final int MESSAGES = 200_000;

	private static final int WARM_UP_MESSAGES = 100_000;

	private static final int BATCH = 50;

	private static final OperatingSystemMXBean PROCESS = (OperatingSystemMXBean) ManagementFactory
		.getOperatingSystemMXBean();

	private final SimpleMeterRegistry meters = new SimpleMeterRegistry();

	private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();

	private final Scheduler loop = Schedulers.from(this.executor);

	private final Transport transport = Transport.create(this.loop,
			SchedulerTimerService.of(this.loop, System::nanoTime), this.meters);

	private final AtomicInteger received = new AtomicInteger();

	private TransportMeasurement() {
	}

	/**
	 * Runs the measurement with 50, 200 and 800 connections.
	 * @param arguments none
	 * @throws Exception if it fails
	 */
	public static void main(String[] arguments) throws Exception {
		System.out.println("connections | heap bytes each | idle bytes/s each | idle processor us/s each "
				+ "| bytes per message | processor us per message");
		// The first round loads classes and compiles code; its figures are not printed.
		new TransportMeasurement().measure(50, 1);
		for (int connections : new int[] { 50, 200, 800 }) {
			System.out.println(new TransportMeasurement().measure(connections, IDLE_SECONDS));
		}
	}

	private String measure(int count, int idleSeconds) throws Exception {
		AgentServer server = startServer();
		TcpAgentConnections connections = TcpAgentConnections.create(this.transport, TransportMeasurement::hello,
				() -> new Message.ConfigurationChanges(1, List.of()), new Random(1));
		open(connections, server, "warm-up");
		// Lets the threads of the previous round end.
		Thread.sleep(3_000);
		long heap = usedHeap();
		List<AgentConnection> opened = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			opened.add(open(connections, server, "endpoint-" + i));
		}
		long heapEach = (usedHeap() - heap) / count;
		Sample idle = Sample.take(this.meters);
		Thread.sleep(Duration.ofSeconds(idleSeconds).toMillis());
		Sample afterIdle = Sample.take(this.meters);
		sendAll(opened, WARM_UP_MESSAGES);
		Sample beforeMessages = Sample.take(this.meters);
		sendAll(opened, MESSAGES);
		Sample afterMessages = Sample.take(this.meters);
		double perConnection = (double) idleSeconds * count;
		String line = String.format("%d | %d | %.1f | %.1f | %.1f | %.2f", count, heapEach,
				(afterIdle.bytes - idle.bytes) / perConnection, (afterIdle.cpuMicros - idle.cpuMicros) / perConnection,
				(afterMessages.bytes - beforeMessages.bytes) / (afterMessages.messages - beforeMessages.messages),
				(afterMessages.cpuMicros - beforeMessages.cpuMicros)
						/ (afterMessages.messages - beforeMessages.messages));
		this.loop.scheduleDirect(connections::closeAll);
		Thread.sleep(500);
		server.close();
		this.transport.close();
		this.executor.shutdownNow();
		return line;
	}

	private AgentServer startServer() throws IOException {
		return AgentServer.start(this.transport, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1_000,
				TransportMeasurement::hello, () -> new Message.LoadReport(3, 2, System.nanoTime() / 1_000_000),
				(session) -> session.messages().subscribe((message) -> this.received.incrementAndGet()));
	}

	private AgentConnection open(TcpAgentConnections connections, AgentServer server, String name)
			throws InterruptedException {
		Endpoint endpoint = new Endpoint(name, "pool", new AvailabilityZone("zone"), "127.0.0.1:" + server.port(),
				true);
		AgentConnection connection = onLoop(() -> connections.open(endpoint));
		while (onLoop(() -> connection.agentHello().isEmpty())) {
			Thread.sleep(1);
		}
		return connection;
	}

	private void sendAll(List<AgentConnection> connections, int count) throws InterruptedException {
		Message message = new Message.Chunk(new AttemptId(new RequestId("3f1c2a9e-0b7d-4c55-9a51-7d2a6f0e8b13"), 2, 1),
				1_764_800_000_000L, 17, " token");
		int start = this.received.get();
		for (int sent = 0; sent < count; sent += BATCH) {
			int offset = sent;
			onLoop(() -> {
				for (int i = 0; i < BATCH; i++) {
					connections.get((offset + i) % connections.size()).send(message);
				}
				return true;
			});
			// Keeps the write buffers below the limit for chunks.
			while (this.received.get() - start < sent - 20 * BATCH) {
				Thread.sleep(1);
			}
		}
		while (this.received.get() - start < count) {
			Thread.sleep(1);
		}
	}

	private <T> T onLoop(Callable<T> task) {
		return Single.fromCallable(task).subscribeOn(this.loop).blockingGet();
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
					PROCESS.getProcessCpuTime() / 1_000.0);
		}

	}

}
