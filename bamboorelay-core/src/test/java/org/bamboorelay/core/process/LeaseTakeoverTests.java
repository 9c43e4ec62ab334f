package org.bamboorelay.core.process;

import java.util.Random;

import org.bamboorelay.core.process.ControlProcessSimulation.EntryProcess;
import org.bamboorelay.core.store.FakeObjectStore;
import org.bamboorelay.core.store.FakeObjectStore.Fault;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against orders from two lease holders, orders that take effect twice, and usage
 * windows that are reported with different counts, if a holder is frozen or killed
 * between any two of its steps (invariants 7 and 8).
 */
class LeaseTakeoverTests {

	private static final int FAULT_POSITIONS = 220;

	private static final int RANDOM_SCHEDULES = 3_000;

	/**
	 * Without fencing at the receiver an order can arrive late only if the holder is
	 * frozen between the last lease check and the last byte. The successor sends the same
	 * order under the same id, so nothing takes effect twice. Each order is in that state
	 * for one round of the process's threads, which bounds the number of late orders.
	 */
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void holderFrozenBetweenAnyTwoStepsCausesNoFurtherOrders(boolean fencedReceiver) {
		int lateOrders = 0;
		for (int frozenAt = 1; frozenAt <= FAULT_POSITIONS; frozenAt++) {
			ControlProcessSimulation simulation = new ControlProcessSimulation(frozenAt, 2, fencedReceiver);
			ControlProcessSimulation.ControlProcess first = simulation.controlProcesses.get(0);
			for (int i = 0; i < frozenAt; i++) {
				first.step();
				simulation.clock.advance(20);
			}
			ControlProcessSimulation.ControlProcess second = simulation.controlProcesses.get(1);
			for (int i = 0; i < 2_000; i++) {
				second.step();
				simulation.clock.advance(20);
				simulation.checkInvariants();
			}
			assertThat(second.domainLease.isHeld()).as("successor holds the lease, frozen at %s", frozenAt).isTrue();
			simulation.runFor(20_000, 20);
			assertThat(simulation.violations).as("frozen at %s", frozenAt).isEmpty();
			assertThat(simulation.effectiveOrders).as("frozen at %s", frozenAt)
				.hasSize(ControlProcessSimulation.WANTED_ENDPOINTS);
			lateOrders += simulation.ordersAfterLeaseEnd;
		}
		assertThat(lateOrders).isLessThanOrEqualTo(fencedReceiver ? 0
				: ControlProcessSimulation.WANTED_ENDPOINTS * ControlProcessSimulation.THREADS_PER_PROCESS);
	}

	@Test
	void processKilledBetweenAnyTwoStepsReportsEachCountOnce() {
		for (int killedAt = 1; killedAt <= 2 * FAULT_POSITIONS; killedAt += 3) {
			ControlProcessSimulation simulation = new ControlProcessSimulation(killedAt, 1, true);
			simulation.runFor(8_000, 20);
			for (int i = 0; i < killedAt; i++) {
				simulation.entryProcesses.values().forEach((entry) -> entry.requests++);
				simulation.controlProcesses.get(0).step();
				simulation.clock.advance(20);
			}
			simulation.kill(0);
			simulation.runFor(90_000, 20);
			assertThat(simulation.violations).as("killed at %s", killedAt).isEmpty();
			assertThat(simulation.reportedRequests()).as("killed at %s", killedAt)
				.isEqualTo(simulation.servedRequests());
			assertThat(simulation.gaps()).as("killed at %s", killedAt).isZero();
		}
	}

	@Test
	void lateCountsBecomeACorrectionAndUnreadCountersOfADeadProcessBecomeAGap() {
		ControlProcessSimulation simulation = new ControlProcessSimulation(7, 1, true);
		simulation.runFor(8_000, 20);
		EntryProcess entry = simulation.entryProcesses.get("gt-a-1");
		entry.requests = 5;
		entry.reachable = false;
		simulation.runFor(8_000, 20);
		assertThat(simulation.reportedRequests()).isZero();
		entry.reachable = true;
		simulation.runFor(30_000, 20);
		assertThat(simulation.reports.values()).flatExtracting(UsageWindows.WindowRecord::corrections)
			.singleElement()
			.satisfies((correction) -> assertThat(correction.source()).isEqualTo(entry.incarnation));
		assertThat(simulation.reportedRequests()).isEqualTo(5);
		simulation.killEntryProcess("gt-a-1");
		simulation.runFor(30_000, 20);
		assertThat(simulation.reports.values()).flatExtracting(UsageWindows.WindowRecord::gaps)
			.extracting(UsageFigures.Gap::source)
			.containsExactly(entry.incarnation);
	}

	@Test
	void longStoreOutageLosesNoCountAndKeepsTheRetryRateBounded() {
		ControlProcessSimulation simulation = new ControlProcessSimulation(11, 3, true);
		simulation.runFor(12_000, 20);
		simulation.store.down(true);
		int before = simulation.store.calls();
		for (int i = 0; i < 600; i++) {
			simulation.entryProcesses.values().forEach((entry) -> entry.requests++);
			simulation.runFor(1_000, 20);
		}
		// Three processes with two leases each retry every 0.5 to 1 s after the first
		// failures.
		assertThat(simulation.store.calls() - before).isLessThan(600 * 12);
		assertThat(simulation.controlProcesses).noneMatch((holder) -> holder.domainLease.isHeld());
		simulation.store.down(false);
		simulation.runFor(120_000, 20);
		assertThat(simulation.violations).isEmpty();
		assertThat(simulation.reportedRequests()).isEqualTo(simulation.servedRequests());
		assertThat(simulation.gaps()).isZero();
	}

	/**
	 * Guards against the loss of a domain's first part. The write of the pointer to that
	 * part takes effect only after the first window of the deployment was selected.
	 */
	@Test
	void firstPartWhosePointerIsWrittenLateIsReported() {
		ControlProcessSimulation simulation = new ControlProcessSimulation(31, 1, true);
		String[] key = new String[1];
		simulation.store.beforeWrite((next) -> key[0] = next);
		long nextWindow = simulation.clock.millis() + ControlProcessSimulation.WINDOW_MILLIS;
		simulation.store.faults(() -> {
			boolean isPartsPointer = key[0].equals(UsageParts.pointerKey(ControlProcessSimulation.DOMAIN));
			boolean firstWindowSelected = key[0].equals(UsageWindows.REPORTED_KEY)
					&& simulation.clock.millis() >= nextWindow;
			return (isPartsPointer || (key[0].equals(UsageWindows.REPORTED_KEY) && !firstWindowSelected))
					? Fault.DELAYED : Fault.NONE;
		});
		simulation.entryProcesses.get("gt-a-1").requests = 5;
		while (simulation.store.peek(UsageWindows.REPORTED_KEY).isEmpty()) {
			simulation.runFor(20, 20);
		}
		simulation.store.faults(() -> Fault.NONE);
		simulation.store.applyDelayedWrites();
		simulation.runFor(60_000, 20);
		assertThat(simulation.violations).isEmpty();
		assertThat(simulation.reportedRequests()).isEqualTo(5);
	}

	/**
	 * Guards against counts that are lost or reported twice if the length of windows
	 * changes during a window, once before and once after a change of the holder.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 4_000, 7_000, 15_000, 20_000 })
	void changeOfWindowLengthLosesNoCount(long length) {
		for (int offset = 0; offset < 20_000; offset += 2_300) {
			ControlProcessSimulation simulation = new ControlProcessSimulation(offset, 2, true);
			runUnderLoad(simulation, 15_000 + offset);
			simulation.windowMillis = length;
			runUnderLoad(simulation, 11_000);
			simulation.kill(0);
			simulation.kill(1);
			runUnderLoad(simulation, 21_000);
			simulation.windowMillis = 6_000;
			runUnderLoad(simulation, 30_000);
			simulation.runFor(60_000, 20);
			assertThat(simulation.violations).as("offset %s", offset).isEmpty();
			assertThat(simulation.reportedRequests()).as("offset %s", offset).isEqualTo(simulation.servedRequests());
			assertThat(simulation.gaps()).as("offset %s", offset).isZero();
			long end = simulation.reports.keySet().iterator().next();
			for (UsageWindows.WindowRecord report : simulation.reports.values()) {
				assertThat(report.window()).as("start of a window, offset %s", offset).isEqualTo(end);
				end = report.end();
			}
		}
	}

	private static void runUnderLoad(ControlProcessSimulation simulation, long millis) {
		for (long i = 0; i < millis; i += 100) {
			simulation.entryProcesses.values().forEach((entry) -> entry.requests++);
			simulation.runFor(100, 20);
		}
	}

	/**
	 * Control processes are frozen, killed and restarted, entry processes restart and
	 * become unreachable, and the store is down, slow, loses responses and applies writes
	 * late. A failure message contains the seed.
	 */
	@Test
	void randomFaultSchedulesKeepTheInvariants() {
		for (long seed = 1; seed <= RANDOM_SCHEDULES; seed++) {
			Random random = new Random(seed);
			ControlProcessSimulation simulation = new ControlProcessSimulation(seed, 2 + random.nextInt(2),
					random.nextBoolean());
			int[] frozen = new int[simulation.controlProcesses.size()];
			simulation.store.faults(() -> randomFault(random));
			for (int i = 0; i < 600; i++) {
				applyRandomAction(simulation, frozen, random);
				simulation.checkInvariants();
			}
			simulation.store.down(false);
			simulation.store.setLatency(0);
			simulation.store.applyDelayedWrites();
			simulation.store.faults(() -> FakeObjectStore.Fault.NONE);
			simulation.entryProcesses.values().forEach((entry) -> entry.reachable = true);
			simulation.runFor(150_000, 40);
			assertThat(simulation.violations).as("seed %s", seed).isEmpty();
			assertThat(simulation.effectiveOrders).as("seed %s", seed)
				.hasSize(ControlProcessSimulation.WANTED_ENDPOINTS);
			assertThat(simulation.usageDiscrepancies()).as("seed %s", seed).isEmpty();
		}
	}

	private static Fault randomFault(Random random) {
		int choice = random.nextInt(40);
		if (choice == 0) {
			return Fault.RESPONSE_LOST;
		}
		return (choice != 1) ? Fault.NONE : Fault.DELAYED;
	}

	private static void applyRandomAction(ControlProcessSimulation simulation, int[] frozen, Random random) {
		int index = random.nextInt(frozen.length);
		int choice = random.nextInt(200);
		switch (choice) {
			case 0, 1 -> {
				frozen[index] = random.nextInt(200);
			}
			case 2 -> simulation.kill(index);
			case 3 -> simulation.store.down(random.nextBoolean());
			case 4 -> simulation.store.setLatency(random.nextInt(3) * 150L);
			case 5 -> simulation.store.applyDelayedWrites();
			case 6 -> {
				simulation.entryProcesses.get("gt-a-1").reachable = random.nextBoolean();
			}
			case 7 -> {
				if (random.nextInt(4) == 0) {
					simulation.killEntryProcess("gt-a-2");
				}
			}
			case 8 -> simulation.clock.advance(random.nextInt(5_000));
			default -> {
				simulation.entryProcesses.get("gt-a-" + (1 + random.nextInt(2))).requests += random.nextInt(3);
				for (int i = 0; i < frozen.length; i++) {
					if (frozen[i] > 0) {
						frozen[i]--;
					}
					else if (random.nextInt(3) > 0) {
						simulation.controlProcesses.get(i).step();
					}
				}
				simulation.clock.advance(random.nextInt(120));
			}
		}
	}

}
