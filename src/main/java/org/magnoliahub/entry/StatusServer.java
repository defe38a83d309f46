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
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/**
 * HTTP server for pages about the gateway, such as its readiness and its metrics.
 */
final class StatusServer {

	private final Function<String, Optional<Page>> pages;

	/**
	 * Creates a server.
	 * @param pages returns the page for a path, or empty if there is none
	 */
	StatusServer(Function<String, Optional<Page>> pages) {
		this.pages = pages;
	}

	/**
	 * Starts to listen.
	 * @param group the event loop
	 * @param address local address
	 * @throws IOException if the address cannot be bound
	 */
	void listen(EventLoopGroup group, InetSocketAddress address) throws IOException {
		Channels.listen(new ServerBootstrap(), group, address,
				(channel) -> channel.pipeline().addLast(new HttpServerCodec(), new Handler()));
	}

	/**
	 * A response to a request for a page.
	 *
	 * @param ok whether the status is 200 instead of 503
	 * @param body the body
	 */
	record Page(boolean ok, String body) {
	}

	private final class Handler extends SimpleChannelInboundHandler<HttpObject> {

		@Override
		protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
			if (!(message instanceof HttpRequest request)) {
				return;
			}
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
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			context.close();
		}

	}

}
