package org.bamboorelay.load.process;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Future;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

import io.vavr.control.Either;
import org.bamboorelay.load.connection.CallerClient;
import org.bamboorelay.load.connection.LoadBalancer;
import org.bamboorelay.load.connection.ReceivedResponse;
import org.bamboorelay.runtime.connection.HttpFailure;

/**
 * Open-loop load of the callers in a run: arrival times are planned from the seed and do
 * not depend on responses.
 * <p>
 * Thread-safe.
 */
final class CallerLoad {

	/**
	 * An arrival that waits longer than this for a free sender is dropped and counted as
	 * unsent.
	 */
	private static final long MAX_SEND_DELAY_NANOS = 10_000_000_000L;

	/** An arrival sent later than this after its planned time is counted as late. */
	private static final long LATE_THRESHOLD_NANOS = 50_000_000L;

	/**
	 * Time allowed after the last planned arrival for delayed arrivals and outstanding
	 * responses.
	 */
	private static final long DRAIN_SECONDS = 120;

	/**
	 * Readiness checks sent by each group before the phase starts; the JIT compiler needs
	 * a few hundred.
	 */
	private static final int WARM_UP_CHECKS = 200;

	private static final String DONE_EVENT = "data: [DONE]";

	private static final String COMPLETION_TOKENS_FIELD = "\"completion_tokens\":";

	private final Map<String, CallerTally> tallies = new ConcurrentHashMap<>();

	private final Map<Scenario.Callers, ThreadPoolExecutor> senders = new IdentityHashMap<>();

	private final AtomicInteger endedRequests = new AtomicInteger();

	private final Scenario scenario;

	private final RunSettings settings;

	private final String phase;

	private final CallerClient client;

	private final LoadBalancer balancer;

	private final Map<String, String> keys;

	CallerLoad(Scenario scenario, RunSettings settings, String phase, CallerClient client, LoadBalancer balancer,
			Map<String, String> keys) {
		this.scenario = scenario;
		this.settings = settings;
		this.phase = phase;
		this.client = client;
		this.balancer = balancer;
		this.keys = keys;
		scenario.callers().forEach(this::tally);
	}

	/**
	 * Plans the arrivals of a phase as a Poisson process for each group of callers.
	 * @param scenario the scenario
	 * @return the arrivals, sorted by time
	 */
	static List<Arrival> planArrivals(Scenario scenario) {
		List<Arrival> plan = new ArrayList<>();
		for (int i = 0; i < scenario.callers().size(); i++) {
			Scenario.Callers callers = scenario.callers().get(i);
			Random random = new Random(scenario.seed() * 31 + i);
			double until = Math.min(callers.untilMs(), scenario.seconds() * 1_000.0);
			double at = callers.fromMs();
			while ((at += -Math.log(1 - random.nextDouble()) * 1_000 / callers.rate()) < until) {
				plan.add(new Arrival((long) (at * 1_000_000), callers, random.nextDouble() < callers.writeShare(),
						random.nextInt(1_000)));
			}
		}
		plan.sort(Comparator.comparingLong(Arrival::atNanos));
		return plan;
	}

	/**
	 * Starts the senders and sends {@value #WARM_UP_CHECKS} readiness checks for each
	 * group before the phase is timed. Without this, the first responses of a cold
	 * process arrived up to 3 s late.
	 * @throws InterruptedException if the calling thread is interrupted
	 */
	void warmUp() throws InterruptedException {
		List<Future<?>> checks = new ArrayList<>();
		for (Scenario.Callers callers : this.scenario.callers()) {
			ThreadPoolExecutor pool = new ThreadPoolExecutor(callers.maxOpen(), callers.maxOpen(), 0, TimeUnit.SECONDS,
					new LinkedBlockingQueue<>());
			pool.prestartAllCoreThreads();
			this.senders.put(callers, pool);
			for (int i = 0; i < WARM_UP_CHECKS; i++) {
				checks.add(pool.submit(() -> this.client.send(this.balancer.next(), "GET", "/health/ready", Map.of())
					.map(ReceivedResponse::json)));
			}
		}
		for (Future<?> check : checks) {
			try {
				check.get();
			}
			catch (ExecutionException ex) {
				throw new IllegalStateException("readiness check during warm-up failed", ex);
			}
		}
	}

	/**
	 * Sends all planned arrivals and waits for the responses. Each group of callers has
	 * its own senders, so that slow responses to one group do not delay another.
	 * @param start start time of the phase, from {@link System#nanoTime()}
	 * @throws InterruptedException if the calling thread is interrupted
	 */
	void run(long start) throws InterruptedException {
		int index = 0;
		for (Arrival arrival : planArrivals(this.scenario)) {
			CallerTally tally = tally(arrival.callers());
			tally.recordPlanned(requestedUnits(arrival.callers()));
			int arrivalIndex = index++;
			if (arrivalIndex >= this.scenario.maxRequests()) {
				tally.recordUnsent("above-max-requests");
				continue;
			}
			long wait;
			while ((wait = start + arrival.atNanos() - System.nanoTime()) > 0) {
				LockSupport.parkNanos(wait);
			}
			this.senders.get(arrival.callers()).execute(() -> sendOrDrop(arrival, arrivalIndex, start));
		}
		this.senders.values().forEach(ExecutorService::shutdown);
		long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(DRAIN_SECONDS);
		for (ExecutorService pool : this.senders.values()) {
			pool.awaitTermination(Math.max(0, deadline - System.nanoTime()), TimeUnit.NANOSECONDS);
		}
	}

	private void sendOrDrop(Arrival arrival, int index, long start) {
		long delay = System.nanoTime() - start - arrival.atNanos();
		CallerTally tally = tally(arrival.callers());
		if (delay > MAX_SEND_DELAY_NANOS) {
			tally.recordUnsent("no-free-sender");
			return;
		}
		if (delay > LATE_THRESHOLD_NANOS) {
			tally.recordLate();
		}
		send(arrival, index, start, tally);
	}

	/**
	 * Returns the number of requests that have ended, successfully or not.
	 * @return the number of requests
	 */
	int endedRequests() {
		return this.endedRequests.get();
	}

	/**
	 * Returns the request counts of each service and workspace.
	 * @return the tallies by {@code service/workspace}
	 */
	Map<String, CallerTally> tallies() {
		return this.tallies;
	}

	private static long requestedUnits(Scenario.Callers callers) {
		return "plain".equals(callers.service()) ? 1 : callers.maxTokens();
	}

	private CallerTally tally(Scenario.Callers callers) {
		return this.tallies.computeIfAbsent(callers.service() + "/" + callers.workspace(),
				(unused) -> new CallerTally(this.scenario.seconds() + 60));
	}

	private void send(Arrival arrival, int index, long start, CallerTally tally) {
		boolean plain = "plain".equals(arrival.callers().service());
		Either<HttpFailure, ReceivedResponse> response = plain ? sendPlain(arrival, index) : sendCompletion(arrival);
		long now = System.nanoTime();
		long micros = (now - start - arrival.atNanos()) / 1_000;
		int second = (int) ((now - start) / 1_000_000_000L);
		this.endedRequests.incrementAndGet();
		if (response.isLeft()) {
			tally.recordRefused(response.getLeft().code(), second);
			return;
		}
		String text = response.get().text();
		if (!response.get().isOk()) {
			tally.recordRefused(response.get().status() + " " + response.get().json().path("reason").asText("none"),
					second);
		}
		else if (plain) {
			tally.recordServed(1, micros, second);
		}
		else if (!text.strip().endsWith(DONE_EVENT)) {
			tally.recordRefused("stream-ended-in-error", second);
		}
		else {
			tally.recordServed(completionTokens(text), micros, second);
		}
	}

	private Either<HttpFailure, ReceivedResponse> sendPlain(Arrival arrival, int index) {
		String base = "/services/" + this.settings.plainService();
		Map<String, String> key = CallerClient.bearer(this.keys.get(arrival.callers().workspace()));
		if (arrival.write()) {
			// The index makes each payment a distinct call.
			return this.client.send(this.balancer.next(), "POST", base + "/payments/" + this.phase + "-" + index, key,
					Map.of("amount", arrival.number()));
		}
		return this.client.send(this.balancer.next(), "GET", base + "/balances/" + arrival.number(), key);
	}

	private Either<HttpFailure, ReceivedResponse> sendCompletion(Arrival arrival) {
		return this.client.send(this.balancer.next(), "POST", "/v1/completions",
				CallerClient.bearer(this.keys.get(arrival.callers().workspace())),
				Map.of("model", this.settings.modelService(), "prompt", "Carta " + arrival.number(), "max_tokens",
						arrival.callers().maxTokens(), "stream", true));
	}

	private static long completionTokens(String stream) {
		int at = stream.lastIndexOf(COMPLETION_TOKENS_FIELD) + COMPLETION_TOKENS_FIELD.length();
		int end = at;
		while (end < stream.length() && Character.isDigit(stream.charAt(end))) {
			end++;
		}
		return (end > at && at >= COMPLETION_TOKENS_FIELD.length()) ? Long.parseLong(stream.substring(at, end)) : 0;
	}

	/**
	 * A planned request.
	 *
	 * @param atNanos planned time, in nanoseconds from the start of the phase
	 * @param callers the group that sends it
	 * @param write whether it is a write, which must not be executed twice
	 * @param number random number that varies the content of the request
	 */
	record Arrival(long atNanos, Scenario.Callers callers, boolean write, int number) {
	}

}
