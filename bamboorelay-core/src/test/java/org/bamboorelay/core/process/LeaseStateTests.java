package org.bamboorelay.core.process;

import java.util.List;
import java.util.stream.IntStream;

import org.bamboorelay.core.store.FakeObjectStore;
import org.bamboorelay.core.store.FakeObjectStore.Fault;
import org.bamboorelay.core.time.ManualClock;
import org.bamboorelay.core.time.SuspendAwareClock;
import org.bamboorelay.core.version.FailureDomain;
import org.bamboorelay.core.version.HostId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a lease that its holder considers valid for longer than a contender
 * does, and against a holder that gives up a lease that it still holds.
 */
class LeaseStateTests {

	private static final LeaseState.Timing TIMING = LeaseState.Timing.standard(true);

	private final ManualClock clock = ManualClock.of(10_000);

	private final FakeObjectStore store = new FakeObjectStore(this.clock);

	private final LeaseState first = lease("first");

	private final LeaseState second = lease("second");

	@Test
	void renewalWithLostAnswerKeepsTheLeaseAndItsFencingNumber() {
		performAllOperations(this.first);
		this.store.faults(() -> Fault.RESPONSE_LOST);
		for (int i = 0; i < 200; i++) {
			this.clock.advance(100);
			performAllOperations(this.first);
			performAllOperations(this.second);
			assertThat(this.first.fencing()).as("after %s ms", i * 100).isEqualTo(1);
		}
	}

	@Test
	void leaseEndsAfterItsDurationFromBeforeTheRenewalWasSent() {
		this.store.setLatency(2_000);
		for (int i = 0; i < 2; i++) {
			StoreOperation operation = this.first.next();
			this.first.onResult(operation, operation.perform(this.store));
		}
		long sentAtMillis = 10_000 + 2 * 2_000;
		assertThat(this.clock.millis()).isEqualTo(sentAtMillis + 2 * 2_000);
		this.clock.advance(sentAtMillis + TIMING.durationMillis() - 1 - this.clock.millis());
		assertThat(this.first.isHeld()).isTrue();
		this.clock.advance(1);
		assertThat(this.first.isHeld()).isFalse();
	}

	@Test
	void contenderTakesOverAfterTheVersionStayedUnchangedSinceItReadIt() {
		performAllOperations(this.first);
		this.clock.advance(4_000);
		performAllOperations(this.second);
		long readAtMillis = this.clock.millis();
		while (!this.second.isHeld()) {
			this.clock.advance(50);
			performAllOperations(this.second);
		}
		assertThat(this.clock.millis() - readAtMillis).isBetween(TIMING.takeoverDelayMillis(),
				TIMING.takeoverDelayMillis() + 100);
		assertThat(this.second.fencing()).isEqualTo(2);
	}

	@Test
	void onlyOneOfTwoContendersWinsAndTheLoserWaitsAgain() {
		StoreOperation firstRead = this.first.next();
		StoreOperation secondRead = this.second.next();
		this.first.onResult(firstRead, firstRead.perform(this.store));
		this.second.onResult(secondRead, secondRead.perform(this.store));
		StoreOperation firstWrite = this.first.next();
		StoreOperation secondWrite = this.second.next();
		this.first.onResult(firstWrite, firstWrite.perform(this.store));
		this.second.onResult(secondWrite, secondWrite.perform(this.store));
		performAllOperations(this.second);
		assertThat(this.first.isHeld()).isTrue();
		assertThat(this.second.isHeld()).isFalse();
	}

	@Test
	void releasedLeaseIsTakenOverWithoutTakeoverDelay() {
		performAllOperations(this.first);
		performAllOperations(this.second);
		this.first.release();
		performAllOperations(this.first);
		assertThat(this.first.isReleased()).isTrue();
		this.clock.advance(2 * TIMING.pollIntervalMillis());
		performAllOperations(this.second);
		assertThat(this.second.fencing()).isEqualTo(2);
	}

	/**
	 * Guards against a lease that stays free because every process assumes that others
	 * contend for it.
	 */
	@Test
	void leaseWithoutContendersIsTakenOverAfterTheStandbyDelay() {
		LeaseState standby = lease("standby").contendingWhen(() -> false);
		performAllOperations(this.first);
		performAllOperations(standby);
		long readAtMillis = this.clock.millis();
		while (!standby.isHeld()) {
			assertThat(this.clock.millis()).isLessThan(readAtMillis + 2 * TIMING.standbyDelayMillis());
			this.clock.advance(100);
			performAllOperations(standby);
		}
		assertThat(this.clock.millis() - readAtMillis).isGreaterThanOrEqualTo(TIMING.standbyDelayMillis());
		assertThat(this.first.isHeld()).isFalse();
	}

	/**
	 * Guards against frequent reads of a lease by all processes of a deployment, and
	 * against a released lease that a process on standby takes.
	 */
	@Test
	void standbyProcessReadsRarelyAndDoesNotTakeAReleasedLease() {
		LeaseState standby = lease("standby").contendingWhen(() -> false);
		int reads = 0;
		for (int i = 0; i < 1_200; i++) {
			performAllOperations(this.first);
			for (StoreOperation operation = standby.next(); operation != null; operation = standby.next()) {
				assertThat(operation).isInstanceOf(StoreOperation.Read.class);
				standby.onResult(operation, operation.perform(this.store));
				reads++;
			}
			this.clock.advance(100);
		}
		assertThat(reads).isBetween(2, 5);
		this.first.release();
		performAllOperations(this.first);
		this.clock.advance(TIMING.takeoverDelayMillis());
		performAllOperations(standby);
		assertThat(standby.isHeld()).isFalse();
	}

	/**
	 * Guards against a process that becomes a contender, after the others died, but waits
	 * for the standby delay.
	 */
	@Test
	void standbyProcessThatBecomesAContenderTakesOverAfterTheTakeoverDelay() {
		boolean[] contends = { false };
		LeaseState standby = lease("standby").contendingWhen(() -> contends[0]);
		performAllOperations(this.first);
		this.clock.advance(1_900);
		performAllOperations(standby);
		contends[0] = true;
		performAllOperations(standby);
		this.clock.advance(TIMING.takeoverDelayMillis() - 1);
		performAllOperations(standby);
		assertThat(standby.isHeld()).isFalse();
		this.clock.advance(101);
		performAllOperations(standby);
		assertThat(standby.isHeld()).isTrue();
	}

	@Test
	void threeHostsOfADomainContendAndOneReplacesADeadOne() {
		List<HostId> hosts = IntStream.range(0, 45).mapToObj((i) -> HostId.of("host-" + i)).toList();
		FailureDomain domain = FailureDomain.of("gt-centro-a");
		List<HostId> contenders = hosts.stream()
			.filter((host) -> LeaseContenders.isContender(domain, hosts, host))
			.toList();
		assertThat(contenders).hasSize(3);
		List<HostId> rest = hosts.stream().filter((host) -> !host.equals(contenders.get(0))).toList();
		assertThat(rest.stream().filter((host) -> LeaseContenders.isContender(domain, rest, host))).hasSize(3)
			.containsAll(contenders.subList(1, 3));
	}

	// Guards against a contender that takes a step of the wall clock for time during
	// which
	// the holder was silent, so that both act at the same time.
	@Test
	void contenderDoesNotTakeOverEarlyWhenItsWallClockSteps() {
		ManualClock wall = ManualClock.of(5_000_000);
		LeaseState contender = lease("contender").withExpiryClock(SuspendAwareClock.of(this.clock, wall));
		performAllOperations(this.first);
		performAllOperations(contender);
		for (int step = 0; step < 10; step++) {
			wall.advance(TIMING.takeoverDelayMillis());
			performAllOperations(contender);
			assertThat(contender.isHeld()).as("after step %s", step).isFalse();
		}
		this.clock.advance(TIMING.durationMillis() - 1);
		performAllOperations(contender);
		assertThat(this.first.isHeld()).isTrue();
		assertThat(contender.isHeld()).isFalse();
		this.clock.advance(TIMING.takeoverDelayMillis());
		performAllOperations(contender);
		assertThat(contender.fencing()).isEqualTo(2);
	}

	// Guards against a holder that considers its lease valid after its machine was
	// suspended, while the monotonic clock stood still.
	@Test
	void leaseEndsWhenItsHolderWasSuspended() {
		ManualClock wall = ManualClock.of(5_000_000);
		LeaseState holder = lease("holder").withExpiryClock(SuspendAwareClock.of(this.clock, wall));
		performAllOperations(holder);
		assertThat(holder.isHeld()).isTrue();
		wall.advance(TIMING.durationMillis());
		assertThat(holder.isHeld()).isFalse();
		performAllOperations(this.second);
		this.clock.advance(TIMING.renewIntervalMillis());
		performAllOperations(holder);
		assertThat(holder.fencing()).as("renewed, as nobody took it over").isEqualTo(1);
	}

	private LeaseState lease(String holder) {
		return LeaseState.of("leases/gt-centro-a", holder, this.clock, () -> TIMING, () -> 0.5);
	}

	private void performAllOperations(LeaseState lease) {
		for (StoreOperation operation = lease.next(); operation != null; operation = lease.next()) {
			lease.onResult(operation, operation.perform(this.store));
		}
	}

}
