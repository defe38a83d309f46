package org.magnoliahub.entry;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes requests and refuses those that state both a length and chunks.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

	private static final int MAXIMUM_LINE_BYTES = 8_192;

	private final Runnable bytesArrived;

	/**
	 * Creates a decoder.
	 * @param maximumHeaderBytes largest head
	 * @param bytesArrived called before bytes are decoded
	 */
	StrictRequestDecoder(int maximumHeaderBytes, Runnable bytesArrived) {
		super(new HttpDecoderConfig().setMaxInitialLineLength(MAXIMUM_LINE_BYTES).setMaxHeaderSize(maximumHeaderBytes));
		this.bytesArrived = bytesArrived;
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
		this.bytesArrived.run();
		super.channelRead(context, message);
	}

	@Override
	protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
		throw new IllegalArgumentException("both Transfer-Encoding and Content-Length");
	}

}
