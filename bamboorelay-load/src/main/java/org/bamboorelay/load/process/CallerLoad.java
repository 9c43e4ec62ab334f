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
import org.bamboorelay.load.connection.Answer;
import org.bamboorelay.load.connection.Balancer;
import org.bamboorelay.load.connection.CallerClient;
import org.bamboorelay.runtime.connection.HttpFailure;

/**
 * The callers of a run, in an open loop: their arrivals are planned from the seed and do
 * not wait for answers.
 * <p>
 * Thread-safe.
 */
final class CallerLoad {

	/**
	 * An arrival that found no free sender for this long is given up and counted as
	 * unsent.
	 */
	private static final long MAX_DELAY_NANOS = 10_000_000_000L;

	/** An arrival that is sent later than this after its planned time counts as late. */
	private static final long LATE_NANOS = 50_000_000L;

	/** Time after the last planned arrival for delayed arrivals and open answers. */
	private static final long DRAIN_SECONDS = 120;

	/**
	 * Readiness checks of each group before the half; the code is compiled after some
	 * hundred.
	 */
	private static final int WARM_UP_CHECKS = 200;

	private static final String DONE = "data: [DONE]";

	private static final String TOKENS = "\"completion_tokens\":";

	private final Map<String, CallerTally> tallies = new ConcurrentHashMap<>();

	private final Map<Scenario.Callers, ThreadPoolExecutor> senders = new IdentityHashMap<>();

	private final AtomicInteger done = new AtomicInteger();

	private final Scenario scenario;

	private final RunSettings settings;

	private final String half;

	private final CallerClient client;

	private final Balancer balancer;

	private final Map<String, String> keys;

	CallerLoad(Scenario scenario, RunSettings settings, String half, CallerClient client, Balancer balancer,
			Map<String, String> keys) {
		this.scenario = scenario;
		this.settings = settings;
		this.half = half;
		this.client = client;
		this.balancer = balancer;
		this.keys = keys;
		scenario.callers().forEach(this::tally);
	}

	/**
	 * Plans the arrivals of a half.
	 * @param scenario the scenario
	 * @return the arrivals by time
	 */
	static List<Arrival> plan(Scenario scenario) {
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
	 * Starts the senders and lets each answer a few readiness checks, before the clock of
	 * the half runs. The first arrivals of a cold process were answered up to 3 s late.
	 * @throws InterruptedException where the waiting thread is interrupted
	 */
	void prepare() throws InterruptedException {
		List<Future<?>> checks = new ArrayList<>();
		for (Scenario.Callers callers : this.scenario.callers()) {
			ThreadPoolExecutor pool = new ThreadPoolExecutor(callers.maxOpen(), callers.maxOpen(), 0, TimeUnit.SECONDS,
					new LinkedBlockingQueue<>());
			pool.prestartAllCoreThreads();
			this.senders.put(callers, pool);
			for (int i = 0; i < WARM_UP_CHECKS; i++) {
				checks.add(pool.submit(() -> this.client.send(this.balancer.next(), "GET", "/health/ready", Map.of())
					.map(Answer::json)));
			}
		}
		for (Future<?> check : checks) {
			try {
				check.get();
			}
			catch (ExecutionException ex) {
				throw new IllegalStateException("a readiness check failed", ex);
			}
		}
	}

	/**
	 * Sends everything and waits for the answers. Each group of callers has its own
	 * senders, so that a group whose answers are slow holds back no other.
	 * @param start begin of the half, by {@link System#nanoTime()}
	 * @throws InterruptedException where the waiting thread is interrupted
	 */
	void run(long start) throws InterruptedException {
		int index = 0;
		for (Arrival arrival : plan(this.scenario)) {
			CallerTally tally = tally(arrival.callers());
			tally.planned(amount(arrival.callers()));
			int number = index++;
			if (number >= this.scenario.maxRequests()) {
				tally.unsent("above-max-requests");
				continue;
			}
			long wait;
			while ((wait = start + arrival.atNanos() - System.nanoTime()) > 0) {
				LockSupport.parkNanos(wait);
			}
			this.senders.get(arrival.callers()).execute(() -> sendOrGiveUp(arrival, number, start));
		}
		this.senders.values().forEach(ExecutorService::shutdown);
		long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(DRAIN_SECONDS);
		for (ExecutorService pool : this.senders.values()) {
			pool.awaitTermination(Math.max(0, deadline - System.nanoTime()), TimeUnit.NANOSECONDS);
		}
	}

	private void sendOrGiveUp(Arrival arrival, int index, long start) {
		long delay = System.nanoTime() - start - arrival.atNanos();
		CallerTally tally = tally(arrival.callers());
		if (delay > MAX_DELAY_NANOS) {
			tally.unsent("no-free-sender");
			return;
		}
		if (delay > LATE_NANOS) {
			tally.late();
		}
		send(arrival, index, start, tally);
	}

	/**
	 * Returns the requests that have ended.
	 * @return the number
	 */
	int done() {
		return this.done.get();
	}

	/**
	 * Returns the tallies.
	 * @return the tallies by {@code service/workspace}
	 */
	Map<String, CallerTally> tallies() {
		return this.tallies;
	}

	private static long amount(Scenario.Callers callers) {
		return "plain".equals(callers.service()) ? 1 : callers.maxTokens();
	}

	private CallerTally tally(Scenario.Callers callers) {
		return this.tallies.computeIfAbsent(callers.service() + "/" + callers.workspace(),
				(unused) -> new CallerTally(this.scenario.seconds() + 60));
	}

	private void send(Arrival arrival, int index, long start, CallerTally tally) {
		boolean plain = "plain".equals(arrival.callers().service());
		Either<HttpFailure, Answer> answer = plain ? plain(arrival, index) : completion(arrival);
		long now = System.nanoTime();
		long micros = (now - start - arrival.atNanos()) / 1_000;
		int second = (int) ((now - start) / 1_000_000_000L);
		this.done.incrementAndGet();
		if (answer.isLeft()) {
			tally.refused(answer.getLeft().code(), second);
			return;
		}
		String text = answer.get().text();
		if (!answer.get().isOk()) {
			tally.refused(answer.get().status() + " " + answer.get().json().path("reason").asText("none"), second);
		}
		else if (plain) {
			tally.served(1, micros, second);
		}
		else if (!text.strip().endsWith(DONE)) {
			tally.refused("stream-ended-in-error", second);
		}
		else {
			tally.served(tokens(text), micros, second);
		}
	}

	private Either<HttpFailure, Answer> plain(Arrival arrival, int index) {
		String base = "/services/" + this.settings.plainService();
		Map<String, String> key = CallerClient.bearer(this.keys.get(arrival.callers().workspace()));
		if (arrival.write()) {
			// The number makes each payment another call.
			return this.client.send(this.balancer.next(), "POST", base + "/payments/" + this.half + "-" + index, key,
					Map.of("amount", arrival.number()));
		}
		return this.client.send(this.balancer.next(), "GET", base + "/balances/" + arrival.number(), key);
	}

	private Either<HttpFailure, Answer> completion(Arrival arrival) {
		return this.client.send(this.balancer.next(), "POST", "/v1/completions",
				CallerClient.bearer(this.keys.get(arrival.callers().workspace())),
				Map.of("model", this.settings.modelService(), "prompt", "Carta " + arrival.number(), "max_tokens",
						arrival.callers().maxTokens(), "stream", true));
	}

	private static long tokens(String stream) {
		int at = stream.lastIndexOf(TOKENS) + TOKENS.length();
		int end = at;
		while (end < stream.length() && Character.isDigit(stream.charAt(end))) {
			end++;
		}
		return (end > at && at >= TOKENS.length()) ? Long.parseLong(stream.substring(at, end)) : 0;
	}

	/**
	 * A planned request.
	 *
	 * @param atNanos when it is due, in nanoseconds from the start
	 * @param callers who sends it
	 * @param write whether it must not run twice
	 * @param number a drawn number that varies the request
	 */
	record Arrival(long atNanos, Scenario.Callers callers, boolean write, int number) {
	}

}
