package org.magnoliahub.entry;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.magnoliahub.placement.AllowedZones;
import org.magnoliahub.serving.PieceFailure;
import org.magnoliahub.serving.PieceResult;
import org.magnoliahub.serving.PieceTimes;
import org.magnoliahub.serving.StageLoad;
import org.magnoliahub.serving.ZonePreference;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against messages that change when they are encoded and decoded, and against
 * frames of other processes that cause unexpected exceptions.
 */
class PeerCodecTests {

	static Stream<PeerMessage> messages() {
		return Stream.of(new PeerMessage.Hello("a"), new PeerMessage.Heartbeat(Map.of("s", new StageLoad(12, 4, 3)), 7),
				new PeerMessage.ConfigurationRequest(),
				new PeerMessage.Submit("s", 1, "r", 2, List.of(0, 3), "k", List.of(), false, 800, -5, 900, 1,
						new ZonePreference("z", 9)),
				new PeerMessage.Submit("s", 1, "r", 2, List.of(0), null, List.of("a/b", "c/d"), true, 800, 5, 900, 1,
						new ZonePreference("", 0)),
				new PeerMessage.Submit("s", 1, "r", 2, List.of(0), "k", List.of(), false, 800, 5, 900, 1,
						ZonePreference.NONE, new AllowedZones(Set.of("z1", "z2"))),
				new PeerMessage.Submit("s", 1, "r", 2, List.of(0), "k", List.of(), false, 800, 5, 900, 1,
						ZonePreference.NONE, new AllowedZones(Set.of())),
				new PeerMessage.Result("s", 4, 5, new PieceResult("a/b", "z", null, new PieceTimes(1, 2, 3))),
				new PeerMessage.Result("s", 4, 5, PieceResult.failed(PieceFailure.LATE)),
				new PeerMessage.Cancel("s", 9), new PeerMessage.Announce("s", "r", 2, 8, 60, 900),
				new PeerMessage.Release("s", List.of("a/b")));
	}

	@ParameterizedTest
	@MethodSource("messages")
	void decodedMessageEqualsTheEncodedOne(PeerMessage message) throws IOException {
		assertThat(PeerCodec.decode(PeerCodec.encode(message))).isEqualTo(message);
	}

	@Test
	void configurationKeepsItsBytes() throws IOException {
		byte[] content = { 1, -2, 0 };
		PeerMessage decoded = PeerCodec.decode(PeerCodec.encode(new PeerMessage.Configuration(content)));
		assertThat(decoded).isInstanceOfSatisfying(PeerMessage.Configuration.class,
				(configuration) -> assertThat(configuration.content()).isEqualTo(content));
	}

	/**
	 * Guards against a configuration of many routes that no other gateway can pass on.
	 */
	@Test
	void largeConfigurationKeepsItsBytesInASmallMessage() throws IOException {
		byte[] content = "{\"name\":\"r-1\",\"host\":\"a.example\",\"prefix\":\"/p/\"},".repeat(20_000)
			.getBytes(StandardCharsets.UTF_8);
		byte[] message = PeerCodec.encode(new PeerMessage.Configuration(content));
		assertThat(message).hasSizeLessThan(content.length / 10);
		assertThat(PeerCodec.decode(message)).isInstanceOfSatisfying(PeerMessage.Configuration.class,
				(configuration) -> assertThat(configuration.content()).isEqualTo(content));
	}

	@Test
	void configurationThatExpandsBeyondTheLimitIsRejected() {
		byte[] message = PeerCodec.encode(new PeerMessage.Configuration(new byte[16_777_216]));
		assertThatExceptionOfType(IOException.class).isThrownBy(() -> PeerCodec.decode(message));
	}

	@Test
	void heartbeatOfAnEarlierVersionStatesNoConfiguration() throws IOException {
		byte[] withoutVersion = { 2, (byte) 0x80 };
		assertThat(PeerCodec.decode(withoutVersion)).isEqualTo(new PeerMessage.Heartbeat(Map.of(), 0));
	}

	@Property(tries = 2_000)
	void malformedBytesCauseOnlyIoExceptions(@ForAll byte[] bytes) {
		try {
			PeerCodec.decode(bytes);
		}
		catch (IOException ex) {
			assertThat(ex).hasMessageNotContaining("null");
		}
	}

}
