package org.bamboorelay.slopes.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.bamboorelay.core.process.RollingWeightUpdate;
import org.bamboorelay.core.version.EndpointId;
import org.bamboorelay.core.version.LineId;

/**
 * Time until all endpoints have loaded a weight version, and the processor time of the
 * decisions.
 * <p>
 * Stateless.
 */
final class WeightSlopes {

	private static final int[] ENDPOINT_COUNTS = { 800, 1_600, 3_200, 6_600 };

	private static final LineId LINE = LineId.of("line-0");

	private static final long TICK_MILLIS = 250;

	private static final long MAX_SIMULATED_MILLIS = 1_200_000;

	private WeightSlopes() {
	}

	static List<Slope> measure() {
		List<Slope> slopes = new ArrayList<>();
		for (int rate : new int[] { 20, 220, 400 }) {
			slopes.add(Slope.measure("weights.all-have-it/rate-" + rate + "-swap-2s", "s", "endpoints", ENDPOINT_COUNTS,
					(endpoints) -> new UpdateSimulation(endpoints, rate, 2_000).run()));
		}
		slopes.add(Slope.measure("weights.all-have-it/rate-400-swap-8s", "s", "endpoints", ENDPOINT_COUNTS,
				(endpoints) -> new UpdateSimulation(endpoints, 400, 8_000).run()));
		slopes.add(Slope.measure("weights.decide-idle", "us", "endpoints", new int[] { 100, 400, 825 },
				(endpoints) -> new UpdateSimulation(endpoints * SampleData.DOMAINS, 400, 2_000).idleMicros()));
		slopes.add(Slope.measure("weights.decide-wave", "us", "endpoints", new int[] { 100, 200, 400, 825 },
				(endpoints) -> new UpdateSimulation(endpoints * SampleData.DOMAINS, 4_000, 60_000).updateMicros()));
		return slopes;
	}

	/**
	 * Simulated weight update in one of eight identical failure domains.
	 */
	private static final class UpdateSimulation {

		private final int endpoints;

		private final int rate;

		private final long swapMillis;

		private final RollingWeightUpdate update = RollingWeightUpdate.of(() -> 0.5);

		private final Map<EndpointId, Long> versions = new HashMap<>();

		private UpdateSimulation(int endpoints, int rate, long swapMillis) {
			this.endpoints = endpoints;
			this.rate = rate;
			this.swapMillis = swapMillis;
			for (int i = 0; i < endpoints / SampleData.DOMAINS; i++) {
				this.versions.put(EndpointId.of("sampler-" + i), 0L);
			}
		}

		private double run() {
			Map<EndpointId, Long> doneAt = new HashMap<>();
			int done = 0;
			for (long now = 0; now < MAX_SIMULATED_MILLIS; now += TICK_MILLIS) {
				for (RollingWeightUpdate.Swap swap : this.update.decide(view(1, now), now)) {
					doneAt.put(swap.endpoint(), now + this.swapMillis);
				}
				long upTo = now;
				List<EndpointId> finished = doneAt.entrySet()
					.stream()
					.filter((entry) -> entry.getValue() <= upTo)
					.map(Map.Entry::getKey)
					.toList();
				finished.forEach((endpoint) -> this.versions.put(endpoint, 1L));
				finished.forEach(doneAt::remove);
				done += finished.size();
				if (done == this.versions.size()) {
					return now / 1_000.0;
				}
			}
			throw new IllegalStateException(
					"weight update not complete after " + MAX_SIMULATED_MILLIS + " ms of simulated time");
		}

		private double idleMicros() {
			return CostMeter.cpuMicros(() -> this.update.decide(view(0, 0), 0));
		}

		private double updateMicros() {
			// A third of the endpoints starts swapping and keeps swapping during the
			// measurement.
			this.update.decide(view(1, 0), 0);
			return CostMeter.cpuMicros(() -> this.update.decide(view(1, 1), 1));
		}

		private RollingWeightUpdate.DomainView view(long head, long now) {
			List<RollingWeightUpdate.EndpointView> views = new ArrayList<>();
			this.versions.forEach((endpoint, version) -> views
				.add(new RollingWeightUpdate.EndpointView(endpoint, SampleData.service(0), Map.of(LINE, version))));
			return new RollingWeightUpdate.DomainView(views, Map.of(SampleData.service(0), Map.of(LINE, head)),
					Map.of(SampleData.service(0),
							RollingWeightUpdate.allowedSwaps(this.endpoints, SampleData.DOMAINS, 0, now)),
					(double) this.rate / SampleData.DOMAINS, false);
		}

	}

}
