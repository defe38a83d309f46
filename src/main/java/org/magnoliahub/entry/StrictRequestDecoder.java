package org.magnoliahub.entry;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes requests and rejects those with both {@code Content-Length} and
 * {@code Transfer-Encoding: chunked}.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

	private static final int MAXIMUM_LINE_BYTES = 8_192;

	private final Runnable onBytesReceived;

	/**
	 * Creates a decoder.
	 * @param maximumHeaderBytes the maximum size of the headers
	 * @param onBytesReceived called before received bytes are decoded
	 */
	StrictRequestDecoder(int maximumHeaderBytes, Runnable onBytesReceived) {
		super(new HttpDecoderConfig().setMaxInitialLineLength(MAXIMUM_LINE_BYTES).setMaxHeaderSize(maximumHeaderBytes));
		this.onBytesReceived = onBytesReceived;
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
		this.onBytesReceived.run();
		super.channelRead(context, message);
	}

	@Override
	protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
		throw new IllegalArgumentException("both Transfer-Encoding and Content-Length");
	}

}
