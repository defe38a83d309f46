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
 * Tracks one attempt at one agent to its end. Chunks that arrive out of order are
 * reordered, and a result is complete only when all of its chunks have arrived. An
 * idempotent attempt is abandoned when the connection is lost. For a non-idempotent
 * attempt, a revocation is sent after reconnection, since only the agent knows whether
 * the attempt ran.
 */
final class StageAttempt {

	private static final int MAXIMUM_CHUNKS_OUT_OF_ORDER = 256;

	private static final int CHUNKS_PER_CREDIT = 32;

	private static final Message.LoadReport UNKNOWN_LOAD = new Message.LoadReport(0, 0, 0);

	private final AttemptDispatcher dispatcher;

	private final AgentConnection connection;

	private final Message.Execute execute;

	private final Consumer<String> chunkConsumer;

	private final SingleEmitter<AttemptResult> emitter;

	private final CompositeDisposable subscriptions = new CompositeDisposable();

	private final TreeMap<Integer, String> bufferedChunks = new TreeMap<>();

	private final StringBuilder content = new StringBuilder();

	private int nextSequence;

	private Message.@Nullable Completed completed;

	private StageAttempt(AttemptDispatcher dispatcher, AgentConnection connection, Message.Execute execute,
			Consumer<String> chunkConsumer, SingleEmitter<AttemptResult> emitter) {
		this.dispatcher = dispatcher;
		this.connection = connection;
		this.execute = execute;
		this.chunkConsumer = chunkConsumer;
		this.emitter = emitter;
	}

	/**
	 * Sends an attempt and tracks it to its end.
	 * @param dispatcher dispatches messages from agents
	 * @param connection connection to the agent
	 * @param execute message that starts the attempt
	 * @param chunkConsumer receives the chunks of a streamed result in order
	 * @return result of the attempt; disposal tells the agent that the result is no
	 * longer needed
	 */
	static Single<AttemptResult> send(AttemptDispatcher dispatcher, AgentConnection connection, Message.Execute execute,
			Consumer<String> chunkConsumer) {
		return track(dispatcher, connection, execute, chunkConsumer, execute);
	}

	/**
	 * Asks the agent to revoke an attempt that a gateway may have sent, and tracks it to
	 * its end if it is already running.
	 * @param dispatcher dispatches messages from agents
	 * @param connection connection to the agent
	 * @param execute message that starts the attempt as it was recorded in the claim
	 * @return result of the attempt
	 */
	static Single<AttemptResult> revoke(AttemptDispatcher dispatcher, AgentConnection connection,
			Message.Execute execute) {
		return track(dispatcher, connection, execute, (chunk) -> {
		}, revokeMessage(execute));
	}

	private static Single<AttemptResult> track(AttemptDispatcher dispatcher, AgentConnection connection,
			Message.Execute execute, Consumer<String> chunkConsumer, Message firstMessage) {
		return Single.create((emitter) -> {
			StageAttempt attempt = new StageAttempt(dispatcher, connection, execute, chunkConsumer, emitter);
			emitter.setCancellable(attempt::cancel);
			attempt.start(firstMessage);
		});
	}

	private static Message.Revoke revokeMessage(Message.Execute execute) {
		return new Message.Revoke(execute.attempt(), execute.targetIncarnation(), execute.agentMillisSeen());
	}

	private void start(Message firstMessage) {
		this.subscriptions.add(this.dispatcher.listen(this.connection, this.execute.attempt(), this::receive));
		this.subscriptions.add(this.connection.connectionChanges().subscribe(this::connectionChanged));
		boolean sent = this.connection.send(firstMessage);
		if (!sent && firstMessage instanceof Message.Execute) {
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
			this.connection.send(revokeMessage(this.execute));
		}
	}

	private void receive(Message.AttemptMessage message) {
		if (message instanceof Message.Chunk chunk && isFromTargetIncarnation(chunk.incarnation())) {
			receiveChunk(chunk);
		}
		else if (message instanceof Message.Completed finished && isFromTargetIncarnation(finished.incarnation())) {
			this.completed = finished;
			endIfComplete();
		}
		else if (message instanceof Message.Failed failed && isFromTargetIncarnation(failed.incarnation())) {
			end(new AttemptResult.Failed(failed.detail()));
		}
		else if (message instanceof Message.Rejected rejected) {
			end(new AttemptResult.NeverStarted(rejected.reason()));
		}
		else if (message instanceof Message.RevokeResult revoked) {
			receiveRevokeResult(revoked);
		}
	}

	private boolean isFromTargetIncarnation(long incarnation) {
		return incarnation == this.execute.targetIncarnation();
	}

	private void receiveChunk(Message.Chunk chunk) {
		if (chunk.sequence() < this.nextSequence) {
			return;
		}
		this.bufferedChunks.put(chunk.sequence(), chunk.content());
		if (this.bufferedChunks.size() > MAXIMUM_CHUNKS_OUT_OF_ORDER) {
			end(new AttemptResult.Failed("parts of the result are missing"));
			return;
		}
		while (!this.bufferedChunks.isEmpty() && this.bufferedChunks.firstKey() == this.nextSequence) {
			String text = this.bufferedChunks.pollFirstEntry().getValue();
			this.nextSequence++;
			this.content.append(text);
			this.chunkConsumer.accept(text);
			if (this.nextSequence % CHUNKS_PER_CREDIT == 0) {
				this.connection.send(new Message.Credit(this.execute.attempt(), CHUNKS_PER_CREDIT));
			}
		}
		endIfComplete();
	}

	private void receiveRevokeResult(Message.RevokeResult revoked) {
		AttemptState state = revoked.state();
		if (state == AttemptState.UNKNOWN_INCARNATION) {
			end(new AttemptResult.Lost("the agent restarted after the attempt was recorded"));
			return;
		}
		if (!isFromTargetIncarnation(revoked.incarnation())) {
			return;
		}
		switch (state) {
			case NEVER_STARTED -> end(new AttemptResult.NeverStarted(RejectionReason.REVOKED));
			case COMPLETED -> end(new AttemptResult.Completed(revoked.output(), UNKNOWN_LOAD));
			case FAILED -> end(new AttemptResult.Failed("the attempt failed before"));
			case EXPIRED -> end(new AttemptResult.Lost("the agent no longer remembers attempts of that age"));
			default -> {
				// A running attempt is tracked until its terminal message.
			}
		}
	}

	private void endIfComplete() {
		Message.Completed completion = this.completed;
		if (completion == null || this.nextSequence < completion.sequence()) {
			return;
		}
		StageOutput output = completion.output();
		StageOutput assembled = (completion.sequence() == 0) ? output
				: new StageOutput(output.stage(), this.content.toString(), output.units(), output.endpointMillis());
		end(new AttemptResult.Completed(assembled, completion.load()));
	}

	private void end(AttemptResult attemptResult) {
		this.subscriptions.dispose();
		this.emitter.onSuccess(attemptResult);
	}

	private void cancel() {
		if (!this.subscriptions.isDisposed()) {
			this.subscriptions.dispose();
			if (!this.dispatcher.hasListener(this.connection, this.execute.attempt())) {
				this.connection.send(new Message.Cancel(this.execute.attempt()));
			}
		}
	}

}
