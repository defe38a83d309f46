package org.magnoliahub.entry;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import org.jspecify.annotations.Nullable;
import org.magnoliahub.platform.PlatformHeaders;
import org.magnoliahub.serving.ResponseHead;
import org.magnoliahub.time.Timers;

/**
 * A connection to an endpoint or to the store. Answers that belong to an earlier request
 * are skipped; bytes outside an answer close the connection.
 */
final class HttpConnection extends SimpleChannelInboundHandler<HttpObject> {

	/** Taken off the idle time that the peer states, for the way of the next request. */
	private static final long KEEP_ALIVE_MARGIN_MILLIS = 300;

	private final HttpClient client;

	private final String address;

	private final Timers timers;

	private final ResponseOverheadLimit limit = new ResponseOverheadLimit(
			() -> giveUp("bytes without end that are no answer"));

	private @Nullable Channel channel;

	private @Nullable HttpExchange exchange;

	private @Nullable ChannelFuture writing;

	private boolean headRequest;

	private boolean skipping;

	private boolean answering;

	private boolean reusable;

	private @Nullable Throwable broken;

	private long idleSince;

	private long keptMillis;

	private long keepAliveMillis = Long.MAX_VALUE;

	HttpConnection(HttpClient client, String address, Timers timers) {
		this.client = client;
		this.address = address;
		this.timers = timers;
	}

	void install(Channel opened) {
		this.channel = opened;
		opened.pipeline().addLast(new HttpRequestEncoder(), this.limit, new Decoder(), this);
	}

	boolean isUsable(long now, long maximumIdleMillis) {
		Channel open = this.channel;
		long idle = now - this.idleSince;
		return open != null && open.isActive() && idle <= maximumIdleMillis
				&& idle <= this.keepAliveMillis - KEEP_ALIVE_MARGIN_MILLIS;
	}

	/**
	 * Returns whether the connection can still be used by the kind of request that it
	 * served last.
	 * @param now monotonic time, in milliseconds
	 * @return whether to keep it open
	 */
	boolean isKept(long now) {
		return isUsable(now, this.keptMillis);
	}

	void close() {
		if (this.channel != null) {
			this.channel.close();
		}
	}

	void start(HttpExchange next) {
		Channel open = this.channel;
		if (open == null) {
			next.fail(false, "not connected");
			return;
		}
		HttpCall call = next.call();
		this.exchange = next;
		this.limit.expect();
		this.skipping = false;
		this.answering = false;
		this.headRequest = call.method().equals(HttpMethod.HEAD);
		next.attached(open);
		DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, call.method(), call.target(),
				Unpooled.wrappedBuffer(call.body()));
		request.headers().set(call.headers());
		if (!request.headers().contains(HttpHeaderNames.HOST)) {
			request.headers().set(HttpHeaderNames.HOST, call.address());
		}
		if (call.body().length > 0 || needsLength(call.method())) {
			request.headers().set(HttpHeaderNames.CONTENT_LENGTH, call.body().length);
		}
		this.writing = open.writeAndFlush(request);
	}

	private static boolean needsLength(HttpMethod method) {
		return method.equals(HttpMethod.POST) || method.equals(HttpMethod.PUT) || method.equals(HttpMethod.PATCH);
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
		if (message.decoderResult().isFailure()) {
			giveUp("malformed answer: " + message.decoderResult().cause().getMessage());
			return;
		}
		if (message instanceof HttpResponse response) {
			onResponse(response);
		}
		if (message instanceof HttpContent content) {
			onContent(content);
		}
	}

	private void onResponse(HttpResponse response) {
		HttpExchange current = this.exchange;
		if (current == null || current.isOver()) {
			close();
			return;
		}
		if (response.status().code() < 200) {
			return;
		}
		ResponseHead head = PlatformHeaders.answerHead(response);
		this.skipping = !current.call().responseFilter().test(head);
		this.reusable = !head.closesConnection() && isFramed(response);
		if (head.keepAliveMillis() >= 0) {
			this.keepAliveMillis = head.keepAliveMillis();
		}
		if (!this.skipping) {
			this.answering = true;
			current.call().interceptor().onHead(head);
			current.listener().onHead(response, head);
		}
	}

	private boolean isFramed(HttpResponse response) {
		return this.headRequest || HttpUtil.isTransferEncodingChunked(response) || HttpUtil.isContentLengthSet(response)
				|| response.status().code() == 204 || response.status().code() == 304;
	}

	private void onContent(HttpContent content) {
		HttpExchange current = this.exchange;
		if (current == null) {
			return;
		}
		if (this.skipping) {
			this.skipping = !(content instanceof LastHttpContent);
			return;
		}
		if (!this.answering) {
			return;
		}
		ByteBuf data = content.content();
		this.limit.accept(data.readableBytes());
		if (this.limit.accepted() > current.call().maximumBodyBytes()) {
			giveUp("answer too large");
			return;
		}
		if (data.isReadable() && !current.isOver()) {
			current.listener().onBody(data);
		}
		if (content instanceof LastHttpContent) {
			onLast(current);
		}
	}

	private void onLast(HttpExchange current) {
		if (this.broken != null) {
			giveUp("connection reset: " + this.broken.getMessage());
			return;
		}
		this.exchange = null;
		this.answering = false;
		this.limit.complete();
		boolean written = this.writing != null && this.writing.isDone();
		if (this.reusable && written && this.channel != null && this.channel.isActive()
				&& current.call().maximumIdleMillis() > 0 && !current.isOver()) {
			this.idleSince = this.timers.milliTime();
			this.keptMillis = current.call().maximumIdleMillis();
			this.channel.config().setAutoRead(true);
			this.client.release(this.address, this);
		}
		else {
			close();
		}
		current.finish();
	}

	private void giveUp(String reason) {
		HttpExchange current = this.exchange;
		this.exchange = null;
		this.limit.complete();
		close();
		if (current != null) {
			current.fail(true, reason);
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		this.broken = cause;
		giveUp("connection failed: " + cause.getMessage());
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.client.forget(this.address, this);
		giveUp("connection closed");
	}

	private final class Decoder extends HttpResponseDecoder {

		@Override
		protected boolean isContentAlwaysEmpty(HttpMessage message) {
			return HttpConnection.this.headRequest || super.isContentAlwaysEmpty(message);
		}

	}

}
