package org.bamboorelay.core.scenario;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.bamboorelay.core.version.EndpointId;
import org.bamboorelay.core.version.FailureDomain;
import org.jspecify.annotations.Nullable;

/**
 * Simulated endpoints, which start cold, turn cold without reporting it, restart under
 * the same name, and leave; and the platform's list of them, which control processes
 * forward to entry processes.
 */
final class FakeEndpoints {

	static final int CAPACITY = 8;

	/** The number of concurrent requests that a cold endpoint can handle. */
	static final int COLD_CAPACITY = 2;

	private static final int ENDPOINTS_PER_DOMAIN = 2;

	private static final long WARM_FIRST_BYTE_MILLIS = 50;

	static final long COLD_FIRST_BYTE_MILLIS = 1_000;

	private static final int COLD_START_MILLIS = 6_000;

	private static final int MAX_DOWNTIME_MILLIS = 3_000;

	private static final long CHANGE_INTERVAL_MILLIS = 2_500;

	private static final long LIST_INTERVAL_MILLIS = 500;

	private static final long DRAIN_MILLIS = 12_000;

	private static final int BURST_INTERVAL_MILLIS = 600;

	private static final int MAX_BURST_SIZE = 10;

	final Random random;

	private final Simulation simulation;

	private final Map<EndpointId, Engine> engines = new LinkedHashMap<>();

	/**
	 * The time since which the list of each domain has been forwarded without
	 * interruption.
	 */
	private final Map<FailureDomain, Long> listedSince = new HashMap<>();

	private long lastId;

	FakeEndpoints(Simulation simulation, long seed) {
		this.simulation = simulation;
		this.random = new Random(seed);
		simulation.domains.forEach((domain) -> {
			for (int i = 0; i < ENDPOINTS_PER_DOMAIN; i++) {
				add(domain);
			}
		});
		simulation.loop.after(CHANGE_INTERVAL_MILLIS, this::changeRandomEndpoint);
		simulation.loop.after(LIST_INTERVAL_MILLIS, this::forwardLists);
		simulation.loop.after(BURST_INTERVAL_MILLIS, this::sendBurst);
	}

	@Nullable Engine engine(EndpointId endpoint) {
		return this.engines.get(endpoint);
	}

	long listedSince(FailureDomain domain) {
		return this.listedSince.getOrDefault(domain, Long.MAX_VALUE);
	}

	private void add(FailureDomain domain) {
		Engine engine = new Engine(EndpointId.of("endpoint-" + ++this.lastId), domain);
		this.engines.put(engine.id, engine);
		engine.start();
	}

	private void sendBurst() {
		SimulatedProcess host = this.simulation.randomHost();
		this.simulation.loop.after(this.simulation.network.latency(), host, () -> {
			for (int remaining = 1 + this.random.nextInt(MAX_BURST_SIZE); remaining > 0; remaining--) {
				this.simulation.credits.get(host).request();
			}
		});
		this.simulation.loop.after(BURST_INTERVAL_MILLIS / 2 + this.random.nextInt(BURST_INTERVAL_MILLIS),
				this::sendBurst);
	}

	private void forwardLists() {
		long now = this.simulation.loop.now();
		for (FailureDomain domain : this.simulation.domains) {
			List<ListEntry> current = this.engines.values()
				.stream()
				.filter((engine) -> engine.domain.equals(domain))
				.map((engine) -> new ListEntry(engine.id, engine.listedLeaving))
				.toList();
			boolean forwarded = false;
			for (SimulatedProcess control : this.simulation.controlProcesses) {
				if (control.domain.equals(domain) && control.isRunning(now)
						&& this.simulation.network.reachesPlatform(control)) {
					forwarded = true;
					for (SimulatedProcess entry : this.simulation.processes) {
						if (entry.domain.equals(domain)) {
							this.simulation.network.send(control, entry,
									() -> this.simulation.credits.get(entry).onEndpointList(now, current));
						}
					}
				}
			}
			if (forwarded) {
				this.listedSince.putIfAbsent(domain, now);
			}
			else {
				this.listedSince.remove(domain);
			}
		}
		this.simulation.loop.after(LIST_INTERVAL_MILLIS, this::forwardLists);
	}

	private void changeRandomEndpoint() {
		List<Engine> all = List.copyOf(this.engines.values());
		Engine engine = all.get(this.random.nextInt(all.size()));
		if (engine.leavingSince < 0 && engine.isUp) {
			switch (this.random.nextInt(3)) {
				case 0 -> engine.restart(this.random.nextInt(MAX_DOWNTIME_MILLIS));
				case 1 -> engine.turnCold();
				default -> engine.leave();
			}
		}
		this.simulation.loop.after(CHANGE_INTERVAL_MILLIS / 2 + this.random.nextInt((int) CHANGE_INTERVAL_MILLIS),
				this::changeRandomEndpoint);
	}

	/**
	 * An entry of the platform's list of endpoints.
	 *
	 * @param endpoint the endpoint
	 * @param leaving whether the platform announces that it is leaving
	 */
	record ListEntry(EndpointId endpoint, boolean leaving) {
	}

	/**
	 * The status that an endpoint reports when polled.
	 *
	 * @param incarnation an identifier of the endpoint's current start
	 * @param warm whether it reports to be warm
	 * @param leaving whether it reports to be leaving
	 * @param running the number of requests that it runs
	 */
	record Report(String incarnation, boolean warm, boolean leaving, int running) {
	}

	/** The model engine of one endpoint, which keeps track of its running requests. */
	final class Engine {

		final EndpointId id;

		final FailureDomain domain;

		private final List<CreditNode.EndpointRequest> running = new ArrayList<>();

		boolean isUp;

		/**
		 * The time at which the platform or the endpoint announced that it is leaving;
		 * negative if it is not.
		 */
		long leavingSince = -1;

		/** Whether the platform's list announces that the endpoint is leaving. */
		boolean listedLeaving;

		long coldSince;

		/** Whether the endpoint turned cold while it ran, which it does not report. */
		boolean coldUnreported;

		/** Whether the endpoint itself reports that it is leaving. */
		private boolean reportsLeaving;

		/** The number of times that the endpoint has started. */
		int starts;

		private long coldUntil;

		private Engine(EndpointId id, FailureDomain domain) {
			this.id = id;
			this.domain = domain;
		}

		boolean isCold() {
			return FakeEndpoints.this.simulation.loop.now() < this.coldUntil;
		}

		/**
		 * Returns the requests in progress, without those of processes that were killed.
		 */
		Collection<CreditNode.EndpointRequest> running() {
			this.running.removeIf(CreditNode.EndpointRequest::isSenderKilled);
			return this.running;
		}

		@Nullable Report report() {
			return this.isUp ? new Report(this.id + "/" + this.starts, this.coldUnreported || !isCold(),
					this.reportsLeaving, running().size()) : null;
		}

		/**
		 * Accepts a request and returns true, or returns false if the endpoint is down.
		 */
		boolean admit(CreditNode.EndpointRequest endpointRequest) {
			if (!this.isUp) {
				return false;
			}
			FakeEndpoints.this.simulation.observe(new Observation.RequestAdmitted(endpointRequest.client(),
					endpointRequest.grantor(), this, running().size()));
			this.running.add(endpointRequest);
			FakeEndpoints.this.simulation.journal
				.trace(() -> this.id + " runs " + this.running.size() + " requests, the latest from "
						+ endpointRequest.client() + " with a credit granted by " + endpointRequest.grantor());
			long firstByteMillis = isCold() ? COLD_FIRST_BYTE_MILLIS : WARM_FIRST_BYTE_MILLIS;
			Random random = FakeEndpoints.this.random;
			long remainderMillis = (random.nextInt(6) == 0) ? 3_000 + random.nextInt(5_000) : 100 + random.nextInt(700);
			int current = this.starts;
			FakeEndpoints.this.simulation.loop.after(firstByteMillis + remainderMillis, () -> {
				if (current == this.starts && this.running.remove(endpointRequest)) {
					endpointRequest.onResponse(firstByteMillis);
				}
			});
			return true;
		}

		private void start() {
			this.isUp = true;
			this.starts++;
			this.coldUnreported = false;
			setCold(1_000 + FakeEndpoints.this.random.nextInt(COLD_START_MILLIS));
		}

		private void setCold(int durationMillis) {
			long now = FakeEndpoints.this.simulation.loop.now();
			this.coldSince = now;
			this.coldUntil = now + durationMillis;
		}

		private void restart(int downtimeMillis) {
			FakeEndpoints.this.simulation.journal.trace(() -> this.id + " restarts within " + downtimeMillis + " ms");
			stop();
			FakeEndpoints.this.simulation.loop.after(downtimeMillis, this::start);
		}

		private void stop() {
			this.isUp = false;
			List<CreditNode.EndpointRequest> interrupted = List.copyOf(running());
			this.running.clear();
			interrupted.forEach(CreditNode.EndpointRequest::onInterrupted);
		}

		private void turnCold() {
			if (!isCold()) {
				FakeEndpoints.this.simulation.journal.trace(() -> this.id + " turns cold without reporting it");
				this.coldUnreported = true;
				setCold(8_000 + FakeEndpoints.this.random.nextInt(8_000));
			}
		}

		private void leave() {
			this.leavingSince = FakeEndpoints.this.simulation.loop.now();
			this.reportsLeaving = FakeEndpoints.this.random.nextBoolean();
			this.listedLeaving = !this.reportsLeaving;
			FakeEndpoints.this.simulation.journal.trace(() -> this.id + " is leaving, announced by "
					+ (this.reportsLeaving ? "its own report" : "the platform's list"));
			FakeEndpoints.this.simulation.loop.after(DRAIN_MILLIS, () -> {
				FakeEndpoints.this.simulation.observe(new Observation.EndpointStopped(this));
				stop();
				FakeEndpoints.this.engines.remove(this.id);
				add(this.domain);
			});
		}

	}

}
