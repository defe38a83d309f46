package org.magnoliahub.entry;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.magnoliahub.httpsyntax.FieldNameScanner;
import org.magnoliahub.httpsyntax.StatusCodes;

/**
 * Decodes responses and rejects malformed ones that the library would accept. A rejected
 * response is delivered as a message whose decoder result is a failure.
 */
final class StrictResponseDecoder extends HttpResponseDecoder {

	private final FieldNameScanner fieldNames = new FieldNameScanner();

	private boolean headRequest;

	private boolean brokenOff;

	/** Whether the head of a response has been decoded, but not yet its end. */
	private boolean inContent;

	private boolean chunked;

	private boolean rejected;

	/**
	 * Starts to decode the response to a request.
	 * @param head whether the request has the method HEAD, so that its response has no
	 * body
	 */
	void beginResponse(boolean head) {
		this.headRequest = head;
	}

	/**
	 * Returns whether received bytes have not been decoded.
	 * @return whether bytes are left
	 */
	boolean hasUndecodedBytes() {
		return actualReadableBytes() > 0;
	}

	/**
	 * Returns whether the connection closed before the end of the peer's output. A
	 * response that ends only then has been broken off.
	 * @return whether the channel closed without the end of its input
	 */
	boolean isBrokenOff() {
		return this.brokenOff;
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) throws Exception {
		this.brokenOff = true;
		super.channelInactive(context);
	}

	@Override
	protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
		if (this.rejected) {
			buffer.skipBytes(buffer.readableBytes());
			return;
		}
		int start = buffer.readerIndex();
		int decodedBefore = out.size();
		super.decode(context, buffer, out);
		if (mayContainFields(out, decodedBefore)) {
			scan(buffer, start, buffer.readerIndex());
		}
		if (this.fieldNames.isMalformed()) {
			reject(out, decodedBefore);
			return;
		}
		for (int index = decodedBefore; index < out.size(); index++) {
			follow(out.get(index));
		}
	}

	// The library consumes the bytes of heads, and the size lines and trailers of chunks,
	// apart from those of content, so that what it delivers tells which ones they were.
	private boolean mayContainFields(List<Object> out, int decodedBefore) {
		if (!this.inContent) {
			return true;
		}
		int last = out.size() - 1;
		return this.chunked && (last < decodedBefore || out.get(last) instanceof LastHttpContent);
	}

	private void scan(ByteBuf buffer, int start, int end) {
		int index = start;
		while (index < end) {
			if (this.fieldNames.awaitsLineEnd()) {
				index = buffer.indexOf(index, end, (byte) '\n');
				if (index < 0) {
					return;
				}
			}
			this.fieldNames.accept(buffer.getByte(index));
			index++;
		}
	}

	// The library trims such names or joins their lines, so its message cannot be used.
	private void reject(List<Object> out, int decodedBefore) {
		this.rejected = true;
		while (out.size() > decodedBefore) {
			ReferenceCountUtil.release(out.remove(out.size() - 1));
		}
		HttpMessage invalid = createInvalidMessage();
		invalid.setDecoderResult(DecoderResult.failure(new IllegalArgumentException("invalid field name")));
		out.add(invalid);
	}

	private void follow(Object decoded) {
		if (decoded instanceof HttpMessage message) {
			this.inContent = true;
			this.chunked = HttpUtil.isTransferEncodingChunked(message);
		}
		if (decoded instanceof LastHttpContent) {
			this.inContent = false;
		}
		this.fieldNames.reset();
	}

	@Override
	protected HttpMessage createMessage(String[] statusLine) {
		if (!StatusCodes.isValid(statusLine[1])) {
			throw new IllegalArgumentException("invalid status " + statusLine[1]);
		}
		return super.createMessage(statusLine);
	}

	@Override
	protected boolean isContentAlwaysEmpty(HttpMessage message) {
		return this.headRequest || super.isContentAlwaysEmpty(message);
	}

}
