package org.magnoliahub.experiment;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import okhttp3.HttpUrl;
import org.jspecify.annotations.Nullable;
import org.magnoliahub.command.Command;
import org.magnoliahub.command.CommandException;
import org.magnoliahub.command.ExitCode;
import org.magnoliahub.command.Settings;

/**
 * Sends a declared mix of requests to a gateway at fixed times and reports what came
 * back.
 */
public final class LoadCommand implements Command {

	private static final String GATEWAY = "--gateway-url";

	private static final String DIRECT = "--compare-direct";

	@Override
	public String name() {
		return "load";
	}

	@Override
	public void configure(Subparser parser) {
		parser.help("send a declared load to a gateway");
		parser.description("Sends a declared mix of requests to a gateway at fixed times (open loop) and reports "
				+ "rates, outcomes and latencies. Exit code 1 if an answer is incomplete or foreign.");
		Settings.declare(parser, GATEWAY, "base URL of the gateway; required");
		Settings.declare(parser, "--mix", "YAML file that declares the mix; required");
		Settings.declare(parser, "--duration-seconds", "length of the run, at most 3600; default: 10");
		Settings.declare(parser, "--maximum-calls", "most calls, at most 1000000; default: 100000");
		Settings.declare(parser, "--maximum-in-flight", "most open calls, further ones wait; default: 256");
		Settings.declare(parser, "--rate-percent", "declared rates are multiplied by this; default: 100");
		Settings.declare(parser, "--timeout-ms", "longest wait for an answer; default: 30000");
		Settings.declare(parser, "--seed", "seed of the schedule and the idempotency keys; default: 1");
		Settings.declare(parser, DIRECT, "base URL of a back end that gets the same calls straight");
		Settings.declare(parser, "--csv", "file for the table");
	}

	@Override
	public ExitCode run(Namespace arguments, Map<String, String> environment, PrintStream output, PrintStream errors)
			throws CommandException {
		Settings settings = Settings.of(arguments, environment);
		HttpUrl gateway = url(settings, GATEWAY, settings.requiredText(GATEWAY));
		HttpUrl backEnd = url(settings, DIRECT, settings.optionalText(DIRECT).orElse(""));
		String file = settings.requiredText("--mix");
		long seconds = settings.number("--duration-seconds", 1, 3_600, 10);
		int maximumCalls = (int) settings.number("--maximum-calls", 1, 1_000_000, 100_000);
		int maximumInFlight = (int) settings.number("--maximum-in-flight", 1, 2_000, 256);
		double rateFactor = settings.number("--rate-percent", 1, 100_000, 100) / 100.0;
		Duration timeout = Duration.ofMillis(settings.number("--timeout-ms", 1, 600_000, 30_000));
		long seed = settings.number("--seed", 0, Long.MAX_VALUE, 1);
		LoadMix mix = file.isEmpty() ? null : mix(settings, file);
		settings.check();
		if (gateway == null || mix == null) {
			throw new CommandException(ExitCode.USAGE, GATEWAY + " and --mix are required");
		}
		List<LoadMix.PlannedCall> calls = mix.schedule(seconds, rateFactor, maximumCalls, seed);
		try (LoadRun run = new LoadRun(mix, gateway, backEnd, maximumInFlight, timeout, seed)) {
			boolean ended = run.send(calls, timeout.plusSeconds(30));
			boolean whole = report(mix, run, seconds, settings.optionalText("--csv"), output);
			if (!ended) {
				errors.println("some calls had not ended when the run was stopped");
			}
			return (ended && whole) ? ExitCode.SUCCESS : ExitCode.FAILURE;
		}
		catch (IOException ex) {
			throw new CommandException(ExitCode.FAILURE, "cannot write results: " + ex.getMessage());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return ExitCode.FAILURE;
		}
	}

	private static @Nullable HttpUrl url(Settings settings, String flag, String text) {
		HttpUrl parsed = HttpUrl.parse(text);
		if (parsed == null && !text.isEmpty()) {
			settings.addFault(flag + " must be an http or https URL, but was '" + text + "'");
		}
		return parsed;
	}

	private static @Nullable LoadMix mix(Settings settings, String file) {
		try {
			return LoadMix.read(Path.of(file));
		}
		catch (IOException ex) {
			settings.addFault("--mix: " + ex.getMessage());
			return null;
		}
	}

	private static boolean report(LoadMix mix, LoadRun run, long seconds, Optional<String> csv, PrintStream output)
			throws IOException {
		List<String> rows = new ArrayList<>(List.of(LoadStatistics.HEADER));
		int faulty = 0;
		for (int i = 0; i < mix.classes().size(); i++) {
			String name = mix.classes().get(i).requestClass();
			rows.add(run.viaGateway(i).row(name, "gateway", seconds));
			if (!run.straight(i).isEmpty()) {
				rows.add(run.straight(i).row(name, "direct", seconds));
			}
			faulty += run.viaGateway(i).faulty();
		}
		printTable(rows, output);
		for (int i = 0; i < mix.classes().size(); i++) {
			LoadMix.ClassMix declared = mix.classes().get(i);
			output.println(declared.requestClass() + " outcomes: " + run.viaGateway(i).outcomes());
			if (!run.straight(i).isEmpty()) {
				output.println(declared.requestClass() + " added per stage: p50 " + added(run, i, 50) + " ms, p99 "
						+ added(run, i, 99) + " ms (" + declared.directCalls().size() + " stages)");
			}
		}
		output.println("incomplete or foreign answers: " + faulty);
		if (csv.isPresent()) {
			Files.write(Path.of(csv.get()), rows);
		}
		return faulty == 0;
	}

	private static String added(LoadRun run, int index, double percentile) {
		double difference = run.viaGateway(index).latencyMillis(percentile)
				- run.straight(index).latencyMillis(percentile);
		return String.format(Locale.ROOT, "%.2f", difference / run.mix().classes().get(index).directCalls().size());
	}

	private static void printTable(List<String> rows, PrintStream output) {
		List<String[]> cells = rows.stream().map((row) -> row.split(",")).toList();
		for (int column = 0; column < cells.get(0).length; column++) {
			StringBuilder line = new StringBuilder();
			for (String[] row : cells) {
				line.append(String.format(Locale.ROOT, "%-22s", row[column]));
			}
			output.println(line.toString().stripTrailing());
		}
	}

}
