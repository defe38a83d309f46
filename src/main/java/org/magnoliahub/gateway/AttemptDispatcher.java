package org.magnoliahub.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.reactivex.rxjava3.disposables.Disposable;
import org.magnoliahub.model.AttemptId;
import org.magnoliahub.protocol.Message;

/**
 * Dispatches each message about an attempt to all of its listeners: the request that sent
 * the attempt, and resubmissions of that request that query the agent about it. Messages
 * without a listener, and messages from an endpoint other than the one addressed, are
 * counted and dropped.
 */
final class AttemptDispatcher {

	private final Map<AgentConnection, Map<AttemptId, List<Consumer<Message.AttemptMessage>>>> listeners = new HashMap<>();

	private final Counter droppedMessages;

	AttemptDispatcher(MeterRegistry meters) {
		this.droppedMessages = meters.counter("magnoliahub.gateway.messages.dropped");
	}

	/**
	 * Registers a listener for the messages about one attempt.
	 * @param connection the connection on which the attempt was sent
	 * @param attempt the attempt
	 * @param listener called with each message
	 * @return removes the listener when it is disposed
	 */
	Disposable listen(AgentConnection connection, AttemptId attempt, Consumer<Message.AttemptMessage> listener) {
		Map<AttemptId, List<Consumer<Message.AttemptMessage>>> byAttempt = this.listeners.computeIfAbsent(connection,
				this::subscribe);
		byAttempt.computeIfAbsent(attempt, (id) -> new ArrayList<>(1)).add(listener);
		return Disposable.fromRunnable(() -> byAttempt.computeIfPresent(attempt, (id, registered) -> {
			registered.remove(listener);
			return registered.isEmpty() ? null : registered;
		}));
	}

	/**
	 * Returns whether an attempt has a listener.
	 * @param connection the connection on which the attempt was sent
	 * @param attempt the attempt
	 * @return whether a listener is registered
	 */
	boolean hasListener(AgentConnection connection, AttemptId attempt) {
		return this.listeners.getOrDefault(connection, Map.of()).containsKey(attempt);
	}

	private Map<AttemptId, List<Consumer<Message.AttemptMessage>>> subscribe(AgentConnection connection) {
		Map<AttemptId, List<Consumer<Message.AttemptMessage>>> byAttempt = new HashMap<>();
		connection.messages()
			.ofType(Message.AttemptMessage.class)
			.doFinally(() -> this.listeners.remove(connection))
			.subscribe((message) -> dispatch(byAttempt, message), (failure) -> this.droppedMessages.increment());
		return byAttempt;
	}

	private void dispatch(Map<AttemptId, List<Consumer<Message.AttemptMessage>>> byAttempt,
			Message.AttemptMessage message) {
		List<Consumer<Message.AttemptMessage>> registered = byAttempt.get(message.attempt());
		if (registered == null) {
			this.droppedMessages.increment();
			return;
		}
		List.copyOf(registered).forEach((listener) -> listener.accept(message));
	}

}
