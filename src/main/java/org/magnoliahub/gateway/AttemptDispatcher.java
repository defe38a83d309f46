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
 * Delivers each message about an attempt to all that wait for it: the request that sent
 * the attempt, and repetitions of the request that ask the agent for it. Messages that
 * nobody waits for, and messages from another endpoint than the one asked, are counted
 * and dropped.
 */
final class AttemptDispatcher {

	private final Map<AgentConnection, Map<AttemptId, List<Consumer<Message.AboutAttempt>>>> listeners = new HashMap<>();

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
		Map<AttemptId, List<Consumer<Message.AboutAttempt>>> byAttempt = this.listeners.computeIfAbsent(connection,
				this::subscribe);
		byAttempt.computeIfAbsent(attempt, (id) -> new ArrayList<>(1)).add(listener);
		return Disposable.fromRunnable(() -> byAttempt.computeIfPresent(attempt, (id, present) -> {
			present.remove(listener);
			return present.isEmpty() ? null : present;
		}));
	}

	/**
	 * Returns whether an attempt is listened for.
	 * @param connection the connection that the attempt was sent on
	 * @param attempt the attempt
	 * @return whether somebody waits for messages about it
	 */
	boolean isAwaited(AgentConnection connection, AttemptId attempt) {
		return this.listeners.getOrDefault(connection, Map.of()).containsKey(attempt);
	}

	private Map<AttemptId, List<Consumer<Message.AboutAttempt>>> subscribe(AgentConnection connection) {
		Map<AttemptId, List<Consumer<Message.AboutAttempt>>> byAttempt = new HashMap<>();
		connection.messages()
			.ofType(Message.AboutAttempt.class)
			.doFinally(() -> this.listeners.remove(connection))
			.subscribe((message) -> deliver(byAttempt, message), (failure) -> this.dropped.increment());
		return byAttempt;
	}

	private void deliver(Map<AttemptId, List<Consumer<Message.AboutAttempt>>> byAttempt, Message.AboutAttempt message) {
		List<Consumer<Message.AboutAttempt>> present = byAttempt.get(message.attempt());
		if (present == null) {
			this.dropped.increment();
			return;
		}
		List.copyOf(present).forEach((listener) -> listener.accept(message));
	}

}
