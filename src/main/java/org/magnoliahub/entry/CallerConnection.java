package org.magnoliahub.entry;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
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
import org.magnoliahub.serving.CallerLimits;

/**
 * A caller's connection: reads one request at a time, whole, and writes its answer.
 * Requests that follow before the answer wait in a bounded queue.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {

	private static final int MAXIMUM_QUEUED_MESSAGES = 64;

	private static final byte[] EMPTY = new byte[0];

	private final CallerServer server;

	private final Channel channel;

	private final Deque<Object> queued = new ArrayDeque<>();

	private @Nullable HttpRequest head;

	private ByteBuf body = Unpooled.EMPTY_BUFFER;

	private @Nullable Exchange current;

	private boolean closing;

	private long lastActiveMillis;

	private long headStartedMillis = -1;

	private final Disposable check;

	CallerConnection(CallerServer server, Channel channel) {
		this.server = server;
		this.channel = channel;
		this.lastActiveMillis = server.timers().milliTime();
		this.check = server.timers().repeat(Duration.ofMillis(CallerServer.CHECK_INTERVAL_MILLIS), () -> checkTimes());
	}

	private void checkTimes() {
		long now = this.server.timers().milliTime();
		CallerLimits limits = this.server.limits();
		if (this.current != null) {
			return;
		}
		if (this.headStartedMillis >= 0 && now - this.headStartedMillis > limits.headerTimeoutMillis()) {
			refuse(HttpResponseStatus.REQUEST_TIMEOUT);
			return;
		}
		if (now - this.lastActiveMillis > limits.idleTimeoutMillis()) {
			this.channel.close();
			return;
		}
		if (this.server.closesIdle() && this.head == null && this.headStartedMillis < 0) {
			this.channel.close();
		}
	}

	/**
	 * Notes that bytes arrived, for the time that a head may take.
	 */
	void bytesArrived() {
		long now = this.server.timers().milliTime();
		this.lastActiveMillis = now;
		if (this.current == null && this.head == null && this.headStartedMillis < 0) {
			this.headStartedMillis = now;
		}
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (this.closing) {
			ReferenceCountUtil.release(message);
			return;
		}
		if (this.current != null) {
			this.queued.add(message);
			if (this.queued.size() > MAXIMUM_QUEUED_MESSAGES) {
				this.channel.config().setAutoRead(false);
			}
			return;
		}
		accept(message);
	}

	private void accept(Object message) {
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
		if (request.decoderResult().isFailure()) {
			refuse((request.decoderResult().cause() instanceof TooLongFrameException)
					? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE : HttpResponseStatus.BAD_REQUEST);
			return;
		}
		if (!RequestHeadValidator.isAcceptable(request)) {
			refuse(HttpResponseStatus.BAD_REQUEST);
			return;
		}
		if (HttpUtil.getContentLength(request, 0L) > this.server.limits().maximumBodyBytes()) {
			refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
			return;
		}
		this.head = request;
		this.body = Unpooled.EMPTY_BUFFER;
		if (HttpUtil.is100ContinueExpected(request)) {
			this.channel.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
		}
	}

	private void addBody(HttpContent content) {
		if (content.decoderResult().isFailure()) {
			refuse(HttpResponseStatus.BAD_REQUEST);
			return;
		}
		int size = this.body.readableBytes() + content.content().readableBytes();
		if (size > this.server.limits().maximumBodyBytes()) {
			refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
			return;
		}
		if (content.content().isReadable()) {
			if (this.body == Unpooled.EMPTY_BUFFER) {
				this.body = Unpooled.buffer(content.content().readableBytes());
			}
			this.body.writeBytes(content.content());
		}
		if (content instanceof LastHttpContent) {
			complete();
		}
	}

	private void complete() {
		HttpRequest request = this.head;
		if (request == null) {
			return;
		}
		byte[] bytes = EMPTY;
		if (this.body.isReadable()) {
			bytes = new byte[this.body.readableBytes()];
			this.body.readBytes(bytes);
		}
		this.head = null;
		this.body = Unpooled.EMPTY_BUFFER;
		Exchange exchange = new Exchange(request, bytes, this.server.timers().milliTime());
		this.current = exchange;
		this.server.accept(exchange);
	}

	private void refuse(HttpResponseStatus status) {
		this.closing = true;
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status);
		response.headers()
			.set(HttpHeaderNames.CONTENT_LENGTH, 0)
			.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		this.channel.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
		this.server.refused(status.code());
	}

	private void finished(boolean close) {
		this.current = null;
		this.lastActiveMillis = this.server.timers().milliTime();
		if (close) {
			this.closing = true;
			releaseQueued();
			return;
		}
		while (this.current == null && !this.closing && !this.queued.isEmpty()) {
			accept(this.queued.poll());
		}
		if (this.queued.size() <= MAXIMUM_QUEUED_MESSAGES && !this.channel.config().isAutoRead()) {
			this.channel.config().setAutoRead(true);
		}
	}

	private void releaseQueued() {
		this.queued.forEach(ReferenceCountUtil::release);
		this.queued.clear();
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.closing = true;
		this.check.dispose();
		releaseQueued();
		this.server.closed(this);
		Exchange exchange = this.current;
		this.current = null;
		if (exchange != null) {
			exchange.gone();
		}
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext context) {
		if (this.channel.isWritable() && this.current != null && this.current.observer != null) {
			this.current.observer.onWritable();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		this.channel.close();
	}

	private final class Exchange implements CallerExchange {

		private final HttpRequest request;

		private final byte[] bytes;

		private final long arrived;

		private @Nullable Observer observer;

		private boolean chunked;

		private boolean done;

		private Exchange(HttpRequest request, byte[] bytes, long arrived) {
			this.request = request;
			this.bytes = bytes;
			this.arrived = arrived;
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
			return this.bytes;
		}

		@Override
		public long arrivedMillis() {
			return this.arrived;
		}

		private boolean keepsOpen() {
			return HttpUtil.isKeepAlive(this.request) && !CallerConnection.this.server.isDraining();
		}

		@Override
		public void respond(int status, HttpHeaders headers, byte[] content) {
			if (this.done) {
				return;
			}
			boolean keep = keepsOpen();
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
			DefaultHttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1,
					HttpResponseStatus.valueOf(status));
			response.headers().set(headers);
			this.chunked = this.request.protocolVersion().equals(HttpVersion.HTTP_1_1);
			if (this.chunked) {
				response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
			}
			if (!keepsOpen() || !this.chunked) {
				response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
			}
			CallerConnection.this.channel.write(response);
		}

		@Override
		public boolean write(byte[] data) {
			if (!this.done) {
				CallerConnection.this.channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(data)));
			}
			return CallerConnection.this.channel.isWritable();
		}

		@Override
		public void endStream() {
			if (!this.done) {
				end(LastHttpContent.EMPTY_LAST_CONTENT, keepsOpen() && this.chunked);
			}
		}

		private void end(Object last, boolean keep) {
			this.done = true;
			this.observer = null;
			if (!keep && last instanceof FullHttpResponse response) {
				response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
			}
			if (keep) {
				CallerConnection.this.channel.writeAndFlush(last);
			}
			else {
				CallerConnection.this.channel.writeAndFlush(last).addListener(ChannelFutureListener.CLOSE);
			}
			if (CallerConnection.this.current == this) {
				finished(!keep);
			}
		}

		@Override
		public void abort() {
			this.done = true;
			this.observer = null;
			CallerConnection.this.channel.close();
		}

		@Override
		public void setObserver(@Nullable Observer newObserver) {
			this.observer = newObserver;
		}

		private void gone() {
			this.done = true;
			Observer hearing = this.observer;
			this.observer = null;
			if (hearing != null) {
				hearing.onDisconnected();
			}
		}

	}

}
