package org.magnoliahub.entry;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;

/**
 * Opens Netty server and client channels.
 */
final class Channels {

	private Channels() {
	}

	/**
	 * Starts to listen. Must not be called on the event loop, because it blocks until the
	 * loop has bound the address.
	 * @param options options of the connections
	 * @param group the event loop
	 * @param address local address
	 * @param initializer adds the handlers of a new connection
	 * @return the server channel, which accepts connections until it is closed
	 * @throws IOException if the address cannot be bound
	 */
	static Channel listen(ServerBootstrap options, EventLoopGroup group, InetSocketAddress address,
			Consumer<SocketChannel> initializer) throws IOException {
		ChannelFuture bindFuture = options.group(group)
			.channelFactory(NioServerSocketChannel::new)
			.childHandler(initializer(initializer))
			.bind(address)
			.awaitUninterruptibly();
		if (!bindFuture.isSuccess()) {
			throw new IOException("cannot listen on " + address, bindFuture.cause());
		}
		return bindFuture.channel();
	}

	/**
	 * Starts to connect.
	 * @param group the event loop
	 * @param address remote address
	 * @param timeoutMillis connect timeout, in milliseconds
	 * @param initializer adds the handlers of the connection
	 * @return completes when the connection is open or has failed
	 */
	static ChannelFuture connect(EventLoopGroup group, InetSocketAddress address, int timeoutMillis,
			Consumer<SocketChannel> initializer) {
		return new Bootstrap().group(group)
			.channelFactory(NioSocketChannel::new)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMillis)
			.handler(initializer(initializer))
			.connect(address);
	}

	private static ChannelInitializer<SocketChannel> initializer(Consumer<SocketChannel> delegate) {
		return new ChannelInitializer<>() {
			@Override
			protected void initChannel(SocketChannel channel) {
				delegate.accept(channel);
			}
		};
	}

}
