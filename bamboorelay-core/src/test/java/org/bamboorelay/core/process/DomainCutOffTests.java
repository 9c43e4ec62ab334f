package org.bamboorelay.core.process;

import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link DomainCutOff}.
 */
class DomainCutOffTests {

	private static final long CHECK_INTERVAL_MILLIS = 150;

	private final AtomicLong now = new AtomicLong(100_000);

	private final DomainCutOff cutOff = DomainCutOff.of(this.now::get);

	@Test
	void cutIsNoticedBeforeACallToTheStoreTimesOut() {
		// The end of a training step hung for 4.3 s at hosts of a domain that was cut
		// off,
		// because they noticed it only once two calls had timed out.
		long cutMillis = this.now.get();
		long noticedMillis = 0;
		while (noticedMillis == 0 && this.now.get() < cutMillis + 10_000) {
			this.now.addAndGet(CHECK_INTERVAL_MILLIS);
			this.cutOff.observe(this.now.get() - cutMillis, cutMillis);
			noticedMillis = this.cutOff.isCutOff() ? this.now.get() : 0;
		}
		assertThat(noticedMillis - cutMillis).isBetween(DomainCutOff.ISOLATION_MILLIS, 1_500L);
		assertThat(this.cutOff.isStoreAnswering()).isFalse();
	}

	@Test
	void domainThatReachesTheStoreIsNotCutOff() {
		long lastStatusMillis = this.now.get();
		long lastResponseMillis = lastStatusMillis;
		for (int check = 0; check < 100; check++) {
			this.now.addAndGet(CHECK_INTERVAL_MILLIS);
			if (this.cutOff.observe(this.now.get() - lastStatusMillis, lastResponseMillis)) {
				lastResponseMillis = this.now.get() + 10;
			}
			assertThat(this.cutOff.isCutOff()).isFalse();
		}
		assertThat(this.cutOff.isOutsideSilent()).isTrue();
		assertThat(this.cutOff.isStoreAnswering()).isTrue();
	}

	@Test
	void cutEndsWithAStatusOrAResponse() {
		cutOff();
		this.cutOff.observe(0, 0);
		assertThat(this.cutOff.isCutOff()).as("after a status").isFalse();
		cutOff();
		this.cutOff.observe(5_000, this.now.get());
		assertThat(this.cutOff.isCutOff()).as("after a response").isFalse();
	}

	private void cutOff() {
		for (int check = 0; check < 20; check++) {
			this.now.addAndGet(CHECK_INTERVAL_MILLIS);
			this.cutOff.observe(2_000, 0);
		}
		assertThat(this.cutOff.isCutOff()).isTrue();
	}

}
