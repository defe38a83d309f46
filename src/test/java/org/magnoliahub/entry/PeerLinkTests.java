package org.magnoliahub.entry;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

import io.netty.channel.nio.NioEventLoopGroup;
import io.reactivex.rxjava3.disposables.Disposable;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.magnoliahub.platform.MemberRecord;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against connections to another gateway that stay open although no link uses
 * them.
 */
class PeerLinkTests {

	private static final Duration MAINTENANCE_INTERVAL = Duration.ofMillis(50);

	private final NioEventLoopGroup group = new NioEventLoopGroup(1);

	private final EventLoopTimers timers = new EventLoopTimers(this.group.next(), (failure) -> {
	});

	private final List<Socket> accepted = new CopyOnWriteArrayList<>();

	private ServerSocket server;

	private Disposable maintenance = Disposable.disposed();

	@BeforeEach
	void listen() throws IOException {
		this.server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
		Thread acceptor = new Thread(this::accept);
		acceptor.setDaemon(true);
		acceptor.start();
	}

	private void accept() {
		try {
			while (true) {
				this.accepted.add(this.server.accept());
			}
		}
		catch (IOException ex) {
			// The test has ended.
		}
	}

	@AfterEach
	void close() throws IOException {
		this.server.close();
		for (Socket socket : this.accepted) {
			socket.close();
		}
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	private PeerLink openLink() {
		EntryLog log = new EntryLog(this.timers, (line) -> {
		});
		MemberRecord member = new MemberRecord("silent", "127.0.0.1:" + this.server.getLocalPort(), 1);
		PeerLink link = new PeerLink(this.group, this.timers, log, "self", member, new IgnoringHandler());
		this.maintenance = this.timers.schedulePeriodically(MAINTENANCE_INTERVAL, link::maintain);
		return link;
	}

	private long openConnections() {
		return this.accepted.stream().filter(PeerLinkTests::isOpen).count();
	}

	private static boolean isOpen(Socket socket) {
		try {
			socket.setSoTimeout(20);
			int next = socket.getInputStream().read();
			while (next >= 0) {
				next = socket.getInputStream().read();
			}
			return false;
		}
		catch (SocketTimeoutException ex) {
			return true;
		}
		catch (IOException ex) {
			return false;
		}
	}

	@Test
	void silentPeerGetsAtMostOneOpenConnection() {
		openLink();
		Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> this.accepted.size() >= 4);
		assertThat(openConnections()).isLessThanOrEqualTo(1);
	}

	@Test
	void closedLinkLeavesNoConnectionToASilentPeer() throws Exception {
		PeerLink link = openLink();
		Awaitility.await().atMost(Duration.ofSeconds(10)).until(() -> this.accepted.size() >= 2);
		this.group.next().submit(() -> {
			this.maintenance.dispose();
			link.close();
		}).sync();
		Awaitility.await().atMost(Duration.ofSeconds(2)).until(() -> openConnections() == 0);
	}

	private static final class IgnoringHandler implements PeerLink.Handler {

		@Override
		public void onResult(PeerMessage.Result result) {
		}

		@Override
		public void onConfigurationVersion(PeerLink link, long version) {
		}

		@Override
		public void onConfiguration(String member, byte[] content) {
		}

		@Override
		public void onLost(String member) {
		}

	}

}
