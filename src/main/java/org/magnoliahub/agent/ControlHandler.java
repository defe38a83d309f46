package org.magnoliahub.agent;

import java.util.Locale;

import io.micrometer.core.instrument.MeterRegistry;
import org.magnoliahub.lease.FencingGuard;
import org.magnoliahub.protocol.ControlStatus;
import org.magnoliahub.protocol.Message;

/**
 * Passes control commands to the engine. Commands of a former lease holder are refused
 * here, since not every engine checks fencing numbers.
 */
public final class ControlHandler {

	private final long incarnation;

	private final EndpointClient client;

	private final FencingGuard fencingGuard = FencingGuard.create();

	private final MeterRegistry meters;

	private ControlHandler(long incarnation, EndpointClient client, MeterRegistry meters) {
		this.incarnation = incarnation;
		this.client = client;
		this.meters = meters;
	}

	/**
	 * Creates a handler.
	 * @param incarnation incarnation of the agent
	 * @param client client of the back end
	 * @param meters registry for the counters
	 * @return the handler
	 */
	public static ControlHandler of(long incarnation, EndpointClient client, MeterRegistry meters) {
		return new ControlHandler(incarnation, client, meters);
	}

	/**
	 * Handles a command and sends its result on the same connection.
	 * @param link the connection on which the command arrived
	 * @param command the command
	 */
	public void receive(GatewayLink link, Message.Control command) {
		if (command.targetIncarnation() != this.incarnation) {
			respond(link, command, ControlStatus.WRONG_INCARNATION, "the agent has restarted");
			return;
		}
		if (!this.fencingGuard.admit(command.duty(), command.fencingNumber())) {
			respond(link, command, ControlStatus.STALE, "fencing number " + command.fencingNumber() + " is lower than "
					+ this.fencingGuard.highestNumber(command.duty()));
			return;
		}
		this.client.control(command.action(), command.argument(), command.fencingNumber())
			.subscribe(() -> respond(link, command, ControlStatus.DONE, ""),
					(failure) -> respond(link, command, ControlStatus.FAILED, String.valueOf(failure.getMessage())));
	}

	private void respond(GatewayLink link, Message.Control command, ControlStatus status, String detail) {
		this.meters.counter("magnoliahub.agent.control", "status", status.name().toLowerCase(Locale.ROOT)).increment();
		link.send(new Message.ControlResult(command.commandId(), this.incarnation, status, detail));
	}

}
