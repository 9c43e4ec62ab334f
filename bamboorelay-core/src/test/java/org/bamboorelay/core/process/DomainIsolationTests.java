package org.bamboorelay.core.process;

import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link DomainIsolation}.
 */
class DomainIsolationTests {

	private final AtomicLong now = new AtomicLong(1_000);

	private final DomainIsolation isolation = DomainIsolation.of(this.now::get);

	@Test
	void takeoverIsRefusedUntilRejoinDelayAfterIsolationHasPassed() {
		// Guards against a host that, after a network partition has ended, takes over
		// submissions of live hosts that it has not heard again yet.
		assertThat(this.isolation.mayTakeOver(true)).isTrue();
		this.isolation.observe(true, true);
		this.now.addAndGet(5_000);
		this.isolation.observe(true, true);
		this.isolation.observe(false, false);
		assertThat(this.isolation.mayTakeOver(true)).isFalse();
		this.now.addAndGet(DomainIsolation.REJOIN_DELAY_MILLIS - 1);
		assertThat(this.isolation.mayTakeOver(true)).isFalse();
		this.now.addAndGet(1);
		assertThat(this.isolation.mayTakeOver(true)).isTrue();
	}

	@Test
	void recordsStayStaleUntilTheyAreReadOutsideIsolation() {
		this.isolation.observe(true, true);
		this.isolation.onRecordsRead(true);
		assertThat(this.isolation.areRecordsStale()).as("read while isolated").isTrue();
		this.isolation.observe(false, false);
		assertThat(this.isolation.areRecordsStale()).isTrue();
		this.isolation.onRecordsRead(false);
		assertThat(this.isolation.areRecordsStale()).isFalse();
	}

	@Test
	void submissionsOfSilentHostsAreTakenOverWhenTheStoreAnswers() {
		// After all other domains had lost their hosts, the remaining domain counted as
		// isolated for good, and nobody ran their submissions.
		this.isolation.observe(false, true);
		this.now.addAndGet(DomainIsolation.DEAD_SILENCE_MILLIS - 1);
		this.isolation.observe(false, true);
		assertThat(this.isolation.mayTakeOver(true)).as("shortly after they fell silent").isFalse();
		this.now.addAndGet(1);
		this.isolation.observe(false, true);
		assertThat(this.isolation.areRecordsStale()).isFalse();
		assertThat(this.isolation.mayTakeOver(false)).as("another host may hold the duties").isFalse();
		assertThat(this.isolation.mayTakeOver(true)).isTrue();
		this.isolation.onSilentHostActive();
		assertThat(this.isolation.mayTakeOver(true)).as("a silent host is alive").isFalse();
	}

	@Test
	void silenceCountsFromTheEndOfAnIsolation() {
		this.isolation.observe(true, true);
		this.now.addAndGet(DomainIsolation.DEAD_SILENCE_MILLIS);
		this.isolation.observe(true, true);
		this.isolation.observe(false, true);
		assertThat(this.isolation.mayTakeOver(true)).isFalse();
		this.now.addAndGet(DomainIsolation.DEAD_SILENCE_MILLIS);
		assertThat(this.isolation.mayTakeOver(true)).isTrue();
	}

}
