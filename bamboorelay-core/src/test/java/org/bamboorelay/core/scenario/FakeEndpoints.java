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
 * Endpoints that start cold, turn cold without a sign, restart under their name, and
 * leave; and the platform's list of them, which the control processes pass on.
 */
final class FakeEndpoints {

	static final int CAPACITY = 8;

	/** Requests that a cold endpoint bears. */
	static final int COLD_BEARS = 2;

	private static final int PER_DOMAIN = 2;

	private static final long WARM_MILLIS = 50;

	static final long COLD_MILLIS = 1_000;

	private static final int COLD_START_MILLIS = 6_000;

	private static final int DOWN_MILLIS = 3_000;

	private static final long CHANGE_MILLIS = 2_500;

	private static final long LIST_MILLIS = 500;

	private static final long DRAIN_MILLIS = 12_000;

	private static final int BURST_MILLIS = 600;

	private static final int LARGEST_BURST = 10;

	final Random random;

	private final World world;

	private final Map<EndpointId, Engine> engines = new LinkedHashMap<>();

	/** Since when a control process passes on the list of a domain without a break. */
	private final Map<FailureDomain, Long> listedSince = new HashMap<>();

	private long ids;

	FakeEndpoints(World world, long seed) {
		this.world = world;
		this.random = new Random(seed);
		world.domains.forEach((domain) -> {
			for (int i = 0; i < PER_DOMAIN; i++) {
				add(domain);
			}
		});
		world.loop.after(CHANGE_MILLIS, this::change);
		world.loop.after(LIST_MILLIS, this::list);
		world.loop.after(BURST_MILLIS, this::burst);
	}

	@Nullable Engine engine(EndpointId endpoint) {
		return this.engines.get(endpoint);
	}

	long listedSince(FailureDomain domain) {
		return this.listedSince.getOrDefault(domain, Long.MAX_VALUE);
	}

	private void add(FailureDomain domain) {
		Engine engine = new Engine(EndpointId.of("endpoint-" + ++this.ids), domain);
		this.engines.put(engine.id, engine);
		engine.start();
	}

	private void burst() {
		SimProcess host = this.world.anyHost();
		this.world.loop.after(this.world.network.latency(), host, () -> {
			for (int left = 1 + this.random.nextInt(LARGEST_BURST); left > 0; left--) {
				this.world.credits.get(host).request();
			}
		});
		this.world.loop.after(BURST_MILLIS / 2 + this.random.nextInt(BURST_MILLIS), this::burst);
	}

	private void list() {
		long now = this.world.loop.now();
		for (FailureDomain domain : this.world.domains) {
			List<Listed> present = this.engines.values()
				.stream()
				.filter((engine) -> engine.domain.equals(domain))
				.map((engine) -> new Listed(engine.id, engine.listedLeaving))
				.toList();
			boolean passed = false;
			for (SimProcess control : this.world.controlProcesses) {
				if (control.domain.equals(domain) && control.isRunning(now)
						&& this.world.network.reachesPlatform(control)) {
					passed = true;
					for (SimProcess entry : this.world.processes) {
						if (entry.domain.equals(domain)) {
							this.world.network.send(control, entry,
									() -> this.world.credits.get(entry).onList(now, present));
						}
					}
				}
			}
			if (passed) {
				this.listedSince.putIfAbsent(domain, now);
			}
			else {
				this.listedSince.remove(domain);
			}
		}
		this.world.loop.after(LIST_MILLIS, this::list);
	}

	private void change() {
		List<Engine> all = List.copyOf(this.engines.values());
		Engine engine = all.get(this.random.nextInt(all.size()));
		if (engine.signAt < 0 && engine.isUp) {
			switch (this.random.nextInt(3)) {
				case 0 -> engine.restart(this.random.nextInt(DOWN_MILLIS));
				case 1 -> engine.turnCold();
				default -> engine.leave();
			}
		}
		this.world.loop.after(CHANGE_MILLIS / 2 + this.random.nextInt((int) CHANGE_MILLIS), this::change);
	}

	/**
	 * An entry of the platform's list.
	 *
	 * @param endpoint the endpoint
	 * @param leaving whether the platform says that it leaves
	 */
	record Listed(EndpointId endpoint, boolean leaving) {
	}

	/**
	 * What an endpoint says of itself.
	 *
	 * @param incarnation its incarnation
	 * @param warm whether it says that it is warm
	 * @param leaving whether it says that it leaves
	 * @param running the requests that it runs
	 */
	record Report(String incarnation, boolean warm, boolean leaving, int running) {
	}

	/** One endpoint, with its own record of what it runs. */
	final class Engine {

		final EndpointId id;

		final FailureDomain domain;

		private final List<CreditNode.Work> running = new ArrayList<>();

		boolean isUp;

		/** When the platform or the endpoint said that it leaves; negative for not. */
		long signAt = -1;

		boolean listedLeaving;

		long coldSince;

		/** Whether it turned cold while it ran, which it does not report. */
		boolean coldUnseen;

		private boolean ownLeaving;

		/** How often it started. */
		int starts;

		private long coldUntil;

		private Engine(EndpointId id, FailureDomain domain) {
			this.id = id;
			this.domain = domain;
		}

		boolean isCold() {
			return FakeEndpoints.this.world.loop.now() < this.coldUntil;
		}

		/** Returns the requests in flight; those of dead processes ended with them. */
		Collection<CreditNode.Work> running() {
			this.running.removeIf(CreditNode.Work::isGone);
			return this.running;
		}

		@Nullable Report report() {
			return this.isUp ? new Report(this.id + "/" + this.starts, this.coldUnseen || !isCold(), this.ownLeaving,
					running().size()) : null;
		}

		/** Takes a request; false where nothing listens. */
		boolean admit(CreditNode.Work work) {
			if (!this.isUp) {
				return false;
			}
			FakeEndpoints.this.world.emit(new Fact.Admitted(work.client(), work.lender(), this, running().size()));
			this.running.add(work);
			FakeEndpoints.this.world.journal.trace(() -> this.id + " runs " + this.running.size() + ", the last of "
					+ work.client() + " with a credit of " + work.lender());
			long firstByte = isCold() ? COLD_MILLIS : WARM_MILLIS;
			Random random = FakeEndpoints.this.random;
			long rest = (random.nextInt(6) == 0) ? 3_000 + random.nextInt(5_000) : 100 + random.nextInt(700);
			int present = this.starts;
			FakeEndpoints.this.world.loop.after(firstByte + rest, () -> {
				if (present == this.starts && this.running.remove(work)) {
					work.onAnswer(firstByte);
				}
			});
			return true;
		}

		private void start() {
			this.isUp = true;
			this.starts++;
			this.coldUnseen = false;
			cold(1_000 + FakeEndpoints.this.random.nextInt(COLD_START_MILLIS));
		}

		private void cold(int duration) {
			long now = FakeEndpoints.this.world.loop.now();
			this.coldSince = now;
			this.coldUntil = now + duration;
		}

		private void restart(int down) {
			FakeEndpoints.this.world.journal.trace(() -> this.id + " restarts within " + down + " ms");
			stop();
			FakeEndpoints.this.world.loop.after(down, this::start);
		}

		private void stop() {
			this.isUp = false;
			List<CreditNode.Work> broken = List.copyOf(running());
			this.running.clear();
			broken.forEach(CreditNode.Work::onBroken);
		}

		private void turnCold() {
			if (!isCold()) {
				FakeEndpoints.this.world.journal.trace(() -> this.id + " turns cold unseen");
				this.coldUnseen = true;
				cold(8_000 + FakeEndpoints.this.random.nextInt(8_000));
			}
		}

		private void leave() {
			this.signAt = FakeEndpoints.this.world.loop.now();
			this.ownLeaving = FakeEndpoints.this.random.nextBoolean();
			this.listedLeaving = !this.ownLeaving;
			FakeEndpoints.this.world.journal
				.trace(() -> this.id + " leaves, by " + (this.ownLeaving ? "its own sign" : "the list"));
			FakeEndpoints.this.world.loop.after(DRAIN_MILLIS, () -> {
				FakeEndpoints.this.world.emit(new Fact.Left(this));
				stop();
				FakeEndpoints.this.engines.remove(this.id);
				add(this.domain);
			});
		}

	}

}
