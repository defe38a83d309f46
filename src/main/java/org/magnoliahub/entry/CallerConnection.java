package org.magnoliahub.entry;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.reactivex.rxjava3.disposables.Disposable;
import org.jspecify.annotations.Nullable;
import org.magnoliahub.platform.PlatformHeaders;
import org.magnoliahub.serving.BodyMemory;

/**
 * A connection of a caller. Reads one complete request at a time and writes its response.
 * Pipelined requests wait undecoded until the caller has read the response before them.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter
		implements BodyMemory.Holder, StrictRequestDecoder.Listener {

	/**
	 * Time between the expiry of a timeout and its effect, in which the event loop reads
	 * what has arrived. After the process was suspended, timers run before sockets are
	 * read.
	 */
	private static final Duration READ_TIME = Duration.ofMillis(20);

	/** Smallest growth of a body that is recorded, since a chunk may have one byte. */
	private static final int RECORDED_GROWTH_BYTES = 1_024;

	/** Shortest field with its line end, for bytes whose fields have not been counted. */
	private static final int MINIMUM_FIELD_BYTES = 4;

	/** Retry-After of a request whose body has no room, about the time of an upload. */
	private static final long NO_MEMORY_RETRY_AFTER_MILLIS = 1_000;

	private static final byte[] EMPTY_BODY = new byte[0];

	private final CallerServer server;

	private final Channel channel;

	private final StrictRequestDecoder decoder;

	private final BodyMemory.Holder headHolder = () -> refuse("no_head_memory");

	private @Nullable HttpRequest head;

	private ByteBuf body = Unpooled.EMPTY_BUFFER;

	private @Nullable Exchange currentExchange;

	private boolean closing;

	private long lastActiveMillis;

	private long headStartedMillis = -1;

	private long headBytes;

	private long headLines;

	private int recordedBytes;

	private boolean answered;

	private final Disposable timeoutCheck;

	CallerConnection(CallerServer server, Channel channel) {
		this.server = server;
		this.channel = channel;
		this.decoder = new StrictRequestDecoder(server.limits().maximumHeaderBytes(), this);
		this.lastActiveMillis = server.timers().milliTime();
		this.timeoutCheck = server.timers()
			.schedulePeriodically(Duration.ofMillis(CallerServer.CHECK_INTERVAL_MILLIS), () -> checkTimeouts());
	}

	private void checkTimeouts() {
		if (hasExpired()) {
			this.server.timers().schedule(READ_TIME, this::closeIfStillExpired);
		}
	}

	private void closeIfStillExpired() {
		if (!hasExpired()) {
			return;
		}
		if (isHeadOverdue()) {
			reject(HttpResponseStatus.REQUEST_TIMEOUT);
			return;
		}
		this.channel.close();
	}

	private boolean hasExpired() {
		if (this.closing || this.currentExchange != null) {
			return false;
		}
		boolean idle = this.server.timers().milliTime() - this.lastActiveMillis > this.server.limits()
			.idleTimeoutMillis();
		boolean unused = this.head == null && this.headStartedMillis < 0;
		return isHeadOverdue() || idle || (this.server.isClosingIdleConnections() && unused);
	}

	private boolean isHeadOverdue() {
		return this.headStartedMillis >= 0 && this.server.timers().milliTime()
				- this.headStartedMillis > this.server.limits().headerTimeoutMillis();
	}

	StrictRequestDecoder decoder() {
		return this.decoder;
	}

	/**
	 * Returns whether the connection has not been used for a complete request.
	 * @return whether it may be closed to make room
	 */
	boolean isClosable() {
		return !this.answered && this.currentExchange == null && !this.closing;
	}

	long idleSince() {
		return this.lastActiveMillis;
	}

	@Override
	public void onBytesReceived(ByteBuf bytes) {
		long now = this.server.timers().milliTime();
		this.lastActiveMillis = now;
		if (this.currentExchange != null || this.head != null || this.closing) {
			return;
		}
		if (this.headStartedMillis < 0) {
			this.headStartedMillis = now;
		}
		this.headBytes += bytes.readableBytes();
		this.headLines += countLines(bytes);
	}

	private static long countLines(ByteBuf bytes) {
		long lines = 0;
		int end = bytes.writerIndex();
		int index = bytes.indexOf(bytes.readerIndex(), end, (byte) '\n');
		while (index >= 0) {
			lines++;
			index = bytes.indexOf(index + 1, end, (byte) '\n');
		}
		return lines;
	}

	@Override
	public void onBytesDecoded() {
		if (this.headBytes > 0 && !this.closing) {
			holdHead(CallerMemory.headBytes(this.headBytes, this.headLines));
		}
	}

	private void holdHead(long bytes) {
		this.server.memory().heads().hold(this.headHolder, this, bytes, bytes);
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (this.closing) {
			ReferenceCountUtil.release(message);
			return;
		}
		process(message);
	}

	private void process(Object message) {
		try {
			if (message instanceof HttpRequest request) {
				startRequest(request);
			}
			if (message instanceof HttpContent content && !this.closing && this.head != null) {
				addBody(content);
			}
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	private void startRequest(HttpRequest request) {
		this.headStartedMillis = -1;
		this.headBytes = 0;
		this.headLines = 0;
		if (request.decoderResult().isFailure()) {
			reject((request.decoderResult().cause() instanceof TooLongFrameException)
					? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE : HttpResponseStatus.BAD_REQUEST);
			return;
		}
		if (!RequestHeadValidator.isUnambiguous(request)) {
			reject(HttpResponseStatus.BAD_REQUEST);
			return;
		}
		if (HttpUtil.getContentLength(request, 0L) > this.server.limits().maximumBodyBytes()) {
			reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
			return;
		}
		this.head = request;
		this.body = Unpooled.EMPTY_BUFFER;
		this.recordedBytes = 0;
		holdHead(CallerMemory.headBytes(request.uri().length(), request.headers().size()));
		if (this.closing) {
			return;
		}
		if (HttpUtil.is100ContinueExpected(request)) {
			this.channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
		}
	}

	private void addBody(HttpContent content) {
		if (content.decoderResult().isFailure()) {
			reject(HttpResponseStatus.BAD_REQUEST);
			return;
		}
		int size = this.body.readableBytes() + content.content().readableBytes();
		if (size > this.server.limits().maximumBodyBytes()) {
			reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
			return;
		}
		if (content.content().isReadable()) {
			if (this.body == Unpooled.EMPTY_BUFFER) {
				this.body = Unpooled.buffer(content.content().readableBytes());
			}
			this.body.writeBytes(content.content());
			if (size - this.recordedBytes >= RECORDED_GROWTH_BYTES || content instanceof LastHttpContent) {
				this.recordedBytes = size;
				this.server.memory().bodies().hold(this, this, size, missingBytes(size));
			}
		}
		if (content instanceof LastHttpContent && !this.closing) {
			completeRequest();
		}
	}

	// Requests that lack most are refused first: they have cost their callers least, and
	// those that are nearly complete soon make room.
	private long missingBytes(long received) {
		long maximum = this.server.limits().maximumBodyBytes();
		long expected = (this.head != null) ? HttpUtil.getContentLength(this.head, maximum) : maximum;
		return Math.max(0, expected - received);
	}

	private void completeRequest() {
		HttpRequest request = this.head;
		if (request == null) {
			return;
		}
		byte[] bytes = EMPTY_BODY;
		if (this.body.isReadable()) {
			bytes = new byte[this.body.readableBytes()];
			this.body.readBytes(bytes);
		}
		this.head = null;
		this.body = Unpooled.EMPTY_BUFFER;
		this.server.memory().bodies().complete(this);
		this.server.memory().heads().complete(this.headHolder);
		this.answered = true;
		this.decoder.suspend();
		Exchange exchange = new Exchange(request, bytes, this.server.timers().milliTime());
		this.currentExchange = exchange;
		try {
			this.server.accept(exchange);
		}
		catch (RuntimeException ex) {
			this.server.logFault(ex);
			exchange.respond(HttpResponseStatus.BAD_GATEWAY.code(), new DefaultHttpHeaders(), EMPTY_BODY);
		}
	}

	private void reject(HttpResponseStatus status) {
		rejectWith(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status));
		this.server.logMalformedRequest(status.code());
	}

	// The request was not passed on, since it is incomplete.
	@Override
	public void evict() {
		refuse("no_memory");
	}

	/**
	 * Refuses what the caller sends and closes the connection. No request has been passed
	 * on.
	 * @param reason stated in the response and the log
	 */
	void refuse(String reason) {
		HttpResponseStatus status = HttpResponseStatus.SERVICE_UNAVAILABLE;
		String requestId = (this.head != null) ? PlatformHeaders.callerRequest(this.head.headers()).requestId() : "";
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
				Unpooled.copiedBuffer(reason, StandardCharsets.US_ASCII));
		response.headers()
			.set(PlatformHeaders.ownAnswerHeaders(requestId))
			.set(HttpHeaderNames.RETRY_AFTER, Double.toString(NO_MEMORY_RETRY_AFTER_MILLIS / 1_000.0));
		rejectWith(response);
		this.server.logRefused(requestId, status.code(), reason, NO_MEMORY_RETRY_AFTER_MILLIS);
	}

	private void closeUnread() {
		this.server.countClosed("unread_responses");
		this.channel.close();
	}

	private void rejectWith(FullHttpResponse response) {
		this.closing = true;
		dropRequest();
		response.headers()
			.set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes())
			.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		this.channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
	}

	private void dropRequest() {
		this.body = Unpooled.EMPTY_BUFFER;
		this.server.memory().bodies().release(this);
		this.server.memory().heads().release(this.headHolder);
	}

	private void onResponseEnd(boolean close) {
		this.currentExchange = null;
		dropRequest();
		this.lastActiveMillis = this.server.timers().milliTime();
		if (close) {
			this.closing = true;
			return;
		}
		resumeIfRead();
	}

	// The next request waits until the caller reads, since its response takes memory.
	private void resumeIfRead() {
		if (this.currentExchange != null || this.closing || !this.channel.isWritable()) {
			return;
		}
		if (this.head == null && this.headBytes == 0) {
			this.headBytes = this.decoder.queuedBytes();
			this.headLines = this.headBytes / MINIMUM_FIELD_BYTES;
		}
		this.decoder.resume();
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.closing = true;
		this.timeoutCheck.dispose();
		dropRequest();
		this.server.onConnectionClosed(this);
		Exchange exchange = this.currentExchange;
		this.currentExchange = null;
		if (exchange != null) {
			exchange.disconnect();
		}
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext context) {
		if (!this.channel.isWritable()) {
			return;
		}
		if (this.currentExchange == null) {
			resumeIfRead();
		}
		else if (this.currentExchange.observer != null) {
			this.currentExchange.observer.onWritable();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		if (!(cause instanceof IOException)) {
			this.server.logFault(cause);
		}
		this.channel.close();
	}

	private final class Exchange implements CallerExchange {

		private final HttpRequest request;

		private final byte[] body;

		private final long arrivedMillis;

		private @Nullable Observer observer;

		private boolean streamStarted;

		private boolean chunked;

		private boolean closeAnnounced;

		private boolean ended;

		private Exchange(HttpRequest request, byte[] body, long arrivedMillis) {
			this.request = request;
			this.body = body;
			this.arrivedMillis = arrivedMillis;
		}

		@Override
		public HttpMethod method() {
			return this.request.method();
		}

		@Override
		public String target() {
			return this.request.uri();
		}

		@Override
		public HttpHeaders headers() {
			return this.request.headers();
		}

		@Override
		public byte[] body() {
			return this.body;
		}

		@Override
		public long arrivedMillis() {
			return this.arrivedMillis;
		}

		private boolean isKeepAlive() {
			return HttpUtil.isKeepAlive(this.request) && !CallerConnection.this.server.isDraining();
		}

		@Override
		public void respond(int status, HttpHeaders headers, byte[] content) {
			if (this.ended) {
				return;
			}
			if (this.streamStarted) {
				abort();
				return;
			}
			boolean keep = isKeepAlive();
			FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
					HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(content));
			response.headers().set(headers);
			if (status != HttpResponseStatus.NO_CONTENT.code() && status != HttpResponseStatus.NOT_MODIFIED.code()) {
				response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.length);
			}
			end(response, keep);
		}

		@Override
		public void startStream(int status, HttpHeaders headers) {
			if (this.ended) {
				return;
			}
			if (this.streamStarted) {
				abort();
				return;
			}
			this.streamStarted = true;
			DefaultHttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1,
					HttpResponseStatus.valueOf(status));
			response.headers().set(headers);
			this.chunked = this.request.protocolVersion().equals(HttpVersion.HTTP_1_1);
			if (this.chunked) {
				response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
			}
			this.closeAnnounced = !isKeepAlive() || !this.chunked;
			if (this.closeAnnounced) {
				response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
			}
			CallerConnection.this.channel.write(response);
		}

		@Override
		public boolean write(byte[] data) {
			if (!this.ended) {
				CallerConnection.this.channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(data)));
			}
			return CallerConnection.this.channel.isWritable();
		}

		@Override
		public void endStream() {
			if (!this.ended) {
				// The caller may send its next request behind a stream whose head did not
				// announce the close.
				end(LastHttpContent.EMPTY_LAST_CONTENT, !this.closeAnnounced);
			}
		}

		private void end(Object last, boolean keep) {
			this.ended = true;
			this.observer = null;
			if (!keep && last instanceof FullHttpResponse response) {
				response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
			}
			int bytes = (last instanceof FullHttpResponse response) ? response.content().readableBytes() : 0;
			ChannelFuture written = CallerConnection.this.channel.writeAndFlush(last);
			if (!keep) {
				written.addListener(ChannelFutureListener.CLOSE);
			}
			else if (written.cause() != null) {
				CallerConnection.this.channel.close();
			}
			if (!written.isDone()) {
				holdUnread(written, bytes);
			}
			if (CallerConnection.this.currentExchange == this) {
				onResponseEnd(!keep);
			}
		}

		private void holdUnread(ChannelFuture written, int bytes) {
			BodyMemory responses = CallerConnection.this.server.memory().responses();
			BodyMemory.Holder holder = CallerConnection.this::closeUnread;
			written.addListener((future) -> responses.release(holder));
			responses.hold(holder, CallerConnection.this, bytes, bytes);
		}

		@Override
		public void abort() {
			if (this.ended) {
				return;
			}
			this.ended = true;
			this.observer = null;
			if (this.streamStarted && !this.chunked) {
				// The end of the connection would complete a stream without chunks, so it
				// is reset.
				CallerConnection.this.channel.config().setOption(ChannelOption.SO_LINGER, 0);
			}
			CallerConnection.this.channel.close();
		}

		@Override
		public void setObserver(@Nullable Observer newObserver) {
			this.observer = newObserver;
		}

		private void disconnect() {
			this.ended = true;
			Observer previousObserver = this.observer;
			this.observer = null;
			if (previousObserver != null) {
				previousObserver.onDisconnected();
			}
		}

	}

}
