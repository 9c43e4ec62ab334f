package org.bamboorelay.core.process;

import java.util.List;
import java.util.stream.IntStream;

import org.bamboorelay.core.store.FakeObjectStore;
import org.bamboorelay.core.store.FakeObjectStore.Fault;
import org.bamboorelay.core.time.ManualClock;
import org.bamboorelay.core.version.FailureDomain;
import org.bamboorelay.core.version.HostId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a lease that its holder counts longer than a contender does, and against
 * a holder that gives up a lease it has.
 */
class LeaseStateTests {

	private static final LeaseState.Terms TERMS = LeaseState.Terms.standard(true);

	private final ManualClock clock = ManualClock.of(10_000);

	private final FakeObjectStore store = new FakeObjectStore(this.clock);

	private final LeaseState first = lease("first");

	private final LeaseState second = lease("second");

	@Test
	void renewalWithLostAnswerKeepsTheLeaseAndItsFencingNumber() {
		drive(this.first);
		this.store.faults(() -> Fault.ANSWER_LOST);
		for (int i = 0; i < 200; i++) {
			this.clock.advance(100);
			drive(this.first);
			drive(this.second);
			assertThat(this.first.fencing()).as("after %s ms", i * 100).isEqualTo(1);
		}
	}

	@Test
	void holderCountsFromBeforeTheRenewalWasSent() {
		this.store.slow(2_000);
		for (int i = 0; i < 2; i++) {
			StoreStep step = this.first.next();
			this.first.onResult(step, step.perform(this.store));
		}
		long sentAt = 10_000 + 2 * 2_000;
		assertThat(this.clock.millis()).isEqualTo(sentAt + 2 * 2_000);
		this.clock.advance(sentAt + TERMS.lengthMillis() - 1 - this.clock.millis());
		assertThat(this.first.isHeld()).isTrue();
		this.clock.advance(1);
		assertThat(this.first.isHeld()).isFalse();
	}

	@Test
	void contenderWaitsOutAnUnchangedVersionFromWhenItSawIt() {
		drive(this.first);
		this.clock.advance(4_000);
		drive(this.second);
		long seen = this.clock.millis();
		while (!this.second.isHeld()) {
			this.clock.advance(50);
			drive(this.second);
		}
		assertThat(this.clock.millis() - seen).isBetween(TERMS.takeoverDelayMillis(),
				TERMS.takeoverDelayMillis() + 100);
		assertThat(this.second.fencing()).isEqualTo(2);
	}

	@Test
	void onlyOneOfTwoContendersWinsAndTheLoserWaitsAgain() {
		StoreStep read = this.first.next();
		StoreStep otherRead = this.second.next();
		this.first.onResult(read, read.perform(this.store));
		this.second.onResult(otherRead, otherRead.perform(this.store));
		StoreStep write = this.first.next();
		StoreStep otherWrite = this.second.next();
		this.first.onResult(write, write.perform(this.store));
		this.second.onResult(otherWrite, otherWrite.perform(this.store));
		drive(this.second);
		assertThat(this.first.isHeld()).isTrue();
		assertThat(this.second.isHeld()).isFalse();
	}

	@Test
	void releasedLeaseIsTakenWithoutWaiting() {
		drive(this.first);
		drive(this.second);
		this.first.release();
		drive(this.first);
		assertThat(this.first.isReleased()).isTrue();
		this.clock.advance(2 * TERMS.pollMillis());
		drive(this.second);
		assertThat(this.second.fencing()).isEqualTo(2);
	}

	/**
	 * Guards against a lease that stays free since every process thinks that others are
	 * to take it.
	 */
	@Test
	void leaseWithoutContendersIsTakenOverLate() {
		LeaseState standby = lease("standby").where(() -> false);
		drive(this.first);
		drive(standby);
		long seen = this.clock.millis();
		while (!standby.isHeld()) {
			assertThat(this.clock.millis()).isLessThan(seen + 2 * TERMS.standbyDelayMillis());
			this.clock.advance(100);
			drive(standby);
		}
		assertThat(this.clock.millis() - seen).isGreaterThanOrEqualTo(TERMS.standbyDelayMillis());
		assertThat(this.first.isHeld()).isFalse();
	}

	/**
	 * Guards against reads of a lease by each process of a deployment, and against a free
	 * lease that is taken by one that is not to contend.
	 */
	@Test
	void processThatDoesNotContendReadsSeldomAndLeavesAReleasedLease() {
		LeaseState standby = lease("standby").where(() -> false);
		int reads = 0;
		for (int i = 0; i < 1_200; i++) {
			drive(this.first);
			for (StoreStep step = standby.next(); step != null; step = standby.next()) {
				assertThat(step).isInstanceOf(StoreStep.Read.class);
				standby.onResult(step, step.perform(this.store));
				reads++;
			}
			this.clock.advance(100);
		}
		assertThat(reads).isBetween(2, 5);
		this.first.release();
		drive(this.first);
		this.clock.advance(TERMS.takeoverDelayMillis());
		drive(standby);
		assertThat(standby.isHeld()).isFalse();
	}

	/** Guards against a new contender that sleeps on after the others have died. */
	@Test
	void processThatBecomesAContenderTakesOverInTheUsualTime() {
		boolean[] contends = { false };
		LeaseState standby = lease("standby").where(() -> contends[0]);
		drive(this.first);
		this.clock.advance(1_900);
		drive(standby);
		contends[0] = true;
		drive(standby);
		this.clock.advance(TERMS.takeoverDelayMillis() - 1);
		drive(standby);
		assertThat(standby.isHeld()).isFalse();
		this.clock.advance(101);
		drive(standby);
		assertThat(standby.isHeld()).isTrue();
	}

	@Test
	void threeHostsOfADomainContend() {
		List<HostId> hosts = IntStream.range(0, 45).mapToObj((i) -> HostId.of("host-" + i)).toList();
		FailureDomain domain = FailureDomain.of("gt-centro-a");
		List<HostId> contenders = hosts.stream()
			.filter((host) -> LeaseElection.isContender(domain, hosts, host))
			.toList();
		assertThat(contenders).hasSize(3);
		List<HostId> rest = hosts.stream().filter((host) -> !host.equals(contenders.get(0))).toList();
		assertThat(rest.stream().filter((host) -> LeaseElection.isContender(domain, rest, host))).hasSize(3)
			.containsAll(contenders.subList(1, 3));
	}

	private LeaseState lease(String holder) {
		return LeaseState.of("leases/gt-centro-a", holder, this.clock, () -> TERMS, () -> 0.5);
	}

	private void drive(LeaseState lease) {
		for (StoreStep step = lease.next(); step != null; step = lease.next()) {
			lease.onResult(step, step.perform(this.store));
		}
	}

}
