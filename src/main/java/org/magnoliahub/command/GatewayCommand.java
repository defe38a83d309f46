package org.magnoliahub.command;

import java.io.IOException;
import java.io.PrintStream;
import java.time.Duration;
import java.util.Map;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import okhttp3.OkHttpClient;
import org.magnoliahub.gateway.GatewayLimits;
import org.magnoliahub.model.AvailabilityZone;
import org.magnoliahub.platformhttp.HttpSdVmInventory;
import org.magnoliahub.report.RecordSettings;
import org.magnoliahub.routing.RoutingPolicy;
import org.magnoliahub.server.EventLoop;
import org.magnoliahub.server.GatewayProcess;
import org.magnoliahub.server.GatewaySettings;
import org.magnoliahub.server.OperatorTokens;
import org.magnoliahub.store.PlatformServices;
import org.magnoliahub.store.VmInventory;

/**
 * Runs a gateway.
 */
final class GatewayCommand implements Command {

	@Override
	public String name() {
		return "gateway";
	}

	@Override
	public void configure(Subparser parser) {
		parser.help("run a gateway");
		parser.description("Runs a gateway until it receives SIGTERM.");
		Settings.declare(parser, "--name", "name of the gateway, unique among gateways; required");
		Settings.declare(parser, "--availability-zone", "availability zone it runs in; required");
		Settings.declare(parser, "--listen-host", "local address; default: 127.0.0.1");
		Settings.declare(parser, "--listen-port", "port for callers, 0 for any free one; default: 8080");
		Settings.declare(parser, "--admin-port", "port for health, metrics and operators; default: 8081");
		Settings.declare(parser, "--maximum-requests", "most requests in flight; default: 2000");
		Settings.declare(parser, "--maximum-connections", "most open connections of callers; default: 4000");
		Settings.declare(parser, "--maximum-streams", "most answers streamed at a time; default: 200");
		Settings.declare(parser, "--drain-timeout-ms", "longest wait for requests at a stop; default: 60000");
		Settings.declare(parser, "--policy",
				"deadline-aware, least-outstanding, round-robin or random; default: deadline-aware");
		Settings.declare(parser, "--operator-token-file",
				"file with one line 'NAME TOKEN' per operator; without it, or the variable"
						+ " MAGNOLIAHUB_OPERATOR_TOKEN, operator paths refuse all calls");
		Settings.declare(parser, "--complete-records-kept",
				"most records of requests complete in time kept per object of 10 s; default: 200");
		PlatformSettings.declare(parser);
		Settings.declare(parser, "--vm-inventory-url", "URL of the list of VMs; required");
	}

	@Override
	public ExitCode run(Namespace arguments, Map<String, String> environment, PrintStream output, PrintStream errors)
			throws CommandException {
		Settings settings = Settings.of(arguments, environment);
		String name = settings.requiredText("--name");
		String zone = settings.requiredText("--availability-zone");
		String host = settings.optionalText("--listen-host").orElse("127.0.0.1");
		int port = (int) settings.number("--listen-port", 0, 65_535, 8080);
		int adminPort = (int) settings.number("--admin-port", 0, 65_535, 8081);
		int requests = (int) settings.number("--maximum-requests", 1, 100_000, 2_000);
		int connections = (int) settings.number("--maximum-connections", 1, 100_000, 4_000);
		int streams = (int) settings.number("--maximum-streams", 1, 2_000, 200);
		Duration drainTimeout = Duration.ofMillis(settings.number("--drain-timeout-ms", 0, 3_600_000, 60_000));
		RoutingPolicy policy = settings.choice("--policy", RoutingPolicy.DEADLINE_AWARE);
		OperatorTokens operators = OperatorTokenSettings.read(settings, environment);
		int kept = (int) settings.number("--complete-records-kept", 0, 1_000, 200);
		PlatformSettings platform = PlatformSettings.read(settings);
		String inventoryUrl = PlatformSettings.url(settings, "--vm-inventory-url");
		settings.check();
		GatewaySettings gateway = new GatewaySettings(name, new AvailabilityZone(zone), host, port, adminPort,
				connections, streams, policy, GatewayLimits.defaults().withMaximumRequestsInFlight(requests), operators,
				RecordSettings.defaults().withCompleteKept(kept));
		GatewayProcess process = start(gateway, platform, inventoryUrl);
		output
			.println("listening on " + host + ":" + process.port() + ", admin on " + host + ":" + process.adminPort());
		return ProcessRunner.runUntilTerminated(() -> {
			process.drain(drainTimeout);
			process.close();
		});
	}

	private static GatewayProcess start(GatewaySettings settings, PlatformSettings platform, String inventoryUrl)
			throws CommandException {
		EventLoop loop = EventLoop.start("event-loop");
		try {
			VmInventory inventory = HttpSdVmInventory.of(new OkHttpClient(), inventoryUrl, platform.timeout(),
					loop.scheduler());
			PlatformServices services = new PlatformServices(platform.tableStore(loop.scheduler()),
					platform.objectStore(loop.scheduler()), inventory);
			return GatewayProcess.start(settings, loop, services, (record) -> {
			});
		}
		catch (IOException | IllegalArgumentException ex) {
			throw new CommandException(ExitCode.FAILURE, "the gateway cannot start: " + ex.getMessage());
		}
	}

}
