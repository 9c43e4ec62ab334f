package org.bamboorelay.core.scenario;

import java.util.List;
import java.util.Random;

import org.bamboorelay.core.store.FakeObjectStore.Fault;
import org.bamboorelay.core.version.FailureDomain;

/**
 * Injects the two faults of a run at random times and for random durations.
 */
final class FaultInjector {

	/**
	 * Fault-free time at the start of a run, in which the first usage window is chosen.
	 */
	static final int FAULT_FREE_MILLIS = 11_000;

	private static final int INJECTION_WINDOW_MILLIS = 12_000;

	private static final int MAX_DURATION_MILLIS = 15_000;

	private static final int RESTART_DELAY_MILLIS = 4_000;

	private static final int STORE_EXTRA_LATENCY_MILLIS = 250;

	private final Simulation simulation;

	private final Random random;

	/** Store outages in progress. */
	private int storeDown;

	/** Phases of lost store responses in progress. */
	private int storeLossy;

	FaultInjector(Simulation simulation, long seed) {
		this.simulation = simulation;
		this.random = new Random(seed);
		simulation.network.store.faults(this::drawStoreFault);
	}

	/** Returns the time after which all faults have ended. */
	static long endMillis() {
		return FAULT_FREE_MILLIS + INJECTION_WINDOW_MILLIS + MAX_DURATION_MILLIS;
	}

	void schedule(FaultKind kind) {
		this.simulation.loop.after(FAULT_FREE_MILLIS + this.random.nextInt(INJECTION_WINDOW_MILLIS),
				() -> inject(kind));
	}

	private void inject(FaultKind kind) {
		int durationMillis = 300 + this.random.nextInt(MAX_DURATION_MILLIS - 300);
		switch (kind) {
			case PROCESS_KILL -> kill(randomProcess());
			case FREEZE -> freeze(randomProcess(), durationMillis);
			case DOMAIN_PARTITION -> partition(durationMillis);
			case PLATFORM_PARTITION -> partitionPlatform(durationMillis);
			case STORE_OUTAGE -> storeDown(durationMillis);
			case STORE_RESPONSE_LOST -> storeLossy(durationMillis);
			case OPERATOR_RACE -> race();
			default -> throw new IllegalArgumentException("unknown fault: " + kind);
		}
		this.simulation.updateConnectivity();
	}

	private SimulatedProcess randomProcess() {
		List<SimulatedProcess> from = this.random.nextBoolean() ? this.simulation.processes
				: this.simulation.controlProcesses;
		return from.get(this.random.nextInt(from.size()));
	}

	private void scheduleEnd(int durationMillis, Runnable action) {
		this.simulation.loop.after(durationMillis, () -> {
			action.run();
			this.simulation.updateConnectivity();
		});
	}

	private void kill(SimulatedProcess process) {
		int delayMillis = 100 + this.random.nextInt(RESTART_DELAY_MILLIS);
		this.simulation.journal.trace(() -> process + " is killed, restarts after " + delayMillis + " ms");
		process.alive = false;
		process.incarnation++;
		int killedIncarnation = process.incarnation;
		scheduleEnd(delayMillis, () -> {
			if (process.incarnation == killedIncarnation) {
				process.alive = true;
				process.frozenUntil = 0;
				this.simulation.journal.trace(() -> process + " starts");
				this.simulation.start(process);
			}
		});
	}

	private void freeze(SimulatedProcess process, int durationMillis) {
		this.simulation.journal.trace(() -> process + " is frozen for " + durationMillis + " ms");
		process.frozenUntil = Math.max(process.frozenUntil, this.simulation.loop.now() + durationMillis);
		process.wakeDelayMillis = this.random.nextInt(EventLoop.MAX_WAKE_DELAY_MILLIS);
		scheduleEnd(durationMillis, () -> this.simulation.journal.trace(() -> process + " is no longer frozen"));
	}

	private void partition(int durationMillis) {
		int count = this.simulation.domains.size();
		if (count == 1) {
			return;
		}
		// Partitions one domain from either one or all of the others.
		FailureDomain isolated = this.simulation.domains.get(this.random.nextInt(count));
		boolean fromAll = this.random.nextBoolean();
		FailureDomain other = this.simulation.domains.get((this.simulation.domains.indexOf(isolated) + 1) % count);
		List<FailureDomain> others = fromAll
				? this.simulation.domains.stream().filter((domain) -> !domain.equals(isolated)).toList()
				: List.of(other);
		this.simulation.journal
			.trace(() -> isolated + " is partitioned from " + others + " for " + durationMillis + " ms");
		others.forEach((domain) -> this.simulation.network.partition(isolated, domain));
		scheduleEnd(durationMillis, () -> others.forEach((domain) -> this.simulation.network.heal(isolated, domain)));
	}

	private void partitionPlatform(int durationMillis) {
		FailureDomain domain = this.simulation.domains.get(this.random.nextInt(this.simulation.domains.size()));
		this.simulation.journal.trace(() -> domain + " is partitioned from the platform for " + durationMillis + " ms");
		this.simulation.network.partitionPlatform(domain, true);
		scheduleEnd(durationMillis, () -> this.simulation.network.partitionPlatform(domain, false));
	}

	private void storeDown(int durationMillis) {
		this.simulation.journal.trace(() -> "store is unavailable for " + durationMillis + " ms");
		this.storeDown++;
		this.simulation.network.store.down(true);
		scheduleEnd(durationMillis, () -> this.simulation.network.store.down(--this.storeDown > 0));
	}

	private void storeLossy(int durationMillis) {
		this.simulation.journal.trace(() -> "store loses responses for " + durationMillis + " ms");
		this.storeLossy++;
		this.simulation.network.storeExtraLatencyMillis = STORE_EXTRA_LATENCY_MILLIS;
		this.simulation.platform.losesResponses = true;
		for (int offsetMillis = 0; offsetMillis < durationMillis; offsetMillis += 1_000) {
			this.simulation.loop.after(offsetMillis + this.random.nextInt(1_000),
					this.simulation.network.store::applyDelayedWrites);
		}
		scheduleEnd(durationMillis, () -> {
			this.storeLossy--;
			if (this.storeLossy == 0) {
				this.simulation.network.storeExtraLatencyMillis = 0;
				this.simulation.platform.losesResponses = false;
				this.simulation.network.store.applyDelayedWrites();
			}
		});
	}

	private void race() {
		for (int i = 0; i < 4; i++) {
			this.simulation.loop.after(this.random.nextInt(3_000), this.simulation.operators::race);
		}
	}

	private Fault drawStoreFault() {
		int kind = (this.storeLossy > 0) ? this.random.nextInt(5) : 2;
		return switch (kind) {
			case 0 -> Fault.RESPONSE_LOST;
			case 1 -> Fault.DELAYED;
			default -> Fault.NONE;
		};
	}

}
