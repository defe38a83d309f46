package org.magnoliahub.protocol;

import java.util.List;

import org.magnoliahub.model.AttemptId;
import org.magnoliahub.model.StageCall;
import org.magnoliahub.model.StageOutput;

/**
 * A message between a gateway and an agent.
 */
public sealed interface Message {

	/**
	 * A message that refers to an attempt.
	 */
	sealed interface AttemptMessage extends Message {

		/**
		 * Returns the id of the attempt.
		 * @return the id
		 */
		AttemptId attempt();

	}

	/**
	 * Hello message: the first message in each direction, which identifies the sender.
	 *
	 * @param protocolVersion protocol version of the sender
	 * @param process name of the sending process
	 * @param incarnation number that differs between runs of the process
	 * @param availabilityZone name of the sender's availability zone
	 * @param endpoint name of the endpoint that the agent serves, empty if the sender is
	 * a gateway
	 * @param configurationVersion version of the sender's current configuration
	 * @param processMillis the sender's monotonic time, in milliseconds
	 * @param draining whether the sender is draining
	 */
	record Hello(int protocolVersion, String process, long incarnation, String availabilityZone, String endpoint,
			long configurationVersion, long processMillis, boolean draining) implements Message {
	}

	/**
	 * Asks an agent to run an attempt.
	 *
	 * @param attempt id of the attempt
	 * @param targetIncarnation incarnation of the agent that the attempt is addressed to
	 * @param idempotent whether the call may be retried after it has started
	 * @param agentMillisSeen the agent's monotonic time that the gateway last received
	 * before it recorded the attempt, in milliseconds
	 * @param budgetMillis time left until the deadline of the attempt, in milliseconds
	 * @param priority priority of the call, 0 is the highest
	 * @param call the stage call to run
	 */
	record Execute(AttemptId attempt, long targetIncarnation, boolean idempotent, long agentMillisSeen,
			long budgetMillis, int priority, StageCall call) implements AttemptMessage {
	}

	/**
	 * Chunk of a streamed result.
	 *
	 * @param attempt id of the attempt
	 * @param incarnation the agent's incarnation
	 * @param sequence index of the chunk within the attempt, from 0
	 * @param content text of the chunk
	 */
	record Chunk(AttemptId attempt, long incarnation, int sequence, String content) implements AttemptMessage {
	}

	/**
	 * The attempt completed. Its result is the content of the preceding chunks or, if
	 * there were none, the content of this message.
	 *
	 * @param attempt id of the attempt
	 * @param incarnation the agent's incarnation
	 * @param sequence number of chunks sent before this message
	 * @param output result of the call; its content is empty if chunks were sent
	 * @param load load of the endpoint after the attempt
	 */
	record Completed(AttemptId attempt, long incarnation, int sequence, StageOutput output,
			LoadReport load) implements AttemptMessage {
	}

	/**
	 * The attempt started and did not complete.
	 *
	 * @param attempt id of the attempt
	 * @param incarnation the agent's incarnation
	 * @param detail description of the failure
	 * @param load load of the endpoint after the attempt
	 */
	record Failed(AttemptId attempt, long incarnation, String detail, LoadReport load) implements AttemptMessage {
	}

	/**
	 * The attempt was not started and never will be.
	 *
	 * @param attempt id of the attempt
	 * @param incarnation the agent's incarnation
	 * @param reason reason for the rejection
	 */
	record Rejected(AttemptId attempt, long incarnation, RejectionReason reason) implements AttemptMessage {
	}

	/**
	 * Tells an agent that the gateway no longer needs the result of an attempt.
	 *
	 * @param attempt id of the attempt
	 */
	record Cancel(AttemptId attempt) implements AttemptMessage {
	}

	/**
	 * Asks an agent to ensure that an attempt never starts or, if it has already started,
	 * to report its state.
	 *
	 * @param attempt id of the attempt
	 * @param targetIncarnation incarnation of the agent that the attempt was addressed to
	 * @param agentMillisSeen the agent's monotonic time recorded with the attempt, in
	 * milliseconds
	 */
	record Revoke(AttemptId attempt, long targetIncarnation, long agentMillisSeen) implements AttemptMessage {
	}

	/**
	 * Response to {@link Revoke}.
	 *
	 * @param attempt id of the attempt
	 * @param incarnation the agent's incarnation
	 * @param state state of the attempt at the agent
	 * @param output result if the state is {@link AttemptState#COMPLETED}, otherwise an
	 * empty output
	 */
	record RevokeResult(AttemptId attempt, long incarnation, AttemptState state,
			StageOutput output) implements AttemptMessage {
	}

	/**
	 * Load of an endpoint.
	 *
	 * @param running number of running calls
	 * @param waiting number of accepted calls that have not started yet
	 * @param agentMillis the agent's monotonic time, in milliseconds
	 */
	record LoadReport(int running, int waiting, long agentMillis) implements Message {
	}

	/**
	 * Tells a gateway that the agent is draining. The gateway acknowledges by sending the
	 * message back. The agent receives it after all attempts that the gateway sent before
	 * it learned of the drain.
	 *
	 * @param incarnation the agent's incarnation
	 */
	record Draining(long incarnation) implements Message {
	}

	/**
	 * Announces the highest configuration version known to the sender, with the changes
	 * that a receiver with an older version is missing.
	 *
	 * @param version highest version known to the sender
	 * @param changes encoded changes in ascending order of version, may be empty
	 */
	record ConfigurationChanges(long version, List<String> changes) implements Message {

		public ConfigurationChanges {
			changes = List.copyOf(changes);
		}

	}

	/**
	 * Allows an agent to send more chunks of an attempt.
	 *
	 * @param attempt id of the attempt
	 * @param chunks number of further chunks
	 */
	record Credit(AttemptId attempt, int chunks) implements AttemptMessage {
	}

	/**
	 * Asks an agent to pass a control command to its engine.
	 *
	 * @param commandId id of the command, repeated in its result
	 * @param targetIncarnation incarnation of the agent that the command is addressed to;
	 * a restarted agent has lost the fencing numbers that it accepted before
	 * @param duty name of the duty that the sender holds the lease for
	 * @param fencingNumber fencing number of the sender's lease
	 * @param action the action
	 * @param argument name of the model or adapter
	 */
	record Control(String commandId, long targetIncarnation, String duty, long fencingNumber, ControlAction action,
			String argument) implements Message {
	}

	/**
	 * Response to {@link Control}.
	 *
	 * @param commandId id of the command
	 * @param incarnation the agent's incarnation
	 * @param status outcome of the command
	 * @param detail description of the failure or refusal, empty if the command succeeded
	 */
	record ControlResult(String commandId, long incarnation, ControlStatus status, String detail) implements Message {
	}

}
