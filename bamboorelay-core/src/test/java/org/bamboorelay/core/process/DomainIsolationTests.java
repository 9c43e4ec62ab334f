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
		assertThat(this.isolation.mayTakeOver()).isTrue();
		this.isolation.observe(true);
		this.now.addAndGet(5_000);
		this.isolation.observe(true);
		this.isolation.observe(false);
		assertThat(this.isolation.mayTakeOver()).isFalse();
		this.now.addAndGet(DomainIsolation.REJOIN_DELAY_MILLIS - 1);
		assertThat(this.isolation.mayTakeOver()).isFalse();
		this.now.addAndGet(1);
		assertThat(this.isolation.mayTakeOver()).isTrue();
	}

	@Test
	void recordsStayStaleUntilTheyAreReadOutsideIsolation() {
		this.isolation.observe(true);
		this.isolation.onRecordsRead(true);
		assertThat(this.isolation.areRecordsStale()).as("read while isolated").isTrue();
		this.isolation.observe(false);
		assertThat(this.isolation.areRecordsStale()).isTrue();
		this.isolation.onRecordsRead(false);
		assertThat(this.isolation.areRecordsStale()).isFalse();
	}

}
