package org.magnoliahub.transport;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import org.magnoliahub.protocol.Message;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes a message as a MessagePack map with a single entry, from the name of the
 * message type to a map of the message's fields. Unknown types and fields are ignored and
 * missing numbers are read as 0, so that peers of different builds can communicate. A
 * message without a required text or record is malformed.
 */
public final class MessageCodec {

	/** Maximum size of a frame without its length prefix, in bytes. */
	public static final int MAXIMUM_FRAME_BYTES = 1024 * 1024;

	static final Map<String, Class<? extends Message>> TYPES_BY_NAME = Map.ofEntries(
			Map.entry("hello", Message.Hello.class), Map.entry("execute", Message.Execute.class),
			Map.entry("chunk", Message.Chunk.class), Map.entry("completed", Message.Completed.class),
			Map.entry("failed", Message.Failed.class), Map.entry("rejected", Message.Rejected.class),
			Map.entry("cancel", Message.Cancel.class), Map.entry("revoke", Message.Revoke.class),
			Map.entry("revoke_result", Message.RevokeResult.class), Map.entry("load_report", Message.LoadReport.class),
			Map.entry("draining", Message.Draining.class),
			Map.entry("configuration_changes", Message.ConfigurationChanges.class),
			Map.entry("credit", Message.Credit.class), Map.entry("control", Message.Control.class),
			Map.entry("control_result", Message.ControlResult.class));

	private static final Map<Class<? extends Message>, String> NAMES_BY_TYPE = TYPES_BY_NAME.entrySet()
		.stream()
		.collect(Collectors.toUnmodifiableMap(Map.Entry::getValue, Map.Entry::getKey));

	private final ObjectMapper mapper;

	private MessageCodec(ObjectMapper mapper) {
		this.mapper = mapper;
	}

	/**
	 * Creates a codec.
	 * @return the codec, which is thread-safe
	 */
	public static MessageCodec create() {
		ObjectMapper mapper = new ObjectMapper(new MessagePackFactory());
		mapper.registerModule(new Jdk8Module());
		mapper.setDefaultPropertyInclusion(JsonInclude.Include.NON_ABSENT);
		mapper.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
		mapper.enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES);
		return new MessageCodec(mapper);
	}

	/**
	 * Encodes a message.
	 * @param message the message
	 * @return the frame without its length prefix; the caller must check that it does not
	 * exceed {@link #MAXIMUM_FRAME_BYTES}
	 * @throws IllegalArgumentException if the type of the message is not registered
	 */
	public byte[] encode(Message message) {
		String name = NAMES_BY_TYPE.get(message.getClass());
		if (name == null) {
			throw new IllegalArgumentException("no wire name for message type " + message.getClass());
		}
		ByteArrayOutputStream buffer = new ByteArrayOutputStream(256);
		try (JsonGenerator generator = this.mapper.createGenerator(buffer)) {
			generator.writeStartObject();
			generator.writeFieldName(name);
			this.mapper.writeValue(generator, message);
			generator.writeEndObject();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return buffer.toByteArray();
	}

	/**
	 * Decodes a frame.
	 * @param frame the frame without its length prefix
	 * @return the message, empty if its type is unknown to this build
	 * @throws MalformedFrameException if the frame does not contain a valid message
	 */
	Optional<Message> decode(byte[] frame) throws MalformedFrameException {
		try (JsonParser parser = this.mapper.createParser(frame)) {
			require(parser.nextToken() == JsonToken.START_OBJECT, "frame is not a MessagePack map");
			require(parser.nextToken() == JsonToken.FIELD_NAME, "frame has no message type");
			Class<? extends Message> type = TYPES_BY_NAME.get(parser.currentName());
			require(parser.nextToken() == JsonToken.START_OBJECT, "message is not a MessagePack map");
			if (type == null) {
				return Optional.empty();
			}
			Message message = this.mapper.readValue(parser, type);
			require(parser.nextToken() == JsonToken.END_OBJECT, "frame contains more than one message");
			require(parser.currentLocation().getByteOffset() == frame.length,
					"frame has trailing bytes after the message");
			return Optional.of(message);
		}
		catch (IOException | RuntimeException ex) {
			// Unchecked exceptions come from the MessagePack library for some truncated
			// input, and from records that validate their components.
			throw new MalformedFrameException(String.valueOf(ex.getMessage()));
		}
	}

	private static void require(boolean condition, String message) throws MalformedFrameException {
		if (!condition) {
			throw new MalformedFrameException(message);
		}
	}

}
