package org.magnoliahub.agent;

import java.util.Locale;

import io.micrometer.core.instrument.MeterRegistry;
import org.magnoliahub.lease.FencingGuard;
import org.magnoliahub.protocol.ControlStatus;
import org.magnoliahub.protocol.Message;

/**
 * Passes control commands to the engine and refuses those of a holder whose lease has
 * been taken over, on behalf of engines that ignore fencing numbers.
 */
public final class ControlHandler {

	private final long incarnation;

	private final EndpointClient client;

	private final FencingGuard guard = FencingGuard.create();

	private final MeterRegistry meters;

	private ControlHandler(long incarnation, EndpointClient client, MeterRegistry meters) {
		this.incarnation = incarnation;
		this.client = client;
		this.meters = meters;
	}

	/**
	 * Creates a handler.
	 * @param incarnation incarnation of the agent
	 * @param client calls to the back end
	 * @param meters counters
	 * @return the handler
	 */
	public static ControlHandler of(long incarnation, EndpointClient client, MeterRegistry meters) {
		return new ControlHandler(incarnation, client, meters);
	}

	/**
	 * Handles a command and answers on the same connection.
	 * @param link the connection it came from
	 * @param command the command
	 */
	public void receive(GatewayLink link, Message.Control command) {
		if (command.targetIncarnation() != this.incarnation) {
			answer(link, command, ControlStatus.WRONG_INCARNATION, "the agent has restarted");
			return;
		}
		if (!this.guard.admit(command.duty(), command.fencingNumber())) {
			answer(link, command, ControlStatus.STALE, "fencing number " + command.fencingNumber() + " is lower than "
					+ this.guard.highestNumber(command.duty()));
			return;
		}
		this.client.control(command.action(), command.argument(), command.fencingNumber())
			.subscribe(() -> answer(link, command, ControlStatus.DONE, ""),
					(failure) -> answer(link, command, ControlStatus.FAILED, String.valueOf(failure.getMessage())));
	}

	private void answer(GatewayLink link, Message.Control command, ControlStatus status, String detail) {
		this.meters.counter("magnoliahub.agent.control", "status", status.name().toLowerCase(Locale.ROOT)).increment();
		link.send(new Message.ControlResult(command.commandId(), this.incarnation, status, detail));
	}

}
