package org.magnoliahub.entry;

import java.net.InetSocketAddress;
import java.util.function.BooleanSupplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import org.magnoliahub.platform.PlatformHeaders;

/**
 * Tells the platform's balancer whether this gateway takes new connections.
 */
final class ReadinessServer {

	private final BooleanSupplier ready;

	ReadinessServer(BooleanSupplier ready) {
		this.ready = ready;
	}

	void listen(EventLoopGroup group, InetSocketAddress address) {
		new ServerBootstrap().group(group)
			.channel(NioServerSocketChannel.class)
			.childHandler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel channel) {
					channel.pipeline().addLast(new HttpServerCodec(), new Handler());
				}
			})
			.bind(address)
			.syncUninterruptibly();
	}

	private final class Handler extends SimpleChannelInboundHandler<HttpObject> {

		@Override
		protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
			if (!(message instanceof HttpRequest request)) {
				return;
			}
			HttpResponseStatus status = HttpResponseStatus.NOT_FOUND;
			if (request.uri().equals(PlatformHeaders.READINESS_PATH)) {
				status = ReadinessServer.this.ready.getAsBoolean() ? HttpResponseStatus.OK
						: HttpResponseStatus.SERVICE_UNAVAILABLE;
			}
			DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
					Unpooled.EMPTY_BUFFER);
			response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
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
