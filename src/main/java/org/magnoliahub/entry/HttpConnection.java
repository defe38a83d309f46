package org.magnoliahub.entry;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import org.jspecify.annotations.Nullable;
import org.magnoliahub.platform.PlatformHeaders;
import org.magnoliahub.serving.ResponseHead;
import org.magnoliahub.time.Timers;

/**
 * A connection to an endpoint or to the store. Responses to earlier requests are skipped.
 * Bytes outside a response close the connection.
 */
final class HttpConnection extends SimpleChannelInboundHandler<HttpObject> {

	/**
	 * Subtracted from the keep-alive timeout that the peer states, to cover the transit
	 * of the next request.
	 */
	private static final long KEEP_ALIVE_MARGIN_MILLIS = 300;

	private final HttpClient client;

	private final HttpCall.ConnectionKey key;

	private final Timers timers;

	private final ResponseOverheadLimit overheadLimit = new ResponseOverheadLimit(
			() -> abort("bytes without end that are no answer"));

	private final StrictResponseDecoder decoder = new StrictResponseDecoder();

	private final CarriedRequestIds carriedIds = new CarriedRequestIds();

	private @Nullable Channel channel;

	private @Nullable HttpExchange exchange;

	private @Nullable ChannelFuture requestWrite;

	private boolean headRequest;

	private boolean skippingResponse;

	private boolean receivingResponse;

	private boolean reusable;

	private long idleSinceMillis;

	private long maximumIdleMillis;

	private long keepAliveTimeoutMillis = Long.MAX_VALUE;

	HttpConnection(HttpClient client, HttpCall.ConnectionKey key, Timers timers) {
		this.client = client;
		this.key = key;
		this.timers = timers;
	}

	void install(Channel opened) {
		this.channel = opened;
		// The end of the peer's output arrives as an event of its own, so that it differs
		// from a failed write, which closes the channel without an exception event.
		opened.config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
		opened.pipeline().addLast(new HttpRequestEncoder(), this.overheadLimit, this.decoder, this);
	}

	boolean isUsable(long now, long maximumIdleMillis) {
		Channel open = this.channel;
		long idle = now - this.idleSinceMillis;
		return open != null && open.isActive() && idle <= maximumIdleMillis
				&& idle <= this.keepAliveTimeoutMillis - KEEP_ALIVE_MARGIN_MILLIS;
	}

	/**
	 * Returns whether the connection can be reused for requests like its last one.
	 * @param now the monotonic time, in milliseconds
	 * @return whether to keep the connection open
	 */
	boolean isReusable(long now) {
		return isUsable(now, this.maximumIdleMillis);
	}

	/**
	 * Returns whether the connection can carry a request after those that it has carried.
	 * @param call the request
	 * @return {@code false} if a response to an earlier request could be mistaken for the
	 * response to this one
	 */
	boolean canCarry(HttpCall call) {
		String requestId = call.requestId();
		return requestId == null || !this.carriedIds.mayContain(requestId);
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
		if (call.requestId() != null) {
			this.carriedIds.add(call.requestId());
		}
		this.overheadLimit.beginResponse();
		this.skippingResponse = false;
		this.receivingResponse = false;
		this.headRequest = call.method().equals(HttpMethod.HEAD);
		this.decoder.beginResponse(this.headRequest);
		next.setConnectedChannel(open);
		this.requestWrite = open.writeAndFlush(request(call));
	}

	private static FullHttpRequest request(HttpCall call) {
		FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, call.method(), call.target(),
				Unpooled.wrappedBuffer(call.body()));
		request.headers().set(call.headers());
		if (!request.headers().contains(HttpHeaderNames.HOST)) {
			request.headers().set(HttpHeaderNames.HOST, call.address());
		}
		if (call.body().length > 0 || requiresContentLength(call.method())) {
			request.headers().set(HttpHeaderNames.CONTENT_LENGTH, call.body().length);
		}
		return request;
	}

	private static boolean requiresContentLength(HttpMethod method) {
		return method.equals(HttpMethod.POST) || method.equals(HttpMethod.PUT) || method.equals(HttpMethod.PATCH);
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
		if (message.decoderResult().isFailure()) {
			abort("malformed answer: " + message.decoderResult().cause().getMessage());
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
		if (current == null || current.isEnded()) {
			close();
			return;
		}
		if (PlatformHeaders.hasSeveralHeads(response)) {
			abort("malformed answer: parts of several heads");
			return;
		}
		if (response.status().code() < 200) {
			return;
		}
		ResponseHead head = PlatformHeaders.answerHead(response);
		this.skippingResponse = !current.call().isAnsweredBy(head);
		if (this.skippingResponse) {
			return;
		}
		this.receivingResponse = true;
		// A refusal that the peer repeats could be taken for the next response if that
		// names no request.
		boolean distinguishable = current.call().requestId() != null || head.isSuccess();
		this.reusable = distinguishable && !head.closesConnection() && (this.headRequest || !head.endsWithConnection());
		if (head.keepAliveMillis() >= 0) {
			this.keepAliveTimeoutMillis = head.keepAliveMillis();
		}
		current.call().interceptor().onHead(head);
		current.listener().onHead(response, head);
	}

	private void onContent(HttpContent content) {
		HttpExchange current = this.exchange;
		if (current == null) {
			return;
		}
		if (this.skippingResponse) {
			this.skippingResponse = !(content instanceof LastHttpContent);
			return;
		}
		if (!this.receivingResponse) {
			return;
		}
		ByteBuf data = content.content();
		this.overheadLimit.addBodyBytes(data.readableBytes());
		if (this.overheadLimit.bodyBytes() > current.call().maximumBodyBytes()) {
			abort("answer too large");
			return;
		}
		if (data.isReadable() && !current.isEnded()) {
			current.listener().onBody(data);
		}
		if (content instanceof LastHttpContent) {
			onResponseEnd(current);
		}
	}

	private void onResponseEnd(HttpExchange current) {
		if (this.decoder.isBrokenOff()) {
			abort("connection broken off within the answer");
			return;
		}
		this.exchange = null;
		this.receivingResponse = false;
		this.overheadLimit.endResponse();
		boolean written = this.requestWrite != null && this.requestWrite.isDone();
		// The next request may be sent before the decoder reads on, so bytes behind the
		// response would count as part of the next response.
		boolean kept = this.reusable && written && !this.decoder.hasUndecodedBytes() && !this.carriedIds.isFull();
		if (kept && this.channel != null && this.channel.isActive() && current.call().maximumIdleMillis() > 0
				&& !current.isEnded()) {
			this.idleSinceMillis = this.timers.milliTime();
			this.maximumIdleMillis = current.call().maximumIdleMillis();
			this.channel.config().setAutoRead(true);
			this.client.returnToPool(this.key, this);
		}
		else {
			close();
		}
		current.finish();
	}

	private void abort(String reason) {
		HttpExchange current = this.exchange;
		this.exchange = null;
		this.overheadLimit.endResponse();
		close();
		if (current != null) {
			current.fail(true, reason);
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		abort("connection failed: " + cause.getMessage());
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext context, Object event) {
		if (event instanceof ChannelInputShutdownEvent) {
			// The decoder has already delivered the end of a response without a length.
			close();
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.client.removeFromPool(this.key, this);
		abort("connection closed");
	}

}
