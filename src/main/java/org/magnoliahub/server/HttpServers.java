package org.magnoliahub.server;

import java.util.function.Consumer;

import io.javalin.Javalin;
import io.javalin.config.JavalinConfig;
import org.eclipse.jetty.server.ConnectionLimit;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * HTTP/1.1 servers with limits.
 */
final class HttpServers {

	/** Largest request body, in bytes. */
	static final int MAXIMUM_BODY_BYTES = 1024 * 1024;

	/** Largest request header, in bytes. */
	static final int MAXIMUM_HEADER_BYTES = 16 * 1024;

	private static final int IDLE_TIMEOUT_MS = 60_000;

	private static final int MINIMUM_THREADS = 4;

	private HttpServers() {
	}

	/**
	 * Starts a server.
	 * @param name name of its threads
	 * @param host local address
	 * @param port local port, 0 for any free one
	 * @param maximumThreads most threads, at least 8
	 * @param maximumConnections most open connections, at least 1
	 * @param configure further configuration
	 * @param routes adds the routes
	 * @return the server
	 */
	static Javalin start(String name, String host, int port, int maximumThreads, int maximumConnections,
			Consumer<JavalinConfig> configure, Consumer<Javalin> routes) {
		Javalin javalin = Javalin.create((config) -> {
			config.showJavalinBanner = false;
			config.startupWatcherEnabled = false;
			config.useVirtualThreads = false;
			config.http.maxRequestSize = MAXIMUM_BODY_BYTES;
			config.jetty.threadPool = new QueuedThreadPool(maximumThreads, MINIMUM_THREADS);
			((QueuedThreadPool) config.jetty.threadPool).setName(name);
			((QueuedThreadPool) config.jetty.threadPool).setDaemon(true);
			config.jetty.modifyServer((server) -> limit(server, maximumConnections));
			config.jetty.addConnector((server, ignored) -> connector(server, host, port));
			configure.accept(config);
		});
		routes.accept(javalin);
		return javalin.start();
	}

	private static void limit(Server server, int maximumConnections) {
		server.addBean(new ConnectionLimit(maximumConnections, server));
		server.setErrorHandler(new BadMessageHandler());
	}

	private static ServerConnector connector(Server server, String host, int port) {
		HttpConfiguration http = new HttpConfiguration();
		http.setRequestHeaderSize(MAXIMUM_HEADER_BYTES);
		http.setSendServerVersion(false);
		ServerConnector connector = new ServerConnector(server, 1, 1, new HttpConnectionFactory(http));
		connector.setHost(host);
		connector.setPort(port);
		connector.setIdleTimeout(IDLE_TIMEOUT_MS);
		return connector;
	}

}
