package org.magnoliahub.entry;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.regex.Pattern;

import org.awaitility.Awaitility;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.magnoliahub.platform.MemberRecord;
import org.magnoliahub.platform.StoreFormat;
import org.magnoliahub.platform.emulator.RawServer;
import org.magnoliahub.platform.emulator.StageEmulator;
import org.magnoliahub.serving.PieceResult;
import org.magnoliahub.serving.RendezvousHash;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against results of an owner of a stage queue that is lost, or was the owner
 * beside another one, which come after the pieces were submitted again.
 */
class LostOwnerTests {

	private static final String SELF = "gateway-0";

	private static final String[] STAGE_HEADERS = { "Pieces: 2,2", "Piece-Key: k1" };

	/**
	 * Longer than a lost link needs to open again, and shorter than the timeout of a
	 * call.
	 */
	private static final long HOLD_MILLIS = 400;

	private final StageEmulator stages = new StageEmulator(20, 2);

	private final List<PeerMessage.Submit> submitted = new CopyOnWriteArrayList<>();

	private final List<String> released = new CopyOnWriteArrayList<>();

	private final List<String> inputs = new CopyOnWriteArrayList<>();

	private EntryFixture fixture;

	private ServerSocket owner;

	private String lateHandle = "";

	private volatile Moment lateResult = Moment.BEFORE_OTHERS;

	@BeforeEach
	void start() throws Exception {
		this.owner = new ServerSocket(0, 10, InetAddress.getByName("127.0.0.1"));
		Thread acceptor = new Thread(this::accept);
		acceptor.setDaemon(true);
		this.fixture = new EntryFixture();
		this.fixture.putConfiguration(1);
		String name = ownerName();
		MemberRecord row = new MemberRecord(name, "127.0.0.1:" + this.owner.getLocalPort(), 1);
		this.fixture.store.put(StoreFormat.MEMBER_TABLE, name, new String(row.encode(), StandardCharsets.UTF_8));
		RawServer read = this.fixture.addEndpoint("read-1", "read", this::read);
		this.lateHandle = read.address() + "/r1-0-late";
		this.fixture.addEndpoint("rank-1", "rank", this.stages.handler());
		this.fixture.addEndpoint("model-1", "model", (request, socket) -> {
			this.inputs.add(request.header("Inputs"));
			RawServer.write(socket,
					EntryFixture.streamHead(request) + EntryFixture.chunk(EntryFixture.event(1)) + "0\r\n\r\n");
		});
		acceptor.start();
		this.fixture.addGateway();
		this.fixture.awaitReady(0);
		this.fixture.awaitEndpoints();
		Awaitility.await().until(() -> this.fixture.log().contains("\"state\":\"open\""));
	}

	@AfterEach
	void stop() throws IOException {
		this.owner.close();
		this.fixture.close();
	}

	private static String ownerName() {
		int number = 1;
		while (!isOwner("owner-" + number, "read") || !isOwner("owner-" + number, "rank")) {
			number++;
		}
		return "owner-" + number;
	}

	private static boolean isOwner(String name, String service) {
		return RendezvousHash.rank(service, List.of(SELF, name)).get(0).equals(name);
	}

	private void read(RawServer.Request request, Socket socket) throws IOException {
		if (request.target().equals("/api/stage-free")) {
			this.released.add(request.body());
		}
		else if (this.lateResult == Moment.BEFORE_OTHERS) {
			EntryFixture.pause(HOLD_MILLIS);
		}
		this.stages.handler().handle(request, socket);
	}

	private void accept() {
		try {
			while (true) {
				Socket link = this.owner.accept();
				Thread thread = new Thread(() -> serve(link));
				thread.setDaemon(true);
				thread.start();
			}
		}
		catch (IOException ex) {
			// The test has ended.
		}
	}

	// Reports itself, and is lost with each submission. When it is back, it sends the
	// result of the first one.
	private void serve(Socket link) {
		try (link) {
			DataInputStream input = new DataInputStream(link.getInputStream());
			DataOutputStream output = new DataOutputStream(link.getOutputStream());
			receive(input);
			send(output, new PeerMessage.Heartbeat(Map.of(), 1));
			if (!this.submitted.isEmpty()) {
				awaitMoment();
				PeerMessage.Submit first = this.submitted.get(0);
				send(output, new PeerMessage.Result(first.service(), first.jobId(), 0,
						new PieceResult(this.lateHandle, "z1", null)));
			}
			while (true) {
				PeerMessage message = receive(input);
				if (message instanceof PeerMessage.Submit submit) {
					this.submitted.add(submit);
					return;
				}
				if (message instanceof PeerMessage.Release release) {
					this.released.addAll(release.handles());
				}
			}
		}
		catch (IOException ex) {
			// The gateway has closed the link.
		}
	}

	private void awaitRelease(String handle) {
		Pattern pattern = Pattern.compile(handle);
		Awaitility.await()
			.atMost(Duration.ofSeconds(5))
			.until(() -> this.released.stream().anyMatch((handles) -> pattern.matcher(handles).find()));
	}

	private void awaitMoment() {
		if (this.lateResult == Moment.AFTER_REQUEST) {
			Awaitility.await().until(() -> !this.inputs.isEmpty());
			EntryFixture.pause(HOLD_MILLIS / 4);
		}
	}

	private static void send(DataOutputStream output, PeerMessage message) throws IOException {
		byte[] bytes = PeerCodec.encode(message);
		output.writeInt(bytes.length);
		output.write(bytes);
		output.flush();
	}

	private static @Nullable PeerMessage receive(DataInputStream input) throws IOException {
		byte[] frame = new byte[input.readInt()];
		input.readFully(frame);
		return PeerCodec.decode(frame);
	}

	@Test
	void resultThatComesAfterItsRequestIsReleased() throws Exception {
		this.lateResult = Moment.AFTER_REQUEST;
		assertThat(this.fixture.send("POST", "/staged/1", "r1", STAGE_HEADERS).body()).isEqualTo(EntryFixture.event(1));
		assertThat(this.submitted).isNotEmpty();
		awaitRelease(this.lateHandle);
		assertThat(this.inputs).singleElement().satisfies((used) -> assertThat(used).doesNotContain("late"));
		assertThat(this.stages.faults()).isEmpty();
	}

	/**
	 * Guards against a result that holds room at its endpoint until it expires, because
	 * the lost owner has delivered another one of the same piece.
	 */
	@Test
	void secondResultOfAPieceIsReleased() throws Exception {
		assertThat(this.fixture.send("POST", "/staged/1", "r1", STAGE_HEADERS).body()).isEqualTo(EntryFixture.event(1));
		// The result of the lost owner is used, and the other one is named by a number.
		awaitRelease(this.lateHandle);
		awaitRelease(this.lateHandle.replace("late", "") + "[0-9]");
		assertThat(this.stages.faults()).isEmpty();
	}

	private enum Moment {

		BEFORE_OTHERS, AFTER_REQUEST

	}

}
