package org.magnoliahub.report;

import java.awt.Color;
import java.awt.Font;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;

import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.style.Styler;

/**
 * Charts of the report as PNG.
 */
final class ReportCharts {

	private static final Logger LOGGER = System.getLogger(ReportCharts.class.getName());

	private static final int WIDTH = 900;

	private static final int HEIGHT = 320;

	private static final int MAXIMUM_BARS = 20;

	private static final Color YESTERDAY = new Color(0x8a, 0xa4, 0xbf);

	private static final Color TODAY = new Color(0x1f, 0x5a, 0x96);

	private static final Color WASTED = new Color(0xb3, 0x26, 0x1e);

	private ReportCharts() {
	}

	/**
	 * Draws the share of answers in time by class.
	 * @param report the report
	 * @return the image, empty without data or without support for images
	 */
	static Optional<byte[]> attainment(DailyReport report) {
		TreeSet<String> classes = new TreeSet<>();
		report.days().forEach((day) -> classesOf(day).forEach((each) -> classes.add(each.requestClass())));
		List<String> names = classes.stream().limit(MAXIMUM_BARS).toList();
		if (names.isEmpty()) {
			return Optional.empty();
		}
		return draw(() -> {
			CategoryChart chart = chart("Answers in time, % of counted requests");
			chart.getStyler().setYAxisMin(0.0).setYAxisMax(100.0);
			chart.getStyler().setSeriesColors(new Color[] { YESTERDAY, TODAY });
			for (DailyReport.Day day : report.days()) {
				List<Double> shares = new ArrayList<>();
				for (String name : names) {
					shares.add(classesOf(day).stream()
						.filter((each) -> each.requestClass().equals(name) && each.requests() > 0)
						.map((each) -> 100.0 * each.inTime() / each.requests())
						.findFirst()
						.orElse(null));
				}
				if (shares.stream().anyMatch((share) -> share != null)) {
					chart.addSeries(label(day), names, shares);
				}
			}
			return chart;
		});
	}

	/**
	 * Draws the cost by stage, wasted cost apart.
	 * @param report the report
	 * @return the image, empty without data or without support for images
	 */
	static Optional<byte[]> cost(DailyReport report) {
		List<DailyReport.Day> days = report.days().stream().filter((day) -> !stagesOf(day).isEmpty()).toList();
		if (days.isEmpty()) {
			return Optional.empty();
		}
		List<String> names = new ArrayList<>();
		List<Double> useful = new ArrayList<>();
		List<Double> wasted = new ArrayList<>();
		for (DailyReport.Day day : days) {
			for (RecordTotals.StageTotals stage : stagesOf(day).stream().limit(MAXIMUM_BARS / 2).toList()) {
				names.add(stage.stage() + (day.ended() ? " (yesterday)" : " (today)"));
				useful.add(stage.cost() - stage.wastedCost());
				wasted.add(stage.wastedCost());
			}
		}
		List<String> distinct = distinct(names);
		return draw(() -> {
			CategoryChart chart = chart("Cost by stage");
			chart.getStyler().setStacked(true);
			chart.getStyler().setXAxisLabelRotation(30);
			chart.getStyler().setSeriesColors(new Color[] { TODAY, WASTED });
			chart.addSeries("in answers in time", distinct, useful);
			chart.addSeries("wasted", distinct, wasted);
			return chart;
		});
	}

	// Stages of several pipelines may share a name, but a chart needs distinct ones.
	private static List<String> distinct(List<String> names) {
		List<String> result = new ArrayList<>();
		for (String name : names) {
			String candidate = name;
			for (int number = 2; result.contains(candidate); number++) {
				candidate = name + " " + number;
			}
			result.add(candidate);
		}
		return result;
	}

	private static String label(DailyReport.Day day) {
		return day.date() + (day.incomplete() ? " (INCOMPLETE)" : "");
	}

	private static List<RecordTotals.ClassTotals> classesOf(DailyReport.Day day) {
		return day.requests().value().map((period) -> period.totals().classes()).orElse(List.of());
	}

	private static List<RecordTotals.StageTotals> stagesOf(DailyReport.Day day) {
		return day.requests().value().map((period) -> period.totals().stages()).orElse(List.of());
	}

	private static CategoryChart chart(String title) {
		CategoryChart chart = new CategoryChartBuilder().width(WIDTH).height(HEIGHT).title(title).build();
		chart.getStyler().setLegendPosition(Styler.LegendPosition.OutsideE);
		chart.getStyler().setChartBackgroundColor(Color.WHITE);
		chart.getStyler().setPlotBorderVisible(false);
		chart.getStyler().setChartTitleFont(new Font(Font.SANS_SERIF, Font.BOLD, 14));
		chart.getStyler().setAvailableSpaceFill(0.6);
		return chart;
	}

	// A VM without fonts cannot draw; the report is whole without charts.
	private static Optional<byte[]> draw(ChartSource source) {
		System.setProperty("java.awt.headless", "true");
		try {
			return Optional.of(BitmapEncoder.getBitmapBytes(source.chart(), BitmapEncoder.BitmapFormat.PNG));
		}
		catch (IOException | RuntimeException | LinkageError | InternalError ex) {
			LOGGER.log(Level.WARNING, "charts cannot be drawn: {0}", String.valueOf(ex));
			return Optional.empty();
		}
	}

	/**
	 * Builds a chart.
	 */
	@FunctionalInterface
	private interface ChartSource {

		CategoryChart chart();

	}

}
