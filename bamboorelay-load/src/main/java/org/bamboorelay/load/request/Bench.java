package org.bamboorelay.load.request;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.vavr.control.Either;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.bamboorelay.load.process.ProcessUsage;
import org.bamboorelay.runtime.connection.HttpConnectionPool;
import org.bamboorelay.runtime.connection.HttpExchange;
import org.bamboorelay.runtime.connection.HttpFailure;
import org.bamboorelay.runtime.connection.HttpLimits;
import org.bamboorelay.runtime.request.Json;

/**
 * Compares the throughput and latency of the entry process with those of the bare relay
 * and of direct requests. The targets are measured in interleaved rounds with the same
 * seeds.
 * <p>
 * Used by one thread.
 */
public final class Bench implements AutoCloseable {

	private static final int READ_TIMEOUT_MILLIS = 30_000;

	/**
	 * Duration of the load before the first measurement, in seconds, during which the JIT
	 * compiler finishes.
	 */
	private static final double WARM_UP_SECONDS = 8;

	/**
	 * Threads of the open loop; the measured rates, below half of the peak, need far
	 * fewer.
	 */
	private static final int OPEN_LOOP_THREADS = 64;

	private static final double[] SHARES_OF_PEAK = { 0.2, 0.4 };

	private final HttpConnectionPool pool = new HttpConnectionPool();

	private final BenchSettings settings;

	private final PrintStream out;

	/**
	 * Creates a measurement.
	 * @param settings targets and parameters of the measurement
	 * @param out receives one JSON line for each part
	 */
	public Bench(BenchSettings settings, PrintStream out) {
		this.settings = settings;
		this.out = out;
	}

	/**
	 * Runs all parts of the measurement.
	 * @return whether every target of section 1.4 of the design page was met
	 */
	public boolean run() {
		List<Target> targets = List.of(new Target("direct", this.settings.directAddress(), 0),
				new Target("relay", this.settings.relayAddress(), this.settings.relayPid()),
				new Target("entry", this.settings.entryAddress(), this.settings.entryPid()));
		double seconds = this.settings.seconds();
		for (Target target : targets) {
			new LoadRun(this.settings.connections(), (index) -> sendPlain(target)).runClosedLoop(WARM_UP_SECONDS);
			new LoadRun(this.settings.streams(), (index) -> sendStream(target)).runClosedLoop(WARM_UP_SECONDS);
		}
		Map<String, Double> peaks = new LinkedHashMap<>();
		Map<String, Double> tokens = new LinkedHashMap<>();
		for (int round = 0; round < this.settings.rounds(); round++) {
			for (Target target : targets) {
				peaks.merge(target.name(),
						measure("peak", round, target,
								() -> new LoadRun(this.settings.connections(), (index) -> sendPlain(target))
									.runClosedLoop(seconds))
							.rate(),
						Math::max);
				tokens.merge(target.name(),
						measure("stream", round, target,
								() -> new LoadRun(this.settings.streams(), (index) -> sendStream(target))
									.runClosedLoop(seconds))
							.rate(),
						Math::max);
			}
		}
		boolean latencies = true;
		for (double share : SHARES_OF_PEAK) {
			latencies &= measureLatency(share, peaks.get("entry") * share, targets);
		}
		return reportVerdict(peaks, tokens, latencies);
	}

	@Override
	public void close() {
		this.pool.close();
	}

	private boolean measureLatency(double share, double rate, List<Target> targets) {
		Map<String, double[]> sums = new LinkedHashMap<>();
		for (int round = 0; round < this.settings.rounds(); round++) {
			long seed = this.settings.seed() + round;
			for (Target target : targets) {
				LoadRun.Result result = measure("open-" + share, round, target,
						() -> new LoadRun(OPEN_LOOP_THREADS, (index) -> sendPlain(target)).runOpenLoop(rate, seed,
								this.settings.seconds()));
				double[] sum = sums.computeIfAbsent(target.name(), (unused) -> new double[2]);
				sum[0] += result.millisAt(50) / this.settings.rounds();
				sum[1] += result.millisAt(99) / this.settings.rounds();
			}
		}
		double[] direct = sums.get("direct");
		double[] relay = sums.get("relay");
		double[] entry = sums.get("entry");
		boolean met = true;
		Map<String, Object> line = new LinkedHashMap<>();
		line.put("part", "added-latency");
		line.put("share_of_entry_peak", share);
		line.put("rate", Math.round(rate));
		for (int i = 0; i < 2; i++) {
			String name = (i == 0) ? "p50" : "p99";
			double relayAdded = relay[i] - direct[i];
			double entryAdded = entry[i] - direct[i];
			line.put("relay_added_" + name + "_ms", round(relayAdded));
			line.put("entry_added_" + name + "_ms", round(entryAdded));
			line.put("ratio_" + name, round(entryAdded / relayAdded));
			met &= entryAdded <= 2 * relayAdded;
		}
		line.put("met", met);
		this.out.println(Json.text(line));
		return met;
	}

	private boolean reportVerdict(Map<String, Double> peaks, Map<String, Double> tokens, boolean latencies) {
		double ratio = peaks.get("entry") / peaks.get("relay");
		long resident = ProcessUsage.of(this.settings.entryPid()).peakResidentBytes();
		boolean met = latencies && ratio >= 0.6 && peaks.get("entry") >= 4_100 && tokens.get("entry") >= 200_000
				&& resident < 256L << 20;
		Map<String, Object> line = new LinkedHashMap<>();
		line.put("part", "verdict");
		line.put("entry_to_relay", round(ratio));
		line.put("entry_requests_per_second", Math.round(peaks.get("entry")));
		line.put("entry_tokens_per_second", Math.round(tokens.get("entry")));
		line.put("entry_peak_resident_mb", resident >> 20);
		line.put("latency_met", latencies);
		line.put("met", met);
		this.out.println(Json.text(line));
		return met;
	}

	private LoadRun.Result measure(String part, int round, Target target,
			java.util.function.Supplier<LoadRun.Result> run) {
		ProcessUsage before = (target.pid() > 0) ? ProcessUsage.of(target.pid()) : null;
		LoadRun.Result result = run.get();
		Map<String, Object> line = new LinkedHashMap<>();
		line.put("part", part);
		line.put("round", round);
		line.put("target", target.name());
		line.put("units_per_second", Math.round(result.rate()));
		line.put("failed", result.failed());
		line.put("p50_ms", result.millisAt(50));
		line.put("p99_ms", result.millisAt(99));
		if (before != null) {
			ProcessUsage after = ProcessUsage.of(target.pid());
			long cpu = after.cpuMillis() - before.cpuMillis();
			line.put("cpu_micros_per_unit", round(cpu * 1_000.0 / Math.max(1, result.units())));
			line.put("cores_used", round(cpu / 1_000.0 / result.seconds()));
			line.put("resident_mb", after.residentBytes() >> 20);
		}
		this.out.println(Json.text(line));
		return result;
	}

	private long sendPlain(Target target) {
		String path = "/services/" + this.settings.plainService() + "/balances/7";
		BasicClassicHttpRequest request = new BasicClassicHttpRequest("GET", path);
		Either<HttpFailure, byte[]> body = send(target, request);
		return body.isRight() ? 1 : -1;
	}

	private long sendStream(Target target) {
		BasicClassicHttpRequest request = new BasicClassicHttpRequest("POST", "/v1/completions");
		int tokens = this.settings.tokensPerStream();
		request.setEntity(new ByteArrayEntity(Json.bytes(Map.of("model", this.settings.modelService(), "prompt",
				"Querida vecina", "max_tokens", tokens, "stream", true)), ContentType.APPLICATION_JSON));
		request.setHeader("Authorization", "Bearer " + this.settings.key());
		Either<HttpFailure, HttpExchange> result = this.pool.execute(target.address(), request, true,
				READ_TIMEOUT_MILLIS);
		if (result.isLeft()) {
			return -1;
		}
		try (HttpExchange exchange = result.get()) {
			if (exchange.response().getCode() != 200) {
				return -1;
			}
			int events = countEvents(exchange.body());
			exchange.markComplete();
			// The tokens are followed by a finishing event and [DONE].
			return (events == tokens + 2) ? tokens : -1;
		}
		catch (IOException ex) {
			return -1;
		}
	}

	static int countEvents(InputStream in) throws IOException {
		byte[] buffer = new byte[16_384];
		int events = 0;
		boolean afterLineFeed = false;
		int read;
		while ((read = in.read(buffer)) >= 0) {
			for (int i = 0; i < read; i++) {
				boolean isLineFeed = buffer[i] == '\n';
				if (isLineFeed && afterLineFeed) {
					events++;
				}
				afterLineFeed = isLineFeed && !afterLineFeed;
			}
		}
		return events;
	}

	private Either<HttpFailure, byte[]> send(Target target, BasicClassicHttpRequest request) {
		request.setHeader("Authorization", "Bearer " + this.settings.key());
		return this.pool.execute(target.address(), request, true, READ_TIMEOUT_MILLIS).flatMap((exchange) -> {
			try (exchange) {
				if (exchange.response().getCode() != 200) {
					return Either.left(new HttpFailure.Broken("status " + exchange.response().getCode()));
				}
				return exchange.readFully(HttpLimits.MAX_RESPONSE_BYTES);
			}
		});
	}

	private static double round(double value) {
		return Math.round(value * 1_000) / 1_000.0;
	}

	private record Target(String name, String address, long pid) {
	}

}
