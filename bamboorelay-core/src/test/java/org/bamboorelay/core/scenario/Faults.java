package org.bamboorelay.core.scenario;

import java.util.List;
import java.util.Random;

import org.bamboorelay.core.store.FakeObjectStore.Fault;
import org.bamboorelay.core.version.FailureDomain;

/**
 * Makes the two faults of a run happen at drawn times and for drawn durations.
 */
final class Faults {

	/** Time without faults at the start; the first usage window is chosen in it. */
	static final int FIRST_MILLIS = 11_000;

	private static final int SPAN_MILLIS = 12_000;

	private static final int LONGEST_MILLIS = 15_000;

	private static final int RESTART_MILLIS = 4_000;

	private static final int STORE_SLOW_MILLIS = 250;

	private final World world;

	private final Random random;

	private int storeDown;

	private int storeLossy;

	Faults(World world, long seed) {
		this.world = world;
		this.random = new Random(seed);
		world.network.store.faults(this::draw);
	}

	/** Time after which all faults are over. */
	static long lastMillis() {
		return FIRST_MILLIS + SPAN_MILLIS + LONGEST_MILLIS;
	}

	void schedule(FaultKind kind) {
		this.world.loop.after(FIRST_MILLIS + this.random.nextInt(SPAN_MILLIS), () -> begin(kind));
	}

	private void begin(FaultKind kind) {
		int duration = 300 + this.random.nextInt(LONGEST_MILLIS - 300);
		switch (kind) {
			case PROCESS_KILL -> kill(anyProcess());
			case FREEZE -> freeze(anyProcess(), duration);
			case DOMAIN_CUT -> cut(duration);
			case PLATFORM_CUT -> platformCut(duration);
			case STORE_DOWN -> storeDown(duration);
			case STORE_ANSWER_LOST -> storeLossy(duration);
			case OPERATOR_RACE -> race();
			default -> throw new IllegalArgumentException("unknown fault: " + kind);
		}
		this.world.probe();
	}

	private SimProcess anyProcess() {
		List<SimProcess> from = this.random.nextBoolean() ? this.world.processes : this.world.controlProcesses;
		return from.get(this.random.nextInt(from.size()));
	}

	private void end(int duration, Runnable action) {
		this.world.loop.after(duration, () -> {
			action.run();
			this.world.probe();
		});
	}

	private void kill(SimProcess process) {
		int delay = 100 + this.random.nextInt(RESTART_MILLIS);
		this.world.journal.trace(() -> process + " is killed for " + delay + " ms");
		process.alive = false;
		process.incarnation++;
		int killed = process.incarnation;
		end(delay, () -> {
			if (process.incarnation == killed) {
				process.alive = true;
				process.frozenUntil = 0;
				this.world.journal.trace(() -> process + " starts");
				this.world.start(process);
			}
		});
	}

	private void freeze(SimProcess process, int duration) {
		this.world.journal.trace(() -> process + " is frozen for " + duration + " ms");
		process.frozenUntil = Math.max(process.frozenUntil, this.world.loop.now() + duration);
		process.wakeMillis = this.random.nextInt(EventLoop.WAKE_MILLIS);
		end(duration, () -> this.world.journal.trace(() -> process + " runs again"));
	}

	private void cut(int duration) {
		int count = this.world.domains.size();
		if (count == 1) {
			return;
		}
		// One domain from some or all of the others.
		FailureDomain apart = this.world.domains.get(this.random.nextInt(count));
		boolean whole = this.random.nextBoolean();
		FailureDomain other = this.world.domains.get((this.world.domains.indexOf(apart) + 1) % count);
		List<FailureDomain> others = whole
				? this.world.domains.stream().filter((domain) -> !domain.equals(apart)).toList() : List.of(other);
		this.world.journal.trace(() -> apart + " is cut from " + others + " for " + duration + " ms");
		others.forEach((domain) -> this.world.network.cut(apart, domain));
		end(duration, () -> others.forEach((domain) -> this.world.network.heal(apart, domain)));
	}

	private void platformCut(int duration) {
		FailureDomain domain = this.world.domains.get(this.random.nextInt(this.world.domains.size()));
		this.world.journal.trace(() -> domain + " is cut from the platform for " + duration + " ms");
		this.world.network.platformCut(domain, true);
		end(duration, () -> this.world.network.platformCut(domain, false));
	}

	private void storeDown(int duration) {
		this.world.journal.trace(() -> "the store is down for " + duration + " ms");
		this.storeDown++;
		this.world.network.store.down(true);
		end(duration, () -> this.world.network.store.down(--this.storeDown > 0));
	}

	private void storeLossy(int duration) {
		this.world.journal.trace(() -> "the store loses answers for " + duration + " ms");
		this.storeLossy++;
		this.world.network.storeSlowness = STORE_SLOW_MILLIS;
		this.world.platform.losesAnswers = true;
		for (int at = 0; at < duration; at += 1_000) {
			this.world.loop.after(at + this.random.nextInt(1_000), this.world.network.store::deliverLate);
		}
		end(duration, () -> {
			this.storeLossy--;
			if (this.storeLossy == 0) {
				this.world.network.storeSlowness = 0;
				this.world.platform.losesAnswers = false;
				this.world.network.store.deliverLate();
			}
		});
	}

	private void race() {
		for (int i = 0; i < 4; i++) {
			this.world.loop.after(this.random.nextInt(3_000), this.world.operators::race);
		}
	}

	private Fault draw() {
		int kind = (this.storeLossy > 0) ? this.random.nextInt(5) : 2;
		return switch (kind) {
			case 0 -> Fault.ANSWER_LOST;
			case 1 -> Fault.LATE;
			default -> Fault.NONE;
		};
	}

}
