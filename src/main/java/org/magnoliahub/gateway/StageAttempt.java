package org.magnoliahub.gateway;

import java.util.TreeMap;
import java.util.function.Consumer;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.core.SingleEmitter;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import org.jspecify.annotations.Nullable;
import org.magnoliahub.model.StageOutput;
import org.magnoliahub.protocol.AttemptState;
import org.magnoliahub.protocol.Message;
import org.magnoliahub.protocol.RejectionReason;

/**
 * Follows one attempt at one agent to its end. Parts that arrive out of order are put in
 * order; a result counts only when all of its parts have arrived. An idempotent attempt
 * is given up when the connection is lost. A non-idempotent one is asked for again after
 * the connection is restored, since only the agent knows whether it ran.
 */
final class StageAttempt {

	private static final int MAXIMUM_PARTS_OUT_OF_ORDER = 256;

	private static final int PARTS_PER_CREDIT = 32;

	private static final Message.LoadReport UNKNOWN_LOAD = new Message.LoadReport(0, 0, 0);

	private final AttemptDispatcher dispatcher;

	private final AgentConnection connection;

	private final Message.Execute execute;

	private final Consumer<String> parts;

	private final SingleEmitter<AttemptResult> result;

	private final CompositeDisposable subscriptions = new CompositeDisposable();

	private final TreeMap<Integer, String> outOfOrder = new TreeMap<>();

	private final StringBuilder content = new StringBuilder();

	private int nextPart;

	private Message.@Nullable Completed completed;

	private StageAttempt(AttemptDispatcher dispatcher, AgentConnection connection, Message.Execute execute,
			Consumer<String> parts, SingleEmitter<AttemptResult> result) {
		this.dispatcher = dispatcher;
		this.connection = connection;
		this.execute = execute;
		this.parts = parts;
		this.result = result;
	}

	/**
	 * Sends an attempt and follows it.
	 * @param dispatcher delivers the agent's messages
	 * @param connection connection to the agent
	 * @param execute the attempt
	 * @param parts receives parts of a streamed result in order
	 * @return how it ended; disposal tells the agent that the result is not wanted
	 */
	static Single<AttemptResult> send(AttemptDispatcher dispatcher, AgentConnection connection, Message.Execute execute,
			Consumer<String> parts) {
		return follow(dispatcher, connection, execute, parts, execute);
	}

	/**
	 * Asks the agent to revoke an attempt that some gateway may have sent, and follows it
	 * if it is running.
	 * @param dispatcher delivers the agent's messages
	 * @param connection connection to the agent
	 * @param execute the attempt as it was recorded
	 * @return how it ended
	 */
	static Single<AttemptResult> revoke(AttemptDispatcher dispatcher, AgentConnection connection,
			Message.Execute execute) {
		return follow(dispatcher, connection, execute, (part) -> {
		}, revocationOf(execute));
	}

	private static Single<AttemptResult> follow(AttemptDispatcher dispatcher, AgentConnection connection,
			Message.Execute execute, Consumer<String> parts, Message first) {
		return Single.create((emitter) -> {
			StageAttempt attempt = new StageAttempt(dispatcher, connection, execute, parts, emitter);
			emitter.setCancellable(attempt::close);
			attempt.start(first);
		});
	}

	private static Message.Revoke revocationOf(Message.Execute execute) {
		return new Message.Revoke(execute.attempt(), execute.targetIncarnation(), execute.agentMillisSeen());
	}

	private void start(Message first) {
		this.subscriptions.add(this.dispatcher.listen(this.connection, this.execute.attempt(), this::receive));
		this.subscriptions.add(this.connection.connectionChanges().subscribe(this::connectionChanged));
		boolean sent = this.connection.send(first);
		if (!sent && first instanceof Message.Execute) {
			end(new AttemptResult.NeverStarted(RejectionReason.ENDPOINT_UNREACHABLE));
		}
	}

	private void connectionChanged(boolean connected) {
		if (this.execute.idempotent()) {
			if (!connected) {
				end(new AttemptResult.Lost("the connection to the agent was lost"));
			}
			return;
		}
		if (connected) {
			this.connection.send(revocationOf(this.execute));
		}
	}

	private void receive(Message.AboutAttempt message) {
		if (message instanceof Message.Chunk chunk && isFromTarget(chunk.incarnation())) {
			receiveChunk(chunk);
		}
		else if (message instanceof Message.Completed finished && isFromTarget(finished.incarnation())) {
			this.completed = finished;
			endIfWhole();
		}
		else if (message instanceof Message.Failed failed && isFromTarget(failed.incarnation())) {
			end(new AttemptResult.Failed(failed.detail()));
		}
		else if (message instanceof Message.Rejected rejected) {
			end(new AttemptResult.NeverStarted(rejected.reason()));
		}
		else if (message instanceof Message.RevokeResult revoked) {
			receiveRevokeResult(revoked);
		}
	}

	private boolean isFromTarget(long incarnation) {
		return incarnation == this.execute.targetIncarnation();
	}

	private void receiveChunk(Message.Chunk chunk) {
		if (chunk.sequence() < this.nextPart) {
			return;
		}
		this.outOfOrder.put(chunk.sequence(), chunk.content());
		if (this.outOfOrder.size() > MAXIMUM_PARTS_OUT_OF_ORDER) {
			end(new AttemptResult.Failed("parts of the result are missing"));
			return;
		}
		while (!this.outOfOrder.isEmpty() && this.outOfOrder.firstKey() == this.nextPart) {
			String part = this.outOfOrder.pollFirstEntry().getValue();
			this.nextPart++;
			this.content.append(part);
			this.parts.accept(part);
			if (this.nextPart % PARTS_PER_CREDIT == 0) {
				this.connection.send(new Message.Credit(this.execute.attempt(), PARTS_PER_CREDIT));
			}
		}
		endIfWhole();
	}

	private void receiveRevokeResult(Message.RevokeResult revoked) {
		AttemptState state = revoked.state();
		if (state == AttemptState.UNKNOWN_INCARNATION) {
			end(new AttemptResult.Lost("the agent restarted after the attempt was recorded"));
			return;
		}
		if (!isFromTarget(revoked.incarnation())) {
			return;
		}
		switch (state) {
			case NEVER_STARTED -> end(new AttemptResult.NeverStarted(RejectionReason.REVOKED));
			case COMPLETED -> end(new AttemptResult.Completed(revoked.output(), UNKNOWN_LOAD));
			case FAILED -> end(new AttemptResult.Failed("the attempt failed before"));
			case EXPIRED -> end(new AttemptResult.Lost("the agent no longer remembers attempts of that age"));
			default -> {
				// A running attempt is followed until its terminal message.
			}
		}
	}

	private void endIfWhole() {
		Message.Completed last = this.completed;
		if (last == null || this.nextPart < last.sequence()) {
			return;
		}
		StageOutput output = last.output();
		StageOutput whole = (last.sequence() == 0) ? output
				: new StageOutput(output.stage(), this.content.toString(), output.units(), output.endpointMillis());
		end(new AttemptResult.Completed(whole, last.load()));
	}

	private void end(AttemptResult attemptResult) {
		this.subscriptions.dispose();
		this.result.onSuccess(attemptResult);
	}

	private void close() {
		if (!this.subscriptions.isDisposed()) {
			this.subscriptions.dispose();
			if (!this.dispatcher.isAwaited(this.connection, this.execute.attempt())) {
				this.connection.send(new Message.Cancel(this.execute.attempt()));
			}
		}
	}

}
