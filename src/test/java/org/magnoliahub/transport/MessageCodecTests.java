package org.magnoliahub.transport;

import java.lang.reflect.RecordComponent;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.ObjectMapper;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.magnoliahub.model.AttemptId;
import org.magnoliahub.model.RequestId;
import org.magnoliahub.model.StageCall;
import org.magnoliahub.model.StageOutput;
import org.magnoliahub.model.StageType;
import org.magnoliahub.protocol.Message;
import org.msgpack.jackson.dataformat.MessagePackFactory;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Tests that messages keep their content on the wire and that the decoder rejects invalid
 * input.
 */
class MessageCodecTests {

	private final MessageCodec codec = MessageCodec.create();

	// Guards against fields that encoding or decoding loses or changes, for all message
	// types and arbitrary values.
	@Property(tries = 500)
	void decodingAnEncodedMessageReturnsIt(@ForAll("messages") Message message) throws Exception {
		assertThat(this.codec.decode(this.codec.encode(message))).contains(message);
	}

	// Guards against a truncated frame that is decoded as a message or causes an
	// exception that the caller does not handle.
	@Property(tries = 300)
	void truncatedFramesAreMalformed(@ForAll("messages") Message message, @ForAll int cut) {
		byte[] frame = this.codec.encode(message);
		byte[] truncated = Arrays.copyOf(frame, Math.floorMod(cut, frame.length));
		assertThatExceptionOfType(MalformedFrameException.class).isThrownBy(() -> this.codec.decode(truncated));
	}

	// Guards against a new message type that is not registered with the codec.
	@Test
	void everyMessageTypeHasAWireName() {
		assertThat(MessageCodec.TYPES_BY_NAME.values())
			.containsExactlyInAnyOrderElementsOf(concreteTypes(Message.class).distinct().toList());
	}

	// Guards against connections that fail because a newer peer sends a field or message
	// type unknown to this build, or an older peer omits a field.
	@Test
	void unknownFieldsAreIgnoredAndMissingNumbersAreZero() throws Exception {
		assertThat(this.codec
			.decode(encodeMessagePack(Map.of("load_report", Map.of("running", 3, "new_field", List.of(1))))))
			.contains(new Message.LoadReport(3, 0, 0));
		assertThat(this.codec.decode(encodeMessagePack(Map.of("new_type", Map.of("a", 1))))).isEmpty();
	}

	static List<Object> malformed() {
		return List.of(List.of(), "text", 7, Map.of(), Map.of("hello", 1),
				Map.of("load_report", Map.of("running", "x")), Map.of("cancel", Map.of()),
				Map.of("draining", Map.of(), "cancel", Map.of()),
				Map.of("cancel", Map.of("attempt", Map.of("request", Map.of("value", ""), "stage", 0, "attempt", 1))));
	}

	// Guards against messages with null components or with values that their records
	// forbid.
	@ParameterizedTest
	@MethodSource("malformed")
	void contentOtherThanAMessageIsMalformed(Object content) {
		assertThatExceptionOfType(MalformedFrameException.class)
			.isThrownBy(() -> this.codec.decode(encodeMessagePack(content)));
	}

	static byte[] encodeMessagePack(Object content) throws Exception {
		return new ObjectMapper(new MessagePackFactory()).writeValueAsBytes(content);
	}

	@SuppressWarnings("unchecked")
	private static Stream<Class<? extends Message>> concreteTypes(Class<?> sealed) {
		return Arrays.stream(sealed.getPermittedSubclasses())
			.flatMap((type) -> type.isRecord() ? Stream.of((Class<? extends Message>) type) : concreteTypes(type));
	}

	@Provide
	Arbitrary<Message> messages() {
		return Arbitraries.of(MessageCodec.TYPES_BY_NAME.values())
			.flatMap((type) -> recordOf(type).map(Message.class::cast));
	}

	private static Arbitrary<?> recordOf(Class<?> type) {
		RecordComponent[] components = type.getRecordComponents();
		Arbitrary<List<Object>> arguments = Combinators
			.combine(Arrays.stream(components)
				.map((component) -> valueOf(component).map((value) -> (Object) value))
				.toList())
			.as((values) -> values);
		Class<?>[] types = Arrays.stream(components).map(RecordComponent::getType).toArray(Class[]::new);
		return arguments.map((values) -> {
			try {
				return type.getDeclaredConstructor(types).newInstance(values.toArray());
			}
			catch (ReflectiveOperationException ex) {
				throw new IllegalStateException(ex);
			}
		});
	}

	private static Arbitrary<?> valueOf(RecordComponent component) {
		Class<?> type = component.getType();
		if (type == int.class) {
			return Arbitraries.integers();
		}
		if (type == long.class) {
			return Arbitraries.longs();
		}
		if (type == boolean.class) {
			return Arbitraries.of(true, false);
		}
		if (type == String.class) {
			return Arbitraries.strings().ofMaxLength(300);
		}
		if (type == AttemptId.class) {
			return attempts();
		}
		if (type == StageOutput.class) {
			return stageOutputs();
		}
		if (type == StageCall.class) {
			return stageCalls();
		}
		if (type == List.class) {
			return Arbitraries.strings().ofMaxLength(40).list().ofMaxSize(20);
		}
		return type.isEnum() ? Arbitraries.of(type.getEnumConstants()) : recordOf(type);
	}

	private static Arbitrary<AttemptId> attempts() {
		return Arbitraries.strings()
			.alpha()
			.ofMinLength(1)
			.ofMaxLength(RequestId.MAXIMUM_LENGTH)
			.map((id) -> new AttemptId(new RequestId(id), id.length() % 16, id.length()));
	}

	private static Arbitrary<StageOutput> stageOutputs() {
		return Arbitraries.strings()
			.ofMaxLength(70_000)
			.map((content) -> new StageOutput("stage", content, content.length(), Long.MAX_VALUE));
	}

	private static Arbitrary<StageCall> stageCalls() {
		return stageOutputs().list()
			.ofMaxSize(3)
			.map((previous) -> new StageCall("stage", StageType.RERANK, "/path", "workspace", "{}", previous,
					(previous.size() == 2) ? Optional.empty() : Optional.of("key"),
					(previous.size() == 1) ? Optional.empty() : Optional.of(new AttemptId(new RequestId("r"), 0, 1))));
	}

}
