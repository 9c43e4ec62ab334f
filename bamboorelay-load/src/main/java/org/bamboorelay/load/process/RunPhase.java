package org.bamboorelay.load.process;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.UnaryOperator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import org.bamboorelay.load.connection.CallerClient;
import org.bamboorelay.load.connection.LoadBalancer;
import org.bamboorelay.load.connection.ReceivedResponse;
import org.bamboorelay.runtime.request.Json;

/**
 * One phase of a run, such as the policy or the baseline phase: sends the load, injects
 * the faults, requests operator commands from the script, collects the measures, and
 * checks the records of the stand-ins.
 * <p>
 * Not thread-safe: used by one thread, which waits for the threads that generate the
 * load.
 */
public final class RunPhase implements AutoCloseable {

	private static final String LAST_VERSION = "last_version";

	private static final String LEASES_PATH = "/objects/leases/";

	private static final long POLL_INTERVAL_MILLIS = 250;

	private static final long USAGE_REPORT_MARGIN_MILLIS = 6_000;

	private static final double STEADY_COST_PER_HOUR = 5;

	private static final double CHEAP_COST_PER_HOUR = 1.5;

	private final CallerClient client = new CallerClient();

	private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(4);

	private final Map<String, Object> result = new LinkedHashMap<>();

	private final List<String> violations = new ArrayList<>();

	private final Scenario scenario;

	private final RunSettings settings;

	private final String phase;

	private final PrintStream out;

	private final LoadBalancer balancer;

	private double cost;

	private double endpointSeconds;

	private int costSamples;

	/**
	 * Creates a phase.
	 * @param scenario the scenario
	 * @param settings addresses and process ids of the deployment under test
	 * @param phase {@code warm-up}, {@code policy} or {@code baseline}
	 * @param out receives progress lines and the operator commands
	 */
	public RunPhase(Scenario scenario, RunSettings settings, String phase, PrintStream out) {
		this.scenario = scenario;
		this.settings = settings;
		this.phase = phase;
		this.out = out;
		this.balancer = LoadBalancer.of(settings.entryAddresses(), this.client);
	}

	/**
	 * Runs the phase and writes its result.
	 * @param directory directory for the result file
	 * @return the violations, empty if all checks passed
	 * @throws InterruptedException if the calling thread is interrupted
	 */
	public List<String> run(Path directory) throws InterruptedException {
		this.balancer.checkReadiness();
		long wallStart = System.currentTimeMillis();
		Map<String, long[]> usageBefore = reportedUsage();
		Map<String, long[]> executedBefore = plainExecutions();
		Map<String, Long> enginesBefore = engineCounts(false);
		Map<String, Long> cheapBefore = engineCounts(true);
		Map<Long, ProcessUsage> processesBefore = processUsages();
		long storeBefore = requestCount(this.settings.objectApiAddress());
		Map<String, String> keys = new HashMap<>();
		this.settings.workspaces().forEach((workspace) -> keys.put(workspace.name(), workspace.key()));
		CallerLoad load = new CallerLoad(this.scenario, this.settings, this.phase, this.client, this.balancer, keys);
		load.warmUp();
		long start = System.nanoTime();
		long end = start + this.scenario.seconds() * 1_000_000_000L;
		schedule(load, start);
		long firstVersion = lastVersion(directory) + 1;
		List<TrainerLoad> trainers = new ArrayList<>();
		List<Thread> threads = new ArrayList<>();
		for (Scenario.Trainer trainer : this.scenario.trainers()) {
			TrainerLoad trainerLoad = new TrainerLoad(trainer, this.settings.modelService(), this.client, this.balancer,
					keys.get(trainer.workspace()), firstVersion, end);
			trainers.add(trainerLoad);
			Thread thread = new Thread(trainerLoad, "trainer-" + trainer.trainer());
			thread.start();
			threads.add(thread);
		}
		load.run(start);
		for (Thread thread : threads) {
			thread.join(TimeUnit.SECONDS.toMillis(this.scenario.seconds() + 60L));
		}
		double seconds = (System.nanoTime() - start) / 1e9;
		this.timer.shutdownNow();
		clearFaults();
		this.result.put("scenario", this.scenario.name());
		this.result.put("half", this.phase);
		this.result.put("seconds", seconds);
		addServiceResults(load);
		addTrainerResults(trainers);
		addCostResults(load, trainers, seconds);
		addNodeResults(processesBefore, storeBefore, seconds);
		addUsageResults(load, usageBefore, executedBefore, wallStart);
		addCheapEndpointResults(enginesBefore, cheapBefore);
		checkRecords(load, trainers);
		this.result.put(LAST_VERSION, trainers.stream().mapToLong(TrainerLoad::lastVersion).max().orElse(firstVersion));
		this.result.put("violations", this.violations);
		writeResult(directory.resolve(this.phase + ".json"));
		return this.violations;
	}

	@Override
	public void close() {
		this.timer.shutdownNow();
		this.client.close();
	}

	private static long lastVersion(Path directory) {
		// Weight versions continue from those of the preceding phases.
		long last = 0;
		for (String earlier : List.of("warm-up", "policy")) {
			Path file = directory.resolve(earlier + ".json");
			try {
				if (Files.exists(file)) {
					last = Math.max(last, parseJson(Files.readString(file)).path(LAST_VERSION).asLong());
				}
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
		}
		return last;
	}

	private void schedule(CallerLoad load, long start) {
		this.timer.scheduleAtFixedRate(() -> ignoringFailures(this.balancer::checkReadiness), 500, 500,
				TimeUnit.MILLISECONDS);
		this.timer.scheduleAtFixedRate(() -> ignoringFailures(this::sampleCost), 0, 1_000, TimeUnit.MILLISECONDS);
		boolean terminal = System.console() != null;
		this.timer.scheduleAtFixedRate(() -> {
			long second = (System.nanoTime() - start) / 1_000_000_000L;
			if (terminal) {
				this.out.print("\r" + this.phase + " " + second + "/" + this.scenario.seconds() + " s, "
						+ load.endedRequests() + " requests ended");
				this.out.flush();
			}
			else {
				this.out.println(Json.text(Map.of("event", "progress", "half", this.phase, "second", second,
						"requests_ended", load.endedRequests())));
			}
		}, 5, terminal ? 1 : 5, TimeUnit.SECONDS);
		for (Scenario.Fault fault : this.scenario.faults()) {
			this.timer.schedule(() -> ignoringFailures(() -> setFault(fault)), fault.fromMs(), TimeUnit.MILLISECONDS);
			this.timer.schedule(() -> ignoringFailures(() -> clearFault(fault)), fault.untilMs(),
					TimeUnit.MILLISECONDS);
		}
		for (Scenario.Operator operator : this.scenario.operators()) {
			// The script reads these lines and executes the operator commands.
			this.timer.schedule(() -> this.out.println("operator " + operator.command()), operator.atMs(),
					TimeUnit.MILLISECONDS);
		}
	}

	private static void ignoringFailures(Runnable task) {
		try {
			task.run();
		}
		catch (RuntimeException ex) {
			// The timer must keep running while a stand-in is down because of an injected
			// fault.
		}
	}

	private List<String> targets(Scenario.Fault fault) {
		return switch (fault.target()) {
			case "object-api" -> List.of(this.settings.objectApiAddress());
			case "ordering" -> List.of(this.settings.orderingAddress());
			case "usage-intake" -> List.of(this.settings.usageIntakeAddress());
			case "weight-store" -> List.of(this.settings.weightStoreAddress());
			default -> this.settings.endpoints()
				.stream()
				.filter((endpoint) -> endpoint.name().startsWith(fault.target()))
				.map(RunSettings.Endpoint::address)
				.toList();
		};
	}

	private void setFault(Scenario.Fault fault) {
		JsonNode value = parseJson(fault.value());
		targets(fault)
			.forEach((address) -> this.client.send(address, "PUT", "/_fault/" + fault.fault(), Map.of(), value));
	}

	private void clearFault(Scenario.Fault fault) {
		targets(fault).forEach((address) -> this.client.send(address, "DELETE", "/_fault/" + fault.fault(), Map.of()));
	}

	private void clearFaults() {
		this.scenario.faults().forEach(this::clearFault);
	}

	private void sampleCost() {
		Map<String, Boolean> cheap = new HashMap<>();
		this.settings.endpoints().forEach((endpoint) -> cheap.put(endpoint.name(), endpoint.cheap()));
		JsonNode hosts = get(this.settings.hostListAddress(), "/hosts").json();
		synchronized (this) {
			this.costSamples++;
			for (JsonNode host : hosts) {
				this.endpointSeconds++;
				this.cost += (cheap.getOrDefault(host.path("endpoint").asText(), false) ? CHEAP_COST_PER_HOUR
						: STEADY_COST_PER_HOUR) / 3_600;
			}
		}
	}

	private void addServiceResults(CallerLoad load) {
		Map<String, Integer> weights = new HashMap<>();
		this.settings.workspaces().forEach((workspace) -> weights.put(workspace.name(), workspace.weight()));
		for (String service : List.of("plain", "model")) {
			Map<String, Double> served = new HashMap<>();
			Map<String, Double> demand = new HashMap<>();
			Map<String, Object> byWorkspace = new TreeMap<>();
			load.tallies().forEach((name, tally) -> {
				if (name.startsWith(service + "/")) {
					String workspace = name.substring(service.length() + 1);
					served.put(workspace, (double) tally.units());
					demand.put(workspace, (double) tally.demand());
					byWorkspace.put(workspace,
							Map.of("demand", tally.demand(), "served", tally.units(), "requests", tally.requests(),
									"p50_ms", tally.p50Millis(), "p99_ms", tally.p99Millis(), "refusals",
									tally.refusals(), "late", tally.lateArrivals(), "unsent", tally.unsentArrivals()));
				}
			});
			if (!byWorkspace.isEmpty()) {
				FairShare.WorstServed worst = FairShare.worst(served, demand, weights);
				this.result.put(service + "_worst_workspace", worst.workspace());
				this.result.put(service + "_worst_share", worst.ratio());
				CallerTally tally = load.tallies().get(service + "/" + worst.workspace());
				this.result.put(service + "_worst_p99_ms", tally.p99Millis());
				this.result.put(service + "_worst_refusals", tally.refusals());
				this.result.put(service + "_refusals",
						mergedCounts(load, service + "/", CallerTally::refusals, (unused) -> ""));
				this.result.put(service + "_workspaces", byWorkspace);
			}
		}
		long[] served = new long[this.scenario.seconds()];
		long[] failed = new long[this.scenario.seconds()];
		load.tallies().values().forEach((tally) -> {
			for (int i = 0; i < served.length; i++) {
				served[i] += tally.servedBySecond()[i];
				failed[i] += tally.failedBySecond()[i];
			}
		});
		this.result.put("served_by_second", served);
		this.result.put("failed_by_second", failed);
		long median = median(served);
		this.result.put("seconds_of_lower_service",
				Arrays.stream(served).filter((servedCount) -> servedCount < median * 0.8).count());
		this.result.put("arrivals_planned", load.tallies().values().stream().mapToLong(CallerTally::arrivals).sum());
		this.result.put("arrivals_late", load.tallies().values().stream().mapToLong(CallerTally::lateArrivals).sum());
		this.result.put("arrivals_unsent", mergedCounts(load, "", CallerTally::unsentArrivals, (name) -> name + " "));
		this.result.put("caller_requests_served",
				load.tallies().values().stream().mapToLong(CallerTally::requests).sum());
		this.result.put("caller_requests_failed",
				load.tallies().values().stream().mapToLong(CallerTally::failedRequests).sum());
	}

	private static Map<String, Long> mergedCounts(CallerLoad load, String prefix,
			Function<CallerTally, Map<String, Long>> counts, UnaryOperator<String> label) {
		Map<String, Long> sums = new TreeMap<>();
		load.tallies().forEach((name, tally) -> {
			if (name.startsWith(prefix)) {
				counts.apply(tally)
					.forEach((reason, count) -> sums.merge(label.apply(name) + reason, count, Long::sum));
			}
		});
		return sums;
	}

	static long median(long[] values) {
		long[] sorted = values.clone();
		Arrays.sort(sorted);
		return (sorted.length == 0) ? 0 : sorted[sorted.length / 2];
	}

	private void addTrainerResults(List<TrainerLoad> trainers) {
		long idle = trainers.stream().mapToLong(TrainerLoad::idleMillis).sum();
		long train = trainers.stream().mapToLong(TrainerLoad::trainMillis).sum();
		List<Double> versions = new ArrayList<>();
		List<Double> seconds = new ArrayList<>();
		Map<String, Long> refusals = new TreeMap<>();
		trainers.forEach((trainer) -> {
			versions.addAll(trainer.staleVersions());
			seconds.addAll(trainer.staleSeconds());
			trainer.refusals().forEach((reason, count) -> refusals.merge(reason, count, Long::sum));
		});
		this.result.put("trainer_idle_share", (idle + train > 0) ? (double) idle / (idle + train) : 0.0);
		this.result.put("trainer_steps", trainers.stream().mapToInt((trainer) -> trainer.finished().size()).sum());
		this.result.put("trainer_samples", versions.size());
		this.result.put("trainer_samples_expired", trainers.stream().mapToInt(TrainerLoad::expiredSamples).sum());
		this.result.put("trainer_idle_ms_announce_submit_first_rest",
				trainers.stream().map(TrainerLoad::idleBreakdownMillis).toList());
		this.result.put("trainer_refusals", refusals);
		for (double percentile : new double[] { 50, 99, 100 }) {
			String name = (percentile == 100) ? "max" : "p" + (int) percentile;
			this.result.put("staleness_versions_" + name, percentile(versions, percentile));
			this.result.put("staleness_seconds_" + name, percentile(seconds, percentile));
		}
		long tooOld = trainers.stream().mapToLong(TrainerLoad::tooOld).sum();
		if (tooOld > 0) {
			this.violations.add("too-stale: " + tooOld + " samples passed the staleness bound");
		}
	}

	static double percentile(List<Double> values, double percentile) {
		if (values.isEmpty()) {
			return 0;
		}
		List<Double> sorted = new ArrayList<>(values);
		Collections.sort(sorted);
		return sorted.get(Math.max(0, (int) Math.ceil(percentile / 100 * sorted.size()) - 1));
	}

	private synchronized void addCostResults(CallerLoad load, List<TrainerLoad> trainers, double seconds) {
		long requests = load.tallies().values().stream().mapToLong(CallerTally::requests).sum();
		long callerTokens = load.tallies()
			.entrySet()
			.stream()
			.filter((entry) -> entry.getKey().startsWith("model/"))
			.mapToLong((entry) -> entry.getValue().units())
			.sum();
		double fixed = this.settings.endpoints()
			.stream()
			.mapToDouble((endpoint) -> endpoint.cheap() ? CHEAP_COST_PER_HOUR : STEADY_COST_PER_HOUR)
			.sum() / 3_600 * this.costSamples;
		this.result.put("cost", this.cost);
		this.result.put("cost_of_fixed_fleet", fixed);
		this.result.put("cost_share_of_fixed_fleet", (fixed > 0) ? this.cost / fixed : 0.0);
		this.result.put("cost_per_1000_requests", (requests > 0) ? this.cost / requests * 1_000 : 0.0);
		long trainerTokens = trainers.stream()
			.flatMap((trainer) -> trainer.labelled().values().stream())
			.flatMap((versions) -> versions.values().stream())
			.mapToLong(Long::longValue)
			.sum();
		this.result.put("caller_tokens", callerTokens);
		this.result.put("trainer_tokens", trainerTokens);
		this.result.put("cost_per_million_tokens",
				(callerTokens + trainerTokens > 0) ? this.cost / (callerTokens + trainerTokens) * 1_000_000 : 0.0);
		this.result.put("mean_endpoints", this.endpointSeconds / Math.max(1, this.costSamples));
	}

	private Map<Long, ProcessUsage> processUsages() {
		Map<Long, ProcessUsage> usage = new HashMap<>();
		this.settings.pids().stream().map(Long::valueOf).forEach((pid) -> {
			try {
				usage.put(pid, ProcessUsage.of(pid));
			}
			catch (UncheckedIOException ex) {
				// The process may have been terminated.
			}
		});
		return usage;
	}

	private void addNodeResults(Map<Long, ProcessUsage> before, long storeBefore, double seconds) {
		int nodes = this.settings.entryAddresses().size();
		long cpu = 0;
		long resident = 0;
		for (Map.Entry<Long, ProcessUsage> entry : processUsages().entrySet()) {
			if (before.containsKey(entry.getKey())) {
				cpu += entry.getValue().cpuMillis() - before.get(entry.getKey()).cpuMillis();
				resident = Math.max(resident, entry.getValue().peakResidentBytes());
			}
		}
		this.result.put("cores_per_node", cpu / 1_000.0 / seconds / nodes);
		this.result.put("peak_resident_mb_of_a_process", resident >> 20);
		this.result.put("store_calls_per_node_and_second",
				(requestCount(this.settings.objectApiAddress()) - storeBefore) / seconds / nodes);
	}

	private long requestCount(String address) {
		long sum = 0;
		for (JsonNode count : get(address, "/_count").json()) {
			sum += count.asLong();
		}
		return sum;
	}

	private List<JsonNode> usageReports() {
		List<JsonNode> reports = new ArrayList<>();
		get(this.settings.usageIntakeAddress(), "/reports").json().forEach(reports::add);
		return reports;
	}

	private Map<String, long[]> reportedUsage() {
		Map<String, long[]> sums = new TreeMap<>();
		Set<String> windows = new HashSet<>();
		for (JsonNode report : usageReports()) {
			if (windows.add(report.path("window").asText())) {
				report.path("figures").forEach((figure) -> add(sums, figure));
				report.path("corrections")
					.forEach((correction) -> correction.path("figures").forEach((figure) -> add(sums, figure)));
			}
		}
		return sums;
	}

	private static void add(Map<String, long[]> sums, JsonNode figure) {
		long[] sum = sums.computeIfAbsent(figure.path("service").asText() + "/" + figure.path("workspace").asText(),
				(unused) -> new long[2]);
		sum[0] += figure.path("requests").asLong();
		sum[1] += figure.path("tokens").asLong();
	}

	private Map<String, long[]> plainExecutions() {
		Map<String, long[]> executed = new HashMap<>();
		this.settings.endpoints().stream().filter((endpoint) -> !endpoint.model()).forEach((endpoint) -> {
			long count = get(endpoint.address(), "/_count").json().path("executions").asLong();
			executed.computeIfAbsent("plain", (unused) -> new long[1])[0] += count;
		});
		return executed;
	}

	private void addUsageResults(CallerLoad load, Map<String, long[]> before, Map<String, long[]> executedBefore,
			long wallStart) throws InterruptedException {
		// By then every usage window with traffic of this phase must have been reported.
		long wallEnd = System.currentTimeMillis();
		long lastWindow = wallEnd / this.settings.windowMs() * this.settings.windowMs();
		long limit = wallEnd + this.settings.windowMs() + this.settings.graceMs() + USAGE_REPORT_MARGIN_MILLIS;
		while (System.currentTimeMillis() < limit
				&& usageReports().stream().noneMatch((report) -> report.path("window").asLong() >= lastWindow)) {
			Thread.sleep(POLL_INTERVAL_MILLIS);
		}
		Map<String, long[]> after = reportedUsage();
		long wrong = 0;
		long difference = 0;
		Map<String, Object> details = new TreeMap<>();
		for (Map.Entry<String, CallerTally> entry : load.tallies().entrySet()) {
			boolean plain = entry.getKey().startsWith("plain/");
			String workspace = entry.getKey().substring(entry.getKey().indexOf('/') + 1);
			boolean hasTrainer = !plain && this.scenario.trainers()
				.stream()
				.anyMatch((scenarioTrainer) -> scenarioTrainer.workspace().equals(workspace));
			String name = (plain ? this.settings.plainService() : this.settings.modelService()) + "/" + workspace;
			long[] sum = after.getOrDefault(name, new long[2]);
			long[] previous = before.getOrDefault(name, new long[2]);
			long reported = plain ? sum[0] - previous[0] : sum[1] - previous[1];
			// The figure of a workspace with a trainer includes trainer samples and is
			// not compared.
			if (!hasTrainer && reported != entry.getValue().units()) {
				wrong++;
				difference += Math.abs(reported - entry.getValue().units());
				details.put(name, List.of(reported, entry.getValue().units()));
			}
		}
		this.result.put("usage_figures_wrong", wrong);
		this.result.put("usage_difference", difference);
		this.result.put("usage_reported_and_served", details);
		long reportedPlain = sum(after, this.settings.plainService()) - sum(before, this.settings.plainService());
		this.result.put("usage_plain_reported", reportedPlain);
		this.result.put("usage_plain_executed_at_endpoints", plainExecutions().getOrDefault("plain", new long[1])[0]
				- executedBefore.getOrDefault("plain", new long[1])[0]);
		addLateReportResults(wallStart, wallEnd);
		this.violations.addAll(RunChecks.checkReports(usageReports()));
	}

	private static long sum(Map<String, long[]> figures, String service) {
		return figures.entrySet()
			.stream()
			.filter((entry) -> entry.getKey().startsWith(service + "/"))
			.mapToLong((entry) -> entry.getValue()[0])
			.sum();
	}

	private void addLateReportResults(long wallStart, long wallEnd) {
		Map<Long, Long> arrived = new TreeMap<>();
		recordLines(this.settings.usageIntakeAddress()).forEach((line) -> {
			if ("/reports".equals(line.path("path").asText()) && "POST".equals(line.path("method").asText())) {
				arrived.putIfAbsent(parseJson(line.path("body").asText()).path("window").asLong(),
						line.path("at_ms").asLong());
			}
		});
		long late = 0;
		long missing = 0;
		long window = this.settings.windowMs();
		for (long at = wallStart / window * window; at <= wallEnd; at += window) {
			Long arrivedAt = arrived.get(at);
			if (arrivedAt == null) {
				missing++;
			}
			else if (arrivedAt > at + window + this.settings.graceMs() + 5_000) {
				late++;
			}
		}
		this.result.put("usage_windows_late", late);
		this.result.put("usage_windows_missing", missing);
	}

	private Map<String, Long> engineCounts(boolean cheapOnly) {
		Map<String, Long> sums = new HashMap<>();
		this.settings.endpoints()
			.stream()
			.filter((endpoint) -> endpoint.model() && (endpoint.cheap() || !cheapOnly))
			.forEach((endpoint) -> get(endpoint.address(), "/_count").json()
				.properties()
				.forEach((count) -> sums.merge(count.getKey(), count.getValue().asLong(), Long::sum)));
		return sums;
	}

	private void addCheapEndpointResults(Map<String, Long> allBefore, Map<String, Long> cheapBefore) {
		Map<String, Long> all = engineCounts(false);
		Map<String, Long> cheap = engineCounts(true);
		allBefore.forEach((name, count) -> all.merge(name, -count, Long::sum));
		cheapBefore.forEach((name, count) -> cheap.merge(name, -count, Long::sum));
		double tokens = sum(all, "tokens_");
		this.result.put("streams_finished", sum(all, "finish_length", "finish_stop"));
		this.result.put("streams_finished_on_cheap", sum(cheap, "finish_length", "finish_stop"));
		this.result.put("streams_lost_on_cheap", sum(cheap, "finish_dropped"));
		this.result.put("streams_closed_by_entry_on_cheap", sum(cheap, "finish_closed"));
		this.result.put("streams_cancelled_on_cheap", sum(cheap, "finish_cancelled"));
		this.result.put("streams_resumed", sum(all, "resumed"));
		this.result.put("tokens_made", (long) tokens);
		this.result.put("tokens_share_on_cheap", (tokens > 0) ? sum(cheap, "tokens_") / tokens : 0.0);
		this.result.put("tokens_of_unfinished_streams_on_cheap",
				sum(cheap, "tokens_") - sum(cheap, "tokens_length", "tokens_stop"));
	}

	private static long sum(Map<String, Long> counts, String... prefixes) {
		return counts.entrySet()
			.stream()
			.filter((entry) -> Arrays.stream(prefixes).anyMatch(entry.getKey()::startsWith))
			.mapToLong(Map.Entry::getValue)
			.sum();
	}

	private void checkRecords(CallerLoad load, List<TrainerLoad> trainers) {
		Map<String, String> records = new HashMap<>();
		Map<String, Long> dropped = new TreeMap<>();
		List<Map<String, Integer>> executions = new ArrayList<>();
		Set<String> loaded = new HashSet<>();
		Map<String, Map<String, Long>> generated = new HashMap<>();
		List<RunChecks.FencedWrite> orders = new ArrayList<>();
		for (RunSettings.Endpoint endpoint : this.settings.endpoints()) {
			records.put(endpoint.name(), get(endpoint.address(), "/_record").text());
			dropped.put(endpoint.name(), droppedLines(endpoint.address()));
			if (!endpoint.model()) {
				Map<String, Integer> runs = new HashMap<>();
				get(endpoint.address(), "/executions").json()
					.properties()
					.forEach((field) -> runs.put(field.getKey(), field.getValue().asInt()));
				executions.add(runs);
				continue;
			}
			for (JsonNode line : recordLines(endpoint.address())) {
				if (line.has("loaded")) {
					loaded.add(line.path("loaded").asText());
				}
				line.path("made")
					.properties()
					.forEach((field) -> generated
						.computeIfAbsent(line.path("stream").asText(), (unused) -> new HashMap<>())
						.merge(field.getKey(), field.getValue().asLong(), Long::sum));
				if (isAccepted(line, "/orders")) {
					orders.add(fencedWrite(endpoint.name(), endpoint.domain(), "order_id", line));
				}
			}
		}
		for (JsonNode line : recordLines(this.settings.orderingAddress())) {
			if (isAccepted(line, "/orders")) {
				orders.add(fencedWrite("ordering", parseJson(line.path("body").asText()).path("domain").asText(),
						"order_id", line));
			}
		}
		List<RunChecks.FencedWrite> leases = new ArrayList<>();
		for (JsonNode line : recordLines(this.settings.objectApiAddress())) {
			if (isAccepted(line, LEASES_PATH)) {
				leases.add(fencedWrite("object-api", line.path("path").asText().substring(LEASES_PATH.length()),
						"token", line));
			}
		}
		dropped.put("ordering", droppedLines(this.settings.orderingAddress()));
		dropped.put("object-api", droppedLines(this.settings.objectApiAddress()));
		dropped.put("usage-intake", droppedLines(this.settings.usageIntakeAddress()));
		this.violations.addAll(RunChecks.checkRecordsComplete(dropped));
		this.violations.addAll(RunChecks.checkKeys(records,
				this.settings.workspaces().stream().map(RunSettings.Workspace::key).toList()));
		this.violations.addAll(RunChecks.checkExecutions(executions, List.of("/balances/")));
		this.violations.addAll(RunChecks.checkOrders(orders, leases));
		Map<String, Long> unaccounted = new TreeMap<>();
		load.tallies().forEach((name, tally) -> unaccounted.put(name, tally.unaccountedArrivals()));
		this.violations.addAll(RunChecks.checkArrivals(unaccounted));
		Set<String> labels = new TreeSet<>();
		for (TrainerLoad trainer : trainers) {
			this.violations.addAll(RunChecks.checkSamples(trainer.delivered(), trainer.expired(), trainer.finished()));
			this.violations.addAll(RunChecks.checkLabels(trainer.labelled(), loaded, generated));
			trainer.labelled().values().forEach((versions) -> labels.addAll(versions.keySet()));
		}
		this.result.put("checked_orders", orders.size());
		this.result.put("checked_lease_writes", leases.size());
		this.result.put("checked_labels", labels);
	}

	private long droppedLines(String address) {
		return get(address, "/_count").json().path("record_dropped").asLong();
	}

	private static boolean isAccepted(JsonNode line, String path) {
		// The outcome states the effect even if a fault suppressed the response.
		return line.path("path").asText().startsWith(path) && !"GET".equals(line.path("method").asText())
				&& line.path("outcome").asText().startsWith("200");
	}

	private static RunChecks.FencedWrite fencedWrite(String receiver, String domain, String id, JsonNode line) {
		JsonNode body = parseJson(line.path("body").asText("{}"));
		return new RunChecks.FencedWrite(receiver, domain, body.path(id).asText(), body.path("holder").asText(),
				body.path("fencing").asLong(), line.path("received_ms").asLong());
	}

	private List<JsonNode> recordLines(String address) {
		return get(address, "/_record").text().lines().map(RunPhase::parseJson).toList();
	}

	private ReceivedResponse get(String address, String path) {
		return this.client.send(address, "GET", path, Map.of())
			.getOrElse(() -> new ReceivedResponse(0, "".getBytes(StandardCharsets.UTF_8)));
	}

	private static JsonNode parseJson(String text) {
		return Json.tree(text.getBytes(StandardCharsets.UTF_8)).getOrElse(MissingNode.getInstance());
	}

	private void writeResult(Path file) {
		try {
			Files.createDirectories(file.getParent());
			Files.write(file, Json.bytes(this.result));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
