package org.bamboorelay.core.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;

import org.bamboorelay.core.time.ManualClock;
import org.jspecify.annotations.Nullable;

/**
 * Model of ten endpoints with four slots each, in steps of one millisecond. The pace of
 * an endpoint also applies to requests that run there already.
 */
final class HedgingModel {

	static final int REQUESTS = 20_000;

	private static final int ENDPOINTS = 10;

	private static final int SLOTS = 4;

	private static final int WORK_MILLIS = 25;

	private final List<List<Run>> endpoints = new ArrayList<>();

	private final List<Request> pending = new ArrayList<>();

	private final List<Long> latencies = new ArrayList<>();

	private final Random random = new Random(7);

	private final ManualClock clock = ManualClock.of(0);

	private final HedgingPolicy policy;

	private final Pace pace;

	private final boolean clockStands;

	private double work;

	private int copies;

	private int refusedForBudget;

	private HedgingModel(double budget, Pace pace, boolean clockStands) {
		this.policy = HedgingPolicy.of(new HedgingSettings(budget, null, null, List.of()), this.clock);
		this.pace = pace;
		this.clockStands = clockStands;
		for (int index = 0; index < ENDPOINTS; index++) {
			this.endpoints.add(new ArrayList<>());
		}
	}

	// Runs the model with a mean number of arrivals per millisecond.
	static Figures run(double budget, double arrivals, Pace pace, boolean clockStands) {
		HedgingModel model = new HedgingModel(budget, pace, clockStands);
		for (long now = 0; model.latencies.size() < REQUESTS; now++) {
			model.step(now, arrivals);
		}
		List<Long> sorted = model.latencies.stream().sorted().toList();
		return new Figures(sorted.get(REQUESTS / 2), sorted.get(REQUESTS * 99 / 100), sorted.get(REQUESTS * 999 / 1000),
				model.work, model.copies, model.refusedForBudget);
	}

	private void step(long now, double arrivals) {
		if (!this.clockStands) {
			this.clock.advance(1);
		}
		for (int index = 0; index < ENDPOINTS; index++) {
			double speed = 1 / this.pace.slowdown(index, now);
			for (Run run : List.copyOf(this.endpoints.get(index)).stream().limit(SLOTS).toList()) {
				this.work++;
				run.remaining -= speed;
				if (run.remaining <= 0 && !run.request.done) {
					end(run.request, now);
				}
			}
		}
		for (Request request : List.copyOf(this.pending)) {
			if (request.delay.isPresent() && now - request.arrival >= request.delay.getAsLong()) {
				this.pending.remove(request);
				hedge(request);
			}
		}
		if (this.random.nextDouble() < arrivals) {
			OptionalLong delay = this.policy.onRequest("r", "s");
			Request request = new Request(now, this.clock.millis(),
					WORK_MILLIS * (0.8 + 0.4 * this.random.nextDouble()), delay);
			this.pending.add(request);
			place(request, null);
		}
	}

	private void hedge(Request request) {
		int free = 0;
		for (List<Run> endpoint : this.endpoints) {
			free += (endpoint != request.first) ? Math.max(0, SLOTS - endpoint.size()) : 0;
		}
		Optional<HedgeRefusal> refusal = this.policy.takeCopy("r", "s", 1_500, free, (ENDPOINTS - 1) * SLOTS);
		if (refusal.isEmpty()) {
			this.copies++;
			place(request, request.first);
		}
		else if (refusal.get() == HedgeRefusal.BUDGET) {
			this.refusedForBudget++;
		}
	}

	private void place(Request request, @Nullable List<Run> excluded) {
		int offset = this.random.nextInt(ENDPOINTS);
		List<Run> endpoint = this.endpoints.stream()
			.filter((candidate) -> candidate != excluded)
			.min(Comparator.<List<Run>>comparingInt(List::size)
				.thenComparingInt((candidate) -> (index(candidate) + offset) % ENDPOINTS))
			.orElseThrow();
		if (excluded == null) {
			request.first = endpoint;
		}
		endpoint.add(new Run(request));
	}

	private int index(List<Run> endpoint) {
		for (int index = 0; index < ENDPOINTS; index++) {
			if (this.endpoints.get(index) == endpoint) {
				return index;
			}
		}
		throw new IllegalArgumentException("endpoint is not part of the model");
	}

	private void end(Request request, long now) {
		request.done = true;
		this.pending.remove(request);
		this.endpoints.forEach((endpoint) -> endpoint.removeIf((run) -> run.request == request));
		this.policy.onFirstRunEnded("r", this.clock.millis() - request.clockArrival);
		if (this.latencies.size() < REQUESTS) {
			this.latencies.add(now - request.arrival);
		}
	}

	/**
	 * The factor by which an endpoint is slower at a time.
	 */
	interface Pace {

		double slowdown(int endpoint, long now);

	}

	record Figures(long p50, long p99, long p999, double work, int copies, int refusedForBudget) {
	}

	private static final class Request {

		private final long arrival;

		private final long clockArrival;

		private final double work;

		private final OptionalLong delay;

		private @Nullable List<Run> first;

		private boolean done;

		private Request(long arrival, long clockArrival, double work, OptionalLong delay) {
			this.arrival = arrival;
			this.clockArrival = clockArrival;
			this.work = work;
			this.delay = delay;
		}

	}

	private static final class Run {

		private final Request request;

		private double remaining;

		private Run(Request request) {
			this.request = request;
			this.remaining = request.work;
		}

	}

}
