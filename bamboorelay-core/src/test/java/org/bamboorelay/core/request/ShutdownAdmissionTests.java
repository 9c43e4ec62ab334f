package org.bamboorelay.core.request;

import org.bamboorelay.core.time.ManualClock;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link ShutdownAdmission}.
 */
class ShutdownAdmissionTests {

	private final ManualClock clock = ManualClock.of(100_000);

	private final ShutdownAdmission admission = ShutdownAdmission.of(this.clock);

	@Test
	void allRequestsAreAcceptedBeforeTheShutdown() {
		this.admission.onServed("slow", 60_000);
		assertThat(this.admission.admits("slow", Long.MAX_VALUE)).isTrue();
		assertThat(this.admission.admits("unknown", Long.MAX_VALUE)).isTrue();
	}

	@Test
	void requestsThatMayOutliveTheProcessAreRefused() {
		// Requests of 3 s that came 2.4 to 3.5 s after the signal were passed on and cut.
		this.admission.onServed("slow", 3_000);
		this.admission.onServed("quick", 30);
		this.admission.begin(this.clock.millis() + 7_800);
		this.clock.advance(3_400);
		assertThat(this.admission.admits("slow", 10_000)).isFalse();
		assertThat(this.admission.admits("slow", 4_400)).as("with a limit before the end").isTrue();
		assertThat(this.admission.admits("quick", 10_000)).isTrue();
		assertThat(this.admission.admits("unknown", 10_000)).isFalse();
		this.clock.advance(4_360);
		assertThat(this.admission.admits("quick", 10_000)).isFalse();
		this.clock.advance(100);
		assertThat(this.admission.admits("quick", 1)).as("after the end").isFalse();
	}

	@Test
	void lateStreamsAreNotAcceptedByAnEstimate() {
		// A stream that ran longer than the recent ones of its route was cut.
		this.admission.onServed("stream", 30);
		assertThat(this.admission.admitsStream("stream", 10_000)).isTrue();
		this.admission.begin(this.clock.millis() + 7_800);
		this.clock.advance(2_900);
		assertThat(this.admission.admitsStream("stream", 10_000)).as("by an estimate").isTrue();
		this.clock.advance(200);
		assertThat(this.admission.admitsStream("stream", 10_000)).isFalse();
		assertThat(this.admission.admitsStream("stream", 4_700)).as("with a limit before the end").isTrue();
		assertThat(this.admission.admits("stream", 10_000)).as("other requests").isTrue();
	}

	@Test
	void durationsFollowThePresentLoad() {
		this.admission.onServed("route", 3_000);
		for (int request = 0; request < 400; request++) {
			this.admission.onServed("route", 20);
		}
		this.admission.begin(this.clock.millis() + 100);
		assertThat(this.admission.admits("route", 10_000)).isTrue();
	}

	@Test
	void durationsOfFormerRoutesAreForgotten() {
		this.admission.onServed("former", 20);
		for (int route = 0; route < 2_000; route++) {
			this.admission.onServed("route-" + route, 20);
		}
		this.admission.begin(this.clock.millis() + 100);
		assertThat(this.admission.admits("former", 10_000)).isFalse();
		assertThat(this.admission.admits("route-1999", 10_000)).isTrue();
	}

}
