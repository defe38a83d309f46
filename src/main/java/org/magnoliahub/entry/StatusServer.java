package org.magnoliahub.entry;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.Function;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/**
 * HTTP server for pages about the gateway, such as its readiness and its metrics.
 */
final class StatusServer {

	/** Few clients ask for these pages, with few header fields. */
	private static final int MAXIMUM_HEADER_BYTES = 4_096;

	private final Function<String, Optional<Page>> pages;

	private final RecentChannels connections;

	/**
	 * Creates a server.
	 * @param pages returns the page for a path, or empty if there is none
	 * @param connections its open connections
	 */
	StatusServer(Function<String, Optional<Page>> pages, RecentChannels connections) {
		this.pages = pages;
		this.connections = connections;
	}

	/**
	 * Starts to listen.
	 * @param group the event loop
	 * @param address local address
	 * @throws IOException if the address cannot be bound
	 */
	void listen(EventLoopGroup group, InetSocketAddress address) throws IOException {
		Channels.listen(new ServerBootstrap(), group, address, this::install);
	}

	private void install(SocketChannel channel) {
		Handler handler = new Handler();
		channel.pipeline().addLast(handler.decoder, new HttpResponseEncoder(), handler);
		this.connections.add(channel);
	}

	/**
	 * A response to a request for a page.
	 *
	 * @param ok whether the status is 200 instead of 503
	 * @param body the body
	 */
	record Page(boolean ok, String body) {
	}

	private final class Handler extends SimpleChannelInboundHandler<HttpObject>
			implements StrictRequestDecoder.Listener {

		private final StrictRequestDecoder decoder = new StrictRequestDecoder(MAXIMUM_HEADER_BYTES, this);

		@Override
		protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
			if (!(message instanceof HttpRequest request) || !context.channel().isActive()) {
				return;
			}
			if (request.decoderResult().isFailure()) {
				context.close();
				return;
			}
			StatusServer.this.connections.use(context.channel());
			Optional<Page> page = StatusServer.this.pages.apply(request.uri());
			HttpResponseStatus status = page
				.map((found) -> found.ok() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE)
				.orElse(HttpResponseStatus.NOT_FOUND);
			byte[] body = page.map(Page::body).orElse("").getBytes(StandardCharsets.UTF_8);
			DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
					Unpooled.wrappedBuffer(body));
			response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
			response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
			ChannelFuture written = context.writeAndFlush(response);
			if (!HttpUtil.isKeepAlive(request)) {
				written.addListener(ChannelFutureListener.CLOSE);
			}
			if (!context.channel().isWritable()) {
				this.decoder.suspend();
			}
		}

		// Requests wait undecoded until the client has read the responses before them.
		@Override
		public void channelWritabilityChanged(ChannelHandlerContext context) {
			if (context.channel().isWritable()) {
				this.decoder.resume();
			}
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			StatusServer.this.connections.remove(context.channel());
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			context.close();
		}

	}

}
