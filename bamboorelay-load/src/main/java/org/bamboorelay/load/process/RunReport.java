package org.bamboorelay.load.process;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import org.bamboorelay.runtime.request.Json;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.data.category.DefaultCategoryDataset;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/**
 * Compares the measures of the policy phase with those of the baseline phase in a table,
 * CSV files and charts.
 * <p>
 * Used by one thread.
 */
public final class RunReport {

	private static final int CHART_WIDTH_PIXELS = 900;

	private static final int CHART_HEIGHT_PIXELS = 450;

	/**
	 * Measures by group: those of section 1.3 of the design page in its order, then the
	 * others.
	 */
	private static final Map<String, List<String>> GROUPS = measuresByGroup();

	private RunReport() {
	}

	/**
	 * Writes the report.
	 * @param directory directory with the results of both phases
	 * @param out receives the table
	 * @throws IOException if a file cannot be read or written
	 */
	public static void write(Path directory, PrintStream out) throws IOException {
		JsonNode policy = read(directory.resolve("policy.json"));
		JsonNode baseline = read(directory.resolve("baseline.json"));
		List<String> rows = new ArrayList<>(List.of("group,measure,policy,baseline"));
		GROUPS.forEach((group, measures) -> measures.forEach((measure) -> {
			if (policy.has(measure) || baseline.has(measure)) {
				rows.add(group + "," + measure + "," + formatCell(policy.path(measure)) + ","
						+ formatCell(baseline.path(measure)));
			}
		}));
		Files.write(directory.resolve("measures.csv"), rows, StandardCharsets.UTF_8);
		rows.forEach((row) -> out.println(row.replace(',', '\t')));
		List<String> seconds = new ArrayList<>(
				List.of("second,policy_served,policy_failed,baseline_served,baseline_failed"));
		for (int i = 0; i < policy.path("served_by_second").size(); i++) {
			seconds.add(i + "," + policy.path("served_by_second").path(i).asLong() + ","
					+ policy.path("failed_by_second").path(i).asLong() + ","
					+ baseline.path("served_by_second").path(i).asLong() + ","
					+ baseline.path("failed_by_second").path(i).asLong());
		}
		Files.write(directory.resolve("seconds.csv"), seconds, StandardCharsets.UTF_8);
		writeCharts(directory, policy, baseline);
	}

	private static void writeCharts(Path directory, JsonNode policy, JsonNode baseline) throws IOException {
		XYSeriesCollection lines = new XYSeriesCollection();
		lines.addSeries(series("policy", policy.path("served_by_second")));
		lines.addSeries(series("baseline", baseline.path("served_by_second")));
		saveChart(directory, "service-by-second",
				ChartFactory.createXYLineChart(policy.path("scenario").asText(), "second", "requests served", lines));
		for (Map.Entry<String, List<String>> group : GROUPS.entrySet()) {
			DefaultCategoryDataset bars = new DefaultCategoryDataset();
			group.getValue().forEach((measure) -> {
				if (policy.path(measure).isNumber()) {
					bars.addValue(policy.path(measure).asDouble(), "policy", measure);
					bars.addValue(baseline.path(measure).asDouble(), "baseline", measure);
				}
			});
			saveChart(directory, group.getKey(), ChartFactory.createBarChart(group.getKey(), "", "", bars));
		}
	}

	private static XYSeries series(String name, JsonNode values) {
		XYSeries series = new XYSeries(name);
		for (int i = 0; i < values.size(); i++) {
			series.add(i, values.path(i).asLong());
		}
		return series;
	}

	private static void saveChart(Path directory, String name, JFreeChart chart) throws IOException {
		ChartUtils.saveChartAsPNG(directory.resolve(name + ".png").toFile(), chart, CHART_WIDTH_PIXELS,
				CHART_HEIGHT_PIXELS);
	}

	private static JsonNode read(Path file) throws IOException {
		return Json.tree(Files.readAllBytes(file)).getOrElse(MissingNode.getInstance());
	}

	private static String formatCell(JsonNode value) {
		if (value.isObject()) {
			return value.toString().replaceAll("[{}\"]", "").replace(',', ';');
		}
		if (value.isArray()) {
			return value.toString().replace(',', ' ');
		}
		return value.isFloatingPointNumber() ? String.format(Locale.ROOT, "%.4f", value.asDouble()) : value.asText();
	}

	private static Map<String, List<String>> measuresByGroup() {
		Map<String, List<String>> groups = new LinkedHashMap<>();
		groups.put("trainers",
				List.of("trainer_idle_share", "trainer_steps", "trainer_samples", "trainer_samples_expired",
						"trainer_idle_ms_announce_submit_first_rest", "staleness_versions_p50",
						"staleness_versions_p99", "staleness_versions_max", "staleness_seconds_p50",
						"staleness_seconds_p99", "staleness_seconds_max"));
		groups.put("worst-workspace",
				List.of("plain_worst_workspace", "plain_worst_share", "plain_worst_p99_ms", "plain_worst_refusals",
						"plain_refusals", "model_worst_workspace", "model_worst_share", "model_worst_p99_ms",
						"model_worst_refusals", "model_refusals"));
		groups.put("spending",
				List.of("cost", "cost_of_fixed_fleet", "cost_share_of_fixed_fleet", "cost_per_1000_requests",
						"cost_per_million_tokens", "mean_endpoints", "caller_requests_served", "caller_tokens",
						"trainer_tokens"));
		groups.put("usage-reports", List.of("usage_windows_late", "usage_windows_missing", "usage_figures_wrong",
				"usage_difference", "usage_plain_reported", "usage_plain_executed_at_endpoints"));
		groups.put("cheap-endpoints",
				List.of("streams_finished", "streams_finished_on_cheap", "streams_lost_on_cheap",
						"streams_closed_by_entry_on_cheap", "streams_cancelled_on_cheap", "streams_resumed",
						"tokens_made", "tokens_share_on_cheap", "tokens_of_unfinished_streams_on_cheap"));
		groups.put("service", List.of("seconds_of_lower_service", "caller_requests_failed"));
		groups.put("load", List.of("arrivals_planned", "arrivals_late", "arrivals_unsent"));
		groups.put("control",
				List.of("cores_per_node", "peak_resident_mb_of_a_process", "store_calls_per_node_and_second"));
		return groups;
	}

}
