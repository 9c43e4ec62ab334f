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
import org.bamboorelay.load.connection.Answer;
import org.bamboorelay.load.connection.Balancer;
import org.bamboorelay.load.connection.CallerClient;
import org.bamboorelay.runtime.request.Json;

/**
 * One half of a run: sends the load, sets the faults, asks the script for operators'
 * commands, measures, and checks the stand-ins' records.
 * <p>
 * Used by one thread, which waits for the threads of the load.
 */
public final class RunSession implements AutoCloseable {

	private static final String LAST_VERSION = "last_version";

	private static final String LEASES = "/objects/leases/";

	private static final long POLL_MILLIS = 250;

	private static final long USAGE_MARGIN_MILLIS = 6_000;

	private static final double STEADY_COST_PER_HOUR = 5;

	private static final double CHEAP_COST_PER_HOUR = 1.5;

	private final CallerClient client = new CallerClient();

	private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(4);

	private final Map<String, Object> result = new LinkedHashMap<>();

	private final List<String> violations = new ArrayList<>();

	private final Scenario scenario;

	private final RunSettings settings;

	private final String half;

	private final PrintStream out;

	private final Balancer balancer;

	private double cost;

	private double endpointSeconds;

	private int samplesOfCost;

	/**
	 * Creates a half.
	 * @param scenario the scenario
	 * @param settings what runs where
	 * @param half {@code policy} or {@code baseline}
	 * @param out takes progress and the operators' commands
	 */
	public RunSession(Scenario scenario, RunSettings settings, String half, PrintStream out) {
		this.scenario = scenario;
		this.settings = settings;
		this.half = half;
		this.out = out;
		this.balancer = Balancer.of(settings.entryAddresses(), this.client);
	}

	/**
	 * Runs the half and writes its result.
	 * @param directory where the result goes
	 * @return the violations, none where all checks held
	 * @throws InterruptedException where the waiting thread is interrupted
	 */
	public List<String> run(Path directory) throws InterruptedException {
		this.balancer.check();
		long wallStart = System.currentTimeMillis();
		Map<String, long[]> usageBefore = reported();
		Map<String, long[]> executedBefore = executed();
		Map<String, Long> enginesBefore = engines(false);
		Map<String, Long> cheapBefore = engines(true);
		Map<Long, ProcessUsage> processesBefore = processes();
		long storeBefore = calls(this.settings.objectApiAddress());
		Map<String, String> keys = new HashMap<>();
		this.settings.workspaces().forEach((workspace) -> keys.put(workspace.name(), workspace.key()));
		CallerLoad load = new CallerLoad(this.scenario, this.settings, this.half, this.client, this.balancer, keys);
		load.prepare();
		long start = System.nanoTime();
		long end = start + this.scenario.seconds() * 1_000_000_000L;
		schedule(load, start);
		long firstVersion = lastVersion(directory) + 1;
		List<TrainerLoad> trainers = new ArrayList<>();
		List<Thread> threads = new ArrayList<>();
		for (Scenario.Trainer trainer : this.scenario.trainers()) {
			TrainerLoad one = new TrainerLoad(trainer, this.settings.modelService(), this.client, this.balancer,
					keys.get(trainer.workspace()), firstVersion, end);
			trainers.add(one);
			Thread thread = new Thread(one, "trainer-" + trainer.trainer());
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
		this.result.put("half", this.half);
		this.result.put("seconds", seconds);
		service(load);
		trainers(trainers);
		costs(load, trainers, seconds);
		perNode(processesBefore, storeBefore, seconds);
		usage(load, usageBefore, executedBefore, wallStart);
		cheap(enginesBefore, cheapBefore);
		checks(load, trainers);
		this.result.put(LAST_VERSION, trainers.stream().mapToLong(TrainerLoad::lastVersion).max().orElse(firstVersion));
		this.result.put("violations", this.violations);
		write(directory.resolve(this.half + ".json"));
		return this.violations;
	}

	@Override
	public void close() {
		this.timer.shutdownNow();
		this.client.close();
	}

	private static long lastVersion(Path directory) {
		// The halves of a run go on from the versions of the half before.
		long last = 0;
		for (String earlier : List.of("warm-up", "policy")) {
			Path file = directory.resolve(earlier + ".json");
			try {
				if (Files.exists(file)) {
					last = Math.max(last, tree(Files.readString(file)).path(LAST_VERSION).asLong());
				}
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
		}
		return last;
	}

	private void schedule(CallerLoad load, long start) {
		this.timer.scheduleAtFixedRate(() -> quietly(this.balancer::check), 500, 500, TimeUnit.MILLISECONDS);
		this.timer.scheduleAtFixedRate(() -> quietly(this::meterCost), 0, 1_000, TimeUnit.MILLISECONDS);
		boolean terminal = System.console() != null;
		this.timer.scheduleAtFixedRate(() -> {
			long second = (System.nanoTime() - start) / 1_000_000_000L;
			if (terminal) {
				this.out.print("\r" + this.half + " " + second + "/" + this.scenario.seconds() + " s, " + load.done()
						+ " requests ended");
				this.out.flush();
			}
			else {
				this.out.println(Json.text(Map.of("event", "progress", "half", this.half, "second", second,
						"requests_ended", load.done())));
			}
		}, 5, terminal ? 1 : 5, TimeUnit.SECONDS);
		for (Scenario.Fault fault : this.scenario.faults()) {
			this.timer.schedule(() -> quietly(() -> set(fault)), fault.fromMs(), TimeUnit.MILLISECONDS);
			this.timer.schedule(() -> quietly(() -> clear(fault)), fault.untilMs(), TimeUnit.MILLISECONDS);
		}
		for (Scenario.Operator operator : this.scenario.operators()) {
			// The script reads these lines and runs the operators' program.
			this.timer.schedule(() -> this.out.println("operator " + operator.command()), operator.atMs(),
					TimeUnit.MILLISECONDS);
		}
	}

	private static void quietly(Runnable task) {
		try {
			task.run();
		}
		catch (RuntimeException ex) {
			// A stand-in that is down on purpose must not end the timer.
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

	private void set(Scenario.Fault fault) {
		JsonNode value = tree(fault.value());
		targets(fault)
			.forEach((address) -> this.client.send(address, "PUT", "/_fault/" + fault.fault(), Map.of(), value));
	}

	private void clear(Scenario.Fault fault) {
		targets(fault).forEach((address) -> this.client.send(address, "DELETE", "/_fault/" + fault.fault(), Map.of()));
	}

	private void clearFaults() {
		this.scenario.faults().forEach(this::clear);
	}

	private void meterCost() {
		Map<String, Boolean> cheap = new HashMap<>();
		this.settings.endpoints().forEach((endpoint) -> cheap.put(endpoint.name(), endpoint.cheap()));
		JsonNode hosts = get(this.settings.hostListAddress(), "/hosts").json();
		synchronized (this) {
			this.samplesOfCost++;
			for (JsonNode host : hosts) {
				this.endpointSeconds++;
				this.cost += (cheap.getOrDefault(host.path("endpoint").asText(), false) ? CHEAP_COST_PER_HOUR
						: STEADY_COST_PER_HOUR) / 3_600;
			}
		}
	}

	private void service(CallerLoad load) {
		Map<String, Integer> weights = new HashMap<>();
		this.settings.workspaces().forEach((workspace) -> weights.put(workspace.name(), workspace.weight()));
		for (String service : List.of("plain", "model")) {
			Map<String, Double> served = new HashMap<>();
			Map<String, Double> demand = new HashMap<>();
			Map<String, Object> each = new TreeMap<>();
			load.tallies().forEach((name, tally) -> {
				if (name.startsWith(service + "/")) {
					String workspace = name.substring(service.length() + 1);
					served.put(workspace, (double) tally.units());
					demand.put(workspace, (double) tally.demand());
					each.put(workspace,
							Map.of("demand", tally.demand(), "served", tally.units(), "requests", tally.requests(),
									"p50_ms", tally.p50Millis(), "p99_ms", tally.p99Millis(), "refusals",
									tally.refusals(), "late", tally.lateArrivals(), "unsent", tally.unsentArrivals()));
				}
			});
			if (!each.isEmpty()) {
				FairShare.Worst worst = FairShare.worst(served, demand, weights);
				this.result.put(service + "_worst_workspace", worst.workspace());
				this.result.put(service + "_worst_share", worst.ratio());
				CallerTally tally = load.tallies().get(service + "/" + worst.workspace());
				this.result.put(service + "_worst_p99_ms", tally.p99Millis());
				this.result.put(service + "_worst_refusals", tally.refusals());
				this.result.put(service + "_refusals",
						merged(load, service + "/", CallerTally::refusals, (unused) -> ""));
				this.result.put(service + "_workspaces", each);
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
		this.result.put("seconds_of_lower_service", Arrays.stream(served).filter((one) -> one < median * 0.8).count());
		this.result.put("arrivals_planned", load.tallies().values().stream().mapToLong(CallerTally::arrivals).sum());
		this.result.put("arrivals_late", load.tallies().values().stream().mapToLong(CallerTally::lateArrivals).sum());
		this.result.put("arrivals_unsent", merged(load, "", CallerTally::unsentArrivals, (name) -> name + " "));
		this.result.put("caller_requests_served",
				load.tallies().values().stream().mapToLong(CallerTally::requests).sum());
		this.result.put("caller_requests_failed",
				load.tallies().values().stream().mapToLong(CallerTally::failures).sum());
	}

	private static Map<String, Long> merged(CallerLoad load, String prefix,
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

	private void trainers(List<TrainerLoad> trainers) {
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
				trainers.stream().map(TrainerLoad::idleParts).toList());
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

	private synchronized void costs(CallerLoad load, List<TrainerLoad> trainers, double seconds) {
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
			.sum() / 3_600 * this.samplesOfCost;
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
		this.result.put("mean_endpoints", this.endpointSeconds / Math.max(1, this.samplesOfCost));
	}

	private Map<Long, ProcessUsage> processes() {
		Map<Long, ProcessUsage> usage = new HashMap<>();
		this.settings.pids().stream().map(Long::valueOf).forEach((pid) -> {
			try {
				usage.put(pid, ProcessUsage.of(pid));
			}
			catch (UncheckedIOException ex) {
				// A process may have ended.
			}
		});
		return usage;
	}

	private void perNode(Map<Long, ProcessUsage> before, long storeBefore, double seconds) {
		int nodes = this.settings.entryAddresses().size();
		long cpu = 0;
		long resident = 0;
		for (Map.Entry<Long, ProcessUsage> entry : processes().entrySet()) {
			if (before.containsKey(entry.getKey())) {
				cpu += entry.getValue().cpuMillis() - before.get(entry.getKey()).cpuMillis();
				resident = Math.max(resident, entry.getValue().peakResidentBytes());
			}
		}
		this.result.put("cores_per_node", cpu / 1_000.0 / seconds / nodes);
		this.result.put("peak_resident_mb_of_a_process", resident >> 20);
		this.result.put("store_calls_per_node_and_second",
				(calls(this.settings.objectApiAddress()) - storeBefore) / seconds / nodes);
	}

	private long calls(String address) {
		long sum = 0;
		for (JsonNode count : get(address, "/_count").json()) {
			sum += count.asLong();
		}
		return sum;
	}

	private List<JsonNode> reports() {
		List<JsonNode> reports = new ArrayList<>();
		get(this.settings.usageIntakeAddress(), "/reports").json().forEach(reports::add);
		return reports;
	}

	private Map<String, long[]> reported() {
		Map<String, long[]> sums = new TreeMap<>();
		Set<String> windows = new HashSet<>();
		for (JsonNode report : reports()) {
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

	private Map<String, long[]> executed() {
		Map<String, long[]> executed = new HashMap<>();
		this.settings.endpoints().stream().filter((endpoint) -> !endpoint.model()).forEach((endpoint) -> {
			long count = get(endpoint.address(), "/_count").json().path("executions").asLong();
			executed.computeIfAbsent("plain", (unused) -> new long[1])[0] += count;
		});
		return executed;
	}

	private void usage(CallerLoad load, Map<String, long[]> before, Map<String, long[]> executedBefore, long wallStart)
			throws InterruptedException {
		// Every window that has traffic of this half must be reported by then.
		long wallEnd = System.currentTimeMillis();
		long lastWindow = wallEnd / this.settings.windowMs() * this.settings.windowMs();
		long limit = wallEnd + this.settings.windowMs() + this.settings.graceMs() + USAGE_MARGIN_MILLIS;
		while (System.currentTimeMillis() < limit
				&& reports().stream().noneMatch((report) -> report.path("window").asLong() >= lastWindow)) {
			Thread.sleep(POLL_MILLIS);
		}
		Map<String, long[]> after = reported();
		long wrong = 0;
		long difference = 0;
		Map<String, Object> details = new TreeMap<>();
		for (Map.Entry<String, CallerTally> entry : load.tallies().entrySet()) {
			boolean plain = entry.getKey().startsWith("plain/");
			String workspace = entry.getKey().substring(entry.getKey().indexOf('/') + 1);
			boolean trains = !plain
					&& this.scenario.trainers().stream().anyMatch((one) -> one.workspace().equals(workspace));
			String name = (plain ? this.settings.plainService() : this.settings.modelService()) + "/" + workspace;
			long[] sum = after.getOrDefault(name, new long[2]);
			long[] old = before.getOrDefault(name, new long[2]);
			long reported = plain ? sum[0] - old[0] : sum[1] - old[1];
			// Samples of trainers are in the same figure, and are not compared.
			if (!trains && reported != entry.getValue().units()) {
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
		this.result.put("usage_plain_executed_at_endpoints", executed().getOrDefault("plain", new long[1])[0]
				- executedBefore.getOrDefault("plain", new long[1])[0]);
		lateReports(wallStart, wallEnd);
		this.violations.addAll(RunChecks.reports(reports()));
	}

	private static long sum(Map<String, long[]> figures, String service) {
		return figures.entrySet()
			.stream()
			.filter((entry) -> entry.getKey().startsWith(service + "/"))
			.mapToLong((entry) -> entry.getValue()[0])
			.sum();
	}

	private void lateReports(long wallStart, long wallEnd) {
		Map<Long, Long> arrived = new TreeMap<>();
		lines(this.settings.usageIntakeAddress()).forEach((line) -> {
			if ("/reports".equals(line.path("path").asText()) && "POST".equals(line.path("method").asText())) {
				arrived.putIfAbsent(tree(line.path("body").asText()).path("window").asLong(),
						line.path("at_ms").asLong());
			}
		});
		long late = 0;
		long missing = 0;
		long window = this.settings.windowMs();
		for (long at = wallStart / window * window; at <= wallEnd; at += window) {
			Long when = arrived.get(at);
			if (when == null) {
				missing++;
			}
			else if (when > at + window + this.settings.graceMs() + 5_000) {
				late++;
			}
		}
		this.result.put("usage_windows_late", late);
		this.result.put("usage_windows_missing", missing);
	}

	private Map<String, Long> engines(boolean cheapOnly) {
		Map<String, Long> sums = new HashMap<>();
		this.settings.endpoints()
			.stream()
			.filter((endpoint) -> endpoint.model() && (endpoint.cheap() || !cheapOnly))
			.forEach((endpoint) -> get(endpoint.address(), "/_count").json()
				.properties()
				.forEach((count) -> sums.merge(count.getKey(), count.getValue().asLong(), Long::sum)));
		return sums;
	}

	private void cheap(Map<String, Long> allBefore, Map<String, Long> cheapBefore) {
		Map<String, Long> all = engines(false);
		Map<String, Long> cheap = engines(true);
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

	private void checks(CallerLoad load, List<TrainerLoad> trainers) {
		Map<String, String> records = new HashMap<>();
		Map<String, Long> dropped = new TreeMap<>();
		List<Map<String, Integer>> executions = new ArrayList<>();
		Set<String> loaded = new HashSet<>();
		Map<String, Map<String, Long>> made = new HashMap<>();
		List<RunChecks.Order> orders = new ArrayList<>();
		for (RunSettings.Endpoint endpoint : this.settings.endpoints()) {
			records.put(endpoint.name(), get(endpoint.address(), "/_record").text());
			dropped.put(endpoint.name(), dropped(endpoint.address()));
			if (!endpoint.model()) {
				Map<String, Integer> runs = new HashMap<>();
				get(endpoint.address(), "/executions").json()
					.properties()
					.forEach((field) -> runs.put(field.getKey(), field.getValue().asInt()));
				executions.add(runs);
				continue;
			}
			for (JsonNode line : lines(endpoint.address())) {
				if (line.has("loaded")) {
					loaded.add(line.path("loaded").asText());
				}
				line.path("made")
					.properties()
					.forEach((field) -> made.computeIfAbsent(line.path("stream").asText(), (unused) -> new HashMap<>())
						.merge(field.getKey(), field.getValue().asLong(), Long::sum));
				if (isAccepted(line, "/orders")) {
					orders.add(order(endpoint.name(), endpoint.domain(), "order_id", line));
				}
			}
		}
		for (JsonNode line : lines(this.settings.orderingAddress())) {
			if (isAccepted(line, "/orders")) {
				orders
					.add(order("ordering", tree(line.path("body").asText()).path("domain").asText(), "order_id", line));
			}
		}
		List<RunChecks.Order> leases = new ArrayList<>();
		for (JsonNode line : lines(this.settings.objectApiAddress())) {
			if (isAccepted(line, LEASES)) {
				leases.add(order("object-api", line.path("path").asText().substring(LEASES.length()), "token", line));
			}
		}
		dropped.put("ordering", dropped(this.settings.orderingAddress()));
		dropped.put("object-api", dropped(this.settings.objectApiAddress()));
		dropped.put("usage-intake", dropped(this.settings.usageIntakeAddress()));
		this.violations.addAll(RunChecks.complete(dropped));
		this.violations.addAll(
				RunChecks.keys(records, this.settings.workspaces().stream().map(RunSettings.Workspace::key).toList()));
		this.violations.addAll(RunChecks.executions(executions, List.of("/balances/")));
		this.violations.addAll(RunChecks.orders(orders, leases));
		Map<String, Long> open = new TreeMap<>();
		load.tallies().forEach((name, tally) -> open.put(name, tally.open()));
		this.violations.addAll(RunChecks.arrivals(open));
		Set<String> labels = new TreeSet<>();
		for (TrainerLoad trainer : trainers) {
			this.violations.addAll(RunChecks.samples(trainer.delivered(), trainer.expired(), trainer.finished()));
			this.violations.addAll(RunChecks.labels(trainer.labelled(), loaded, made));
			trainer.labelled().values().forEach((versions) -> labels.addAll(versions.keySet()));
		}
		this.result.put("checked_orders", orders.size());
		this.result.put("checked_lease_writes", leases.size());
		this.result.put("checked_labels", labels);
	}

	private long dropped(String address) {
		return get(address, "/_count").json().path("record_dropped").asLong();
	}

	private static boolean isAccepted(JsonNode line, String path) {
		// The outcome names the effect also where the answer was lost on purpose.
		return line.path("path").asText().startsWith(path) && !"GET".equals(line.path("method").asText())
				&& line.path("outcome").asText().startsWith("200");
	}

	private static RunChecks.Order order(String receiver, String domain, String id, JsonNode line) {
		JsonNode body = tree(line.path("body").asText("{}"));
		return new RunChecks.Order(receiver, domain, body.path(id).asText(), body.path("holder").asText(),
				body.path("fencing").asLong(), line.path("received_ms").asLong());
	}

	private List<JsonNode> lines(String address) {
		return get(address, "/_record").text().lines().map(RunSession::tree).toList();
	}

	private Answer get(String address, String path) {
		return this.client.send(address, "GET", path, Map.of())
			.getOrElse(() -> new Answer(0, "".getBytes(StandardCharsets.UTF_8)));
	}

	private static JsonNode tree(String text) {
		return Json.tree(text.getBytes(StandardCharsets.UTF_8)).getOrElse(MissingNode.getInstance());
	}

	private void write(Path file) {
		try {
			Files.createDirectories(file.getParent());
			Files.write(file, Json.bytes(this.result));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
