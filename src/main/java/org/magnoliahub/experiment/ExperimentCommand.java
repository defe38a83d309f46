package org.magnoliahub.experiment;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.IntStream;

import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.magnoliahub.command.Command;
import org.magnoliahub.command.CommandException;
import org.magnoliahub.command.ExitCode;
import org.magnoliahub.command.Settings;

/**
 * Compares schedulers under virtual time on a declared workload.
 */
public final class ExperimentCommand implements Command {

	private static final String CHART_COLUMN = "drafting %";

	@Override
	public String name() {
		return "experiment";
	}

	@Override
	public void configure(Subparser parser) {
		parser.help("compare schedulers under virtual time against fake endpoints");
		parser.addArgument("--fault")
			.action(Arguments.append())
			.help("slow:ENDPOINT:FACTOR:FROM:TO, zone:ZONE:1:FROM:TO or burst:WORKSPACE:FACTOR:FROM:TO, times in s");
		parser.addArgument("--ignore-cost")
			.action(Arguments.storeTrue())
			.help("run all classes under the attainment objective");
		Settings.declare(parser, "--workload", "workload, kushiro or jalarekha; default kushiro");
		Settings.declare(parser, "--load-percent", "utilisation of the most loaded pool in percent, default 80");
		Settings.declare(parser, "--seeds", "number of seeds, default 5");
		Settings.declare(parser, "--first-seed", "first seed, default 1");
		Settings.declare(parser, "--warmup-seconds", "time before measurement, default 15");
		Settings.declare(parser, "--measured-seconds", "length of measurement, default 60");
		Settings.declare(parser, "--policies", "comma-separated schedulers, default all");
		Settings.declare(parser, "--csv", "file for the figures of each run");
		Settings.declare(parser, "--chart", "PNG file for a chart of drafting attainment");
	}

	@Override
	public ExitCode run(Namespace arguments, Map<String, String> environment, PrintStream output, PrintStream errors)
			throws CommandException {
		Settings settings = Settings.of(arguments, environment);
		String workloadName = settings.optionalText("--workload").orElse("kushiro");
		long load = settings.number("--load-percent", 1, 1_000, 80);
		int seeds = (int) settings.number("--seeds", 1, 100, 5);
		long firstSeed = settings.number("--first-seed", 0, Integer.MAX_VALUE, 1);
		long warmup = settings.number("--warmup-seconds", 1, 3_600, 15);
		long measured = settings.number("--measured-seconds", 1, 3_600, 60);
		List<String> names = settings.optionalText("--policies")
			.map((text) -> List.of(text.split(",")))
			.orElse(List.copyOf(Policies.all().keySet()));
		Map<String, ExperimentRun.Policy> policies = new LinkedHashMap<>();
		for (String name : names) {
			try {
				policies.put(name, Policies.find(name));
			}
			catch (IllegalArgumentException ex) {
				settings.addFault("--policies: " + ex.getMessage());
			}
		}
		List<Fault> faults = new ArrayList<>();
		List<String> faultTexts = arguments.getList("fault");
		for (String text : (faultTexts != null) ? faultTexts : List.<String>of()) {
			try {
				faults.add(Fault.parse(text));
			}
			catch (IllegalArgumentException ex) {
				settings.addFault("--fault: " + ex.getMessage());
			}
		}
		settings.check();
		ExperimentOptions options = ExperimentOptions.of(load / 100.0)
			.withWindow(warmup * 1000.0, measured * 1000.0)
			.withFaults(faults)
			.withIgnoreCost(Boolean.TRUE.equals(arguments.getBoolean("ignore_cost")));
		Map<String, List<Map<String, Double>>> results = measure(workloadName, options, policies, seeds, firstSeed);
		print(output, results);
		try {
			if (settings.optionalText("--csv").isPresent()) {
				writeCsv(Path.of(settings.optionalText("--csv").get()), results, firstSeed);
			}
			if (settings.optionalText("--chart").isPresent()) {
				writeChart(settings.optionalText("--chart").get(), results);
			}
		}
		catch (IOException ex) {
			throw new CommandException(ExitCode.FAILURE, "cannot write results: " + ex.getMessage());
		}
		return ExitCode.SUCCESS;
	}

	private static Map<String, List<Map<String, Double>>> measure(String workloadName, ExperimentOptions options,
			Map<String, ExperimentRun.Policy> policies, int seeds, long firstSeed) throws CommandException {
		Workload workload;
		try {
			workload = Workload.load(workloadName);
		}
		catch (IOException ex) {
			throw new CommandException(ExitCode.USAGE, "cannot read the workload: " + ex.getMessage());
		}
		Map<String, List<Map<String, Double>>> results = new LinkedHashMap<>();
		policies.forEach((name, policy) -> results.put(name,
				IntStream.range(0, seeds)
					.parallel()
					.mapToObj((i) -> ExperimentRun.run(workload, options, policy, firstSeed + i).columns())
					.toList()));
		results.put("upper bound", List.of(upperBound(options)));
		return results;
	}

	private static Map<String, Double> upperBound(ExperimentOptions options) {
		double share = 100 * Math.min(1, 1 / options.load());
		return Map.of("interactive %", share, "drafting %", share, "useful/bound %", 100.0, "wasted %", 0.0);
	}

	private static void print(PrintStream output, Map<String, List<Map<String, Double>>> results) {
		List<String> columns = columnsOf(results);
		StringBuilder header = new StringBuilder(String.format(Locale.ROOT, "%-24s", ""));
		results.keySet().forEach((name) -> header.append(String.format(Locale.ROOT, " %21s", name)));
		output.println(header);
		for (String column : columns) {
			StringBuilder line = new StringBuilder(String.format(Locale.ROOT, "%-24s", column));
			results.values().forEach((runs) -> line.append(String.format(Locale.ROOT, " %21s", cell(runs, column))));
			output.println(line);
		}
		output.println("mean (lowest to highest) over the seeds");
	}

	private static List<String> columnsOf(Map<String, List<Map<String, Double>>> results) {
		return List.copyOf(results.values().iterator().next().get(0).keySet());
	}

	private static String cell(List<Map<String, Double>> runs, String column) {
		double[] values = runs.stream()
			.filter((run) -> run.containsKey(column))
			.mapToDouble((run) -> run.getOrDefault(column, Double.NaN))
			.toArray();
		if (values.length == 0) {
			return "-";
		}
		java.util.DoubleSummaryStatistics summary = java.util.Arrays.stream(values).summaryStatistics();
		if (values.length == 1) {
			return String.format(Locale.ROOT, "%.2f", summary.getAverage());
		}
		return String.format(Locale.ROOT, "%.2f (%.2f..%.2f)", summary.getAverage(), summary.getMin(),
				summary.getMax());
	}

	private static void writeCsv(Path file, Map<String, List<Map<String, Double>>> results, long firstSeed)
			throws IOException {
		List<String> columns = columnsOf(results);
		List<String> lines = new ArrayList<>();
		lines.add("policy,seed," + String.join(",", columns));
		results.forEach((name, runs) -> {
			for (int i = 0; i < runs.size(); i++) {
				Map<String, Double> run = runs.get(i);
				StringBuilder line = new StringBuilder(name + "," + (firstSeed + i));
				columns.forEach((column) -> line.append(',').append(run.containsKey(column) ? run.get(column) : ""));
				lines.add(line.toString());
			}
		});
		Files.write(file, lines);
	}

	private static void writeChart(String file, Map<String, List<Map<String, Double>>> results) throws IOException {
		CategoryChart chart = new CategoryChartBuilder().width(900)
			.height(500)
			.title(CHART_COLUMN)
			.xAxisTitle("scheduler")
			.yAxisTitle(CHART_COLUMN)
			.build();
		List<String> names = List.copyOf(results.keySet());
		List<Double> means = names.stream()
			.map((name) -> java.util.Objects.requireNonNull(results.get(name))
				.stream()
				.mapToDouble((run) -> run.getOrDefault(CHART_COLUMN, 0.0))
				.average()
				.orElse(0))
			.toList();
		chart.addSeries(CHART_COLUMN, names, means);
		BitmapEncoder.saveBitmap(chart, file, BitmapEncoder.BitmapFormat.PNG);
	}

}
