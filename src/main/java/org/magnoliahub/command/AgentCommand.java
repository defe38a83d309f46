package org.magnoliahub.command;

import java.io.IOException;
import java.io.PrintStream;
import java.time.Duration;
import java.util.Map;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.magnoliahub.agent.AgentLimits;
import org.magnoliahub.enginehttp.HttpEndpointClient;
import org.magnoliahub.model.AvailabilityZone;
import org.magnoliahub.server.AgentProcess;
import org.magnoliahub.server.AgentSettings;
import org.magnoliahub.server.EventLoop;

/**
 * Runs an agent.
 */
final class AgentCommand implements Command {

	@Override
	public String name() {
		return "agent";
	}

	@Override
	public void configure(Subparser parser) {
		parser.help("run the agent beside an endpoint");
		parser.description("Runs the agent beside one endpoint until it receives SIGTERM.");
		Settings.declare(parser, "--endpoint", "name of the endpoint, as declared; required");
		Settings.declare(parser, "--availability-zone", "availability zone it runs in; required");
		Settings.declare(parser, "--back-end-url", "base URL of the back end; required");
		Settings.declare(parser, "--model", "model that the back end is asked for; default: default");
		Settings.declare(parser, "--listen-host", "local address; default: 127.0.0.1");
		Settings.declare(parser, "--listen-port", "port for gateways, 0 for any free one; default: 7000");
		Settings.declare(parser, "--admin-port", "port for health, metrics and drain; default: 7001");
		Settings.declare(parser, "--maximum-running", "most calls in execution at the back end; default: 16");
		Settings.declare(parser, "--drain-timeout-ms", "longest wait for running calls at a stop; default: 30000");
	}

	@Override
	public ExitCode run(Namespace arguments, Map<String, String> environment, PrintStream output, PrintStream errors)
			throws CommandException {
		Settings settings = Settings.of(arguments, environment);
		String endpoint = settings.requiredText("--endpoint");
		String zone = settings.requiredText("--availability-zone");
		String url = settings.requiredText("--back-end-url");
		String model = settings.optionalText("--model").orElse("default");
		String host = settings.optionalText("--listen-host").orElse("127.0.0.1");
		int port = (int) settings.number("--listen-port", 0, 65_535, 7000);
		int adminPort = (int) settings.number("--admin-port", 0, 65_535, 7001);
		int maximumRunning = (int) settings.number("--maximum-running", 1, 10_000, 16);
		Duration drainTimeout = Duration.ofMillis(settings.number("--drain-timeout-ms", 0, 3_600_000, 30_000));
		settings.check();
		AgentSettings agent = new AgentSettings(endpoint, new AvailabilityZone(zone), url, host, port, adminPort, model,
				AgentLimits.of(maximumRunning));
		AgentProcess process = start(agent);
		output
			.println("listening on " + host + ":" + process.port() + ", admin on " + host + ":" + process.adminPort());
		return ProcessRunner.runUntilTerminated(() -> {
			process.drain(drainTimeout);
			process.close();
		});
	}

	private static AgentProcess start(AgentSettings settings) throws CommandException {
		try {
			return AgentProcess.start(settings, EventLoop.start("event-loop"),
					(agent, loop) -> HttpEndpointClient.create(agent.backEndUrl(), agent.model(), loop.scheduler()));
		}
		catch (IOException | IllegalArgumentException ex) {
			throw new CommandException(ExitCode.FAILURE, "the agent cannot start: " + ex.getMessage());
		}
	}

}
