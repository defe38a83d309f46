package org.magnoliahub.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.reactivex.rxjava3.disposables.Disposable;
import org.magnoliahub.model.AttemptId;
import org.magnoliahub.protocol.Message;

/**
 * Delivers each message about an attempt to the attempt that waits for it. Messages that
 * nobody waits for, and messages from another endpoint than the one asked, are counted
 * and dropped.
 */
final class AttemptDispatcher {

	private final Map<AgentConnection, Map<AttemptId, Consumer<Message.AboutAttempt>>> listeners = new HashMap<>();

	private final Counter dropped;

	AttemptDispatcher(MeterRegistry meters) {
		this.dropped = meters.counter("magnoliahub.gateway.messages.dropped");
	}

	/**
	 * Delivers messages about one attempt until disposal.
	 * @param connection the connection that the attempt was sent on
	 * @param attempt the attempt
	 * @param listener receives the messages
	 * @return ends the delivery
	 */
	Disposable listen(AgentConnection connection, AttemptId attempt, Consumer<Message.AboutAttempt> listener) {
		Map<AttemptId, Consumer<Message.AboutAttempt>> byAttempt = this.listeners.computeIfAbsent(connection,
				this::subscribe);
		byAttempt.put(attempt, listener);
		return Disposable.fromRunnable(() -> byAttempt.remove(attempt, listener));
	}

	private Map<AttemptId, Consumer<Message.AboutAttempt>> subscribe(AgentConnection connection) {
		Map<AttemptId, Consumer<Message.AboutAttempt>> byAttempt = new HashMap<>();
		connection.messages()
			.ofType(Message.AboutAttempt.class)
			.doFinally(() -> this.listeners.remove(connection))
			.subscribe((message) -> deliver(byAttempt, message), (failure) -> this.dropped.increment());
		return byAttempt;
	}

	private void deliver(Map<AttemptId, Consumer<Message.AboutAttempt>> byAttempt, Message.AboutAttempt message) {
		Consumer<Message.AboutAttempt> listener = byAttempt.get(message.attempt());
		if (listener == null) {
			this.dropped.increment();
			return;
		}
		listener.accept(message);
	}

}
