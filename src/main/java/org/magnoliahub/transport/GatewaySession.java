package org.magnoliahub.transport;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.processors.PublishProcessor;
import io.reactivex.rxjava3.subjects.CompletableSubject;
import org.magnoliahub.protocol.Message;

/**
 * The agent's side of a connection from one gateway. All methods must be called on the
 * event loop.
 */
public final class GatewaySession {

	private final FramedChannel channel;

	private final Message.Hello gatewayHello;

	private final PublishProcessor<Message> messages = PublishProcessor.create();

	private final CompletableSubject closed = CompletableSubject.create();

	GatewaySession(FramedChannel channel, Message.Hello gatewayHello) {
		this.channel = channel;
		this.gatewayHello = gatewayHello;
	}

	/**
	 * Returns the hello message of the gateway.
	 * @return the hello message
	 */
	public Message.Hello gatewayHello() {
		return this.gatewayHello;
	}

	/**
	 * Sends a message.
	 * @param message the message
	 * @return whether the message was passed to the connection; {@code false} if the
	 * connection is closed, the message exceeds the maximum frame size, or it is a chunk
	 * and more than {@link Transport#CHUNK_WRITE_LIMIT_BYTES} wait to be written. Any
	 * other message that would exceed {@link Transport#WRITE_LIMIT_BYTES} closes the
	 * connection
	 */
	public boolean send(Message message) {
		return this.channel.send(message);
	}

	/**
	 * Returns the messages that follow the hello message, on the event loop.
	 * @return a hot stream that completes when the connection is closed; a subscriber
	 * that subscribes while the server passes on the session misses none, and one that
	 * requests too few gets a {@code MissingBackpressureException}
	 */
	public Flowable<Message> messages() {
		return this.messages;
	}

	/**
	 * Signals that the connection is closed, on the event loop.
	 * @return completes when the connection is closed for any reason
	 */
	public Completable closed() {
		return this.closed;
	}

	/**
	 * Closes the connection.
	 */
	public void close() {
		this.channel.close(CloseReason.LOCAL);
	}

	void onMessage(Message message) {
		this.messages.onNext(message);
	}

	void onClosed() {
		this.messages.onComplete();
		this.closed.onComplete();
	}

}
