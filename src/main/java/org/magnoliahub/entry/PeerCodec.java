package org.magnoliahub.entry;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.magnoliahub.placement.AllowedZones;
import org.magnoliahub.serving.PieceFailure;
import org.magnoliahub.serving.PieceResult;
import org.magnoliahub.serving.PieceTimes;
import org.magnoliahub.serving.StageLoad;
import org.magnoliahub.serving.ZonePreference;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes the messages between gateways in MessagePack: a type number, then the fields in
 * declaration order.
 */
final class PeerCodec {

	private static final int HELLO = 1;

	private static final int HEARTBEAT = 2;

	private static final int SUBMIT = 3;

	private static final int RESULT = 4;

	private static final int CANCEL = 5;

	private static final int RELEASE = 6;

	private static final int ANNOUNCE = 7;

	private static final int CONFIGURATION_REQUEST = 8;

	private static final int CONFIGURATION = 9;

	private static final int COMPRESSED_CONFIGURATION = 10;

	private static final int MAXIMUM_ITEMS = 10_000;

	/** A larger message on a slow link would delay heartbeats and results of stages. */
	private static final int MAXIMUM_CONFIGURATION_BYTES = 262_144;

	/** Below this size, compression saves nothing that matters. */
	private static final int MINIMUM_COMPRESSED_BYTES = 65_536;

	/** A configuration of 14,000 routes takes about 6 MB. */
	private static final int MAXIMUM_RESTORED_BYTES = 12_582_912;

	private PeerCodec() {
	}

	static byte[] encode(PeerMessage message) {
		try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
			pack(packer, message);
			return packer.toByteArray();
		}
		catch (IOException ex) {
			throw new UncheckedIOException("writing to memory failed", ex);
		}
	}

	private static void pack(MessageBufferPacker packer, PeerMessage message) throws IOException {
		if (message instanceof PeerMessage.Hello hello) {
			packer.packInt(HELLO).packString(hello.member());
		}
		else if (message instanceof PeerMessage.Heartbeat heartbeat) {
			packer.packInt(HEARTBEAT).packMapHeader(heartbeat.loads().size());
			for (Map.Entry<String, StageLoad> load : heartbeat.loads().entrySet()) {
				packer.packString(load.getKey());
				packer.packLong(load.getValue().waitMillis()).packLong(load.getValue().capacityWaitMillis());
				packer.packLong(load.getValue().pausedMillis());
			}
			packer.packLong(heartbeat.configurationVersion());
		}
		else if (message instanceof PeerMessage.Submit submit) {
			packer.packInt(SUBMIT).packString(submit.service()).packLong(submit.jobId());
			packer.packString(submit.requestId()).packInt(submit.stage()).packArrayHeader(submit.pieces().size());
			for (int piece : submit.pieces()) {
				packer.packInt(piece);
			}
			packOptional(packer, submit.pieceKey());
			packStrings(packer, submit.inputs());
			packer.packLong(submit.resultBytes()).packLong(submit.startBudgetMillis());
			packer.packLong(submit.budgetMillis()).packInt(submit.priority());
			packer.packString(submit.zonePreference().zone()).packLong(submit.zonePreference().bytes());
			packer.packBoolean(submit.largeInputs());
			Set<String> allowedZones = submit.allowedZones().names();
			if (allowedZones != null) {
				packStrings(packer, List.copyOf(allowedZones));
			}
		}
		else if (message instanceof PeerMessage.Result result) {
			packer.packInt(RESULT).packString(result.service()).packLong(result.jobId()).packInt(result.piece());
			packResult(packer, result.result());
		}
		else if (message instanceof PeerMessage.Cancel cancel) {
			packer.packInt(CANCEL).packString(cancel.service()).packLong(cancel.jobId());
		}
		else if (message instanceof PeerMessage.Announce announce) {
			packer.packInt(ANNOUNCE).packString(announce.service()).packString(announce.requestId());
			packer.packInt(announce.stage()).packInt(announce.pieces()).packLong(announce.resultBytes());
			packer.packLong(announce.budgetMillis());
		}
		else if (message instanceof PeerMessage.Release release) {
			packer.packInt(RELEASE).packString(release.service());
			packStrings(packer, release.handles());
		}
		else if (message instanceof PeerMessage.ConfigurationRequest) {
			packer.packInt(CONFIGURATION_REQUEST);
		}
		else if (message instanceof PeerMessage.Configuration configuration) {
			packConfiguration(packer, configuration.content());
		}
	}

	private static void packResult(MessageBufferPacker packer, PieceResult result) throws IOException {
		packOptional(packer, result.handle());
		packer.packString(result.availabilityZone());
		packOptional(packer, (result.failure() != null) ? result.failure().name() : null);
		packer.packLong(result.times().waitMillis()).packLong(result.times().callMillis());
		packer.packLong(result.times().failedAttemptMillis());
	}

	private static void packOptional(MessageBufferPacker packer, @Nullable String text) throws IOException {
		if (text == null) {
			packer.packNil();
		}
		else {
			packer.packString(text);
		}
	}

	private static void packStrings(MessageBufferPacker packer, List<String> strings) throws IOException {
		packer.packArrayHeader(strings.size());
		for (String string : strings) {
			packer.packString(string);
		}
	}

	/**
	 * Decodes a message.
	 * @param bytes one frame
	 * @return the message, or {@code null} if its type is unknown, as from a newer
	 * version
	 * @throws IOException if the frame is malformed
	 */
	static @Nullable PeerMessage decode(byte[] bytes) throws IOException {
		try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
			return unpack(unpacker);
		}
		catch (MessagePackException | IllegalArgumentException ex) {
			throw new IOException("malformed peer message", ex);
		}
	}

	private static @Nullable PeerMessage unpack(MessageUnpacker unpacker) throws IOException {
		int type = unpacker.unpackInt();
		return switch (type) {
			case HELLO -> new PeerMessage.Hello(unpacker.unpackString());
			case HEARTBEAT -> unpackHeartbeat(unpacker);
			case SUBMIT -> unpackSubmit(unpacker);
			case RESULT -> unpackResult(unpacker);
			case CANCEL -> new PeerMessage.Cancel(unpacker.unpackString(), unpacker.unpackLong());
			case RELEASE -> new PeerMessage.Release(unpacker.unpackString(), unpackStrings(unpacker));
			case ANNOUNCE -> new PeerMessage.Announce(unpacker.unpackString(), unpacker.unpackString(),
					unpacker.unpackInt(), unpacker.unpackInt(), unpacker.unpackLong(), unpacker.unpackLong());
			case CONFIGURATION_REQUEST -> new PeerMessage.ConfigurationRequest();
			case CONFIGURATION -> unpackConfiguration(unpacker, false);
			case COMPRESSED_CONFIGURATION -> unpackConfiguration(unpacker, true);
			default -> null;
		};
	}

	// Gateways of earlier versions ignore the compressed form.
	private static void packConfiguration(MessageBufferPacker packer, byte[] content) throws IOException {
		boolean compressed = content.length >= MINIMUM_COMPRESSED_BYTES;
		byte[] sent = compressed ? Compression.compress(content) : content;
		packer.packInt(compressed ? COMPRESSED_CONFIGURATION : CONFIGURATION);
		packer.packBinaryHeader(sent.length).writePayload(sent);
	}

	// A configuration that is too large is ignored, because the link is also needed for
	// stages.
	private static @Nullable PeerMessage unpackConfiguration(MessageUnpacker unpacker, boolean compressed)
			throws IOException {
		int length = unpacker.unpackBinaryHeader();
		if (length > MAXIMUM_CONFIGURATION_BYTES) {
			return null;
		}
		byte[] received = unpacker.readPayload(length);
		return new PeerMessage.Configuration(
				compressed ? Compression.restore(received, MAXIMUM_RESTORED_BYTES) : received);
	}

	private static PeerMessage unpackHeartbeat(MessageUnpacker unpacker) throws IOException {
		Map<String, StageLoad> loads = unpackLoads(unpacker);
		// Gateways of earlier versions do not send this field.
		long configurationVersion = unpacker.hasNext() ? unpacker.unpackLong() : 0;
		return new PeerMessage.Heartbeat(loads, configurationVersion);
	}

	private static PeerMessage unpackSubmit(MessageUnpacker unpacker) throws IOException {
		String service = unpacker.unpackString();
		long jobId = unpacker.unpackLong();
		String requestId = unpacker.unpackString();
		int stage = unpacker.unpackInt();
		List<Integer> pieces = new ArrayList<>();
		int count = checkCount(unpacker.unpackArrayHeader());
		for (int index = 0; index < count; index++) {
			pieces.add(unpacker.unpackInt());
		}
		String pieceKey = unpackOptional(unpacker);
		List<String> inputs = unpackStrings(unpacker);
		long resultBytes = unpacker.unpackLong();
		long startBudgetMillis = unpacker.unpackLong();
		long budgetMillis = unpacker.unpackLong();
		int priority = unpacker.unpackInt();
		ZonePreference zonePreference = new ZonePreference(unpacker.unpackString(), unpacker.unpackLong());
		// Gateways of earlier versions do not send this field.
		boolean largeInputs = unpacker.hasNext() ? unpacker.unpackBoolean() : !inputs.isEmpty();
		// Absent if all zones are allowed.
		AllowedZones allowedZones = unpacker.hasNext() ? new AllowedZones(Set.copyOf(unpackStrings(unpacker)))
				: AllowedZones.ALL;
		return new PeerMessage.Submit(service, jobId, requestId, stage, pieces, pieceKey, inputs, largeInputs,
				resultBytes, startBudgetMillis, budgetMillis, priority, zonePreference, allowedZones);
	}

	private static PeerMessage unpackResult(MessageUnpacker unpacker) throws IOException {
		String service = unpacker.unpackString();
		long jobId = unpacker.unpackLong();
		int piece = unpacker.unpackInt();
		String handle = unpackOptional(unpacker);
		String zone = unpacker.unpackString();
		String failure = unpackOptional(unpacker);
		PieceTimes times = new PieceTimes(unpacker.unpackLong(), unpacker.unpackLong(), unpacker.unpackLong());
		return new PeerMessage.Result(service, jobId, piece,
				new PieceResult(handle, zone, (failure != null) ? PieceFailure.valueOf(failure) : null, times));
	}

	private static Map<String, StageLoad> unpackLoads(MessageUnpacker unpacker) throws IOException {
		Map<String, StageLoad> loads = new HashMap<>();
		int count = checkCount(unpacker.unpackMapHeader());
		for (int index = 0; index < count; index++) {
			loads.put(unpacker.unpackString(),
					new StageLoad(unpacker.unpackLong(), unpacker.unpackLong(), unpacker.unpackLong()));
		}
		return loads;
	}

	private static @Nullable String unpackOptional(MessageUnpacker unpacker) throws IOException {
		return unpacker.tryUnpackNil() ? null : unpacker.unpackString();
	}

	private static List<String> unpackStrings(MessageUnpacker unpacker) throws IOException {
		int count = checkCount(unpacker.unpackArrayHeader());
		List<String> strings = new ArrayList<>();
		for (int index = 0; index < count; index++) {
			strings.add(unpacker.unpackString());
		}
		return strings;
	}

	private static int checkCount(int count) throws IOException {
		if (count > MAXIMUM_ITEMS) {
			throw new IOException("expected at most " + MAXIMUM_ITEMS + " items, but got " + count);
		}
		return count;
	}

}
