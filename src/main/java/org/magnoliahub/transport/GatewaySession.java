package org.magnoliahub.transport;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.processors.PublishProcessor;
import io.reactivex.rxjava3.subjects.CompletableSubject;
import org.magnoliahub.protocol.Message;

/**
 * An agent's side of the connection from one gateway. All methods are called on the event
 * loop.
 */
public final class GatewaySession {

	private final FramedChannel channel;

	private final Message.Hello peer;

	private final PublishProcessor<Message> messages = PublishProcessor.create();

	private final CompletableSubject closed = CompletableSubject.create();

	GatewaySession(FramedChannel channel, Message.Hello peer) {
		this.channel = channel;
		this.peer = peer;
	}

	/**
	 * Returns the gateway's greeting.
	 * @return the greeting
	 */
	public Message.Hello peer() {
		return this.peer;
	}

	/**
	 * Sends a message.
	 * @param message the message
	 * @return whether it was handed to the connection; {@code false} if the connection is
	 * closed, the message is larger than a frame, or it is a chunk and
	 * {@link Transport#CHUNK_WRITE_LIMIT_BYTES} are waiting. Any other message beyond
	 * {@link Transport#WRITE_LIMIT_BYTES} closes the connection
	 */
	public boolean send(Message message) {
		return this.channel.send(message);
	}

	/**
	 * Returns the messages after the greeting, on the event loop.
	 * @return a hot stream that completes when the connection is closed; a subscriber
	 * that subscribes while the session is handed over misses none, and one that requests
	 * too few gets a {@code MissingBackpressureException}
	 */
	public Flowable<Message> messages() {
		return this.messages;
	}

	/**
	 * Returns the end of the connection, on the event loop.
	 * @return completes when the connection is closed for whatever reason
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
