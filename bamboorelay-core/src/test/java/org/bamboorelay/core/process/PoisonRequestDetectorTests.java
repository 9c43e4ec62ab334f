package org.bamboorelay.core.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.core.time.ManualClock;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link PoisonRequestDetector}.
 */
class PoisonRequestDetectorTests {

	private static final String POISON = "poison";

	private static final String SOUND = "sound";

	private final ManualClock clock = ManualClock.of(10_000);

	private final PoisonRequestDetector detector = PoisonRequestDetector.create(this.clock);

	@Test
	void requestIsRejectedAfterThreeEndpointsCrashedUnderIt() {
		assertThat(this.detector.isEmpty()).isTrue();
		assertThat(this.detector.onCrash(POISON, "a", 1)).isTrue();
		assertThat(this.detector.onCrash(POISON, "a", 1)).as("same start").isFalse();
		this.detector.onCrash(POISON, "b", 1);
		assertThat(this.detector.rejectionMillis(POISON)).isZero();
		this.detector.onCrash(POISON, "a", 2);
		assertThat(this.detector.rejectionMillis(POISON)).isEqualTo(PoisonRequestDetector.REJECTION_MILLIS);
		assertThat(this.detector.rejectionMillis(SOUND)).isZero();
	}

	@Test
	void servedRequestIsNotRejectedHoweverManyEndpointsCrashUnderIt() {
		for (int start = 1; start < 10; start++) {
			this.detector.onCrash(SOUND, "a", start);
			this.detector.onCrash(SOUND, "b", start);
			assertThat(this.detector.onServed(SOUND)).isTrue();
		}
		assertThat(this.detector.crashes(SOUND)).isZero();
		assertThat(this.detector.isEmpty()).isTrue();
	}

	@Test
	void lostConnectionOfALivingEndpointIsNoCrash() {
		this.detector.onCrash(SOUND, "a", 1);
		this.detector.onSignOfLife("a", 1, this.clock.millis() - 1);
		assertThat(this.detector.crashes(SOUND)).as("request sent before").isEqualTo(1);
		this.detector.onSignOfLife("a", 2, this.clock.millis() + 100);
		assertThat(this.detector.crashes(SOUND)).as("later start").isEqualTo(1);
		this.detector.onSignOfLife("a", 1, this.clock.millis() + 100);
		assertThat(this.detector.crashes(SOUND)).isZero();
	}

	@Test
	void responseOfANewStartUnderTheSameIdIsNoSignOfLife() {
		// The directory may report the new start later than its first response.
		this.detector.onCrash(POISON, "a", 1);
		this.detector.onSignOfLife("a", 1, this.clock.millis() + 2_500);
		assertThat(this.detector.crashes(POISON)).isEqualTo(1);
	}

	@Test
	void rejectedRequestIsASuspectAfterItsRejectionAndForgottenLater() {
		crash(POISON, 5);
		this.clock.advance(PoisonRequestDetector.REJECTION_MILLIS);
		assertThat(this.detector.rejectionMillis(POISON)).isZero();
		assertThat(this.detector.crashes(POISON)).isEqualTo(PoisonRequestDetector.CRASHES_UNTIL_REJECTION - 1);
		this.clock.advance(PoisonRequestDetector.RETENTION_MILLIS - PoisonRequestDetector.REJECTION_MILLIS);
		assertThat(this.detector.crashes(POISON)).isZero();
		assertThat(this.detector.isEmpty()).isTrue();
	}

	@Test
	void suspectThatDoesNotComeAgainIsForgotten() {
		crash(POISON, 1);
		this.clock.advance(PoisonRequestDetector.RETENTION_MILLIS - 1);
		assertThat(this.detector.isEmpty()).isFalse();
		this.clock.advance(1);
		assertThat(this.detector.isEmpty()).isTrue();
	}

	@Test
	void hostThatStartedLaterLearnsTheSuspectsWithTheirAge() {
		crash(POISON, 3);
		this.clock.advance(60_000);
		PoisonRequestDetector later = PoisonRequestDetector.create(this.clock);
		for (PeerMessage.EndpointCrash report : this.detector.reports()) {
			assertThat(later.onReport(report)).isTrue();
			assertThat(later.onReport(report)).as("repeated").isFalse();
		}
		assertThat(later.rejectionMillis(POISON)).isEqualTo(PoisonRequestDetector.REJECTION_MILLIS - 60_000);
	}

	@Test
	void crashedEndpointIsMissingUntilTheDirectoryMustKnow() {
		this.detector.onCrash(POISON, "a", 1);
		assertThat(this.detector.missingEndpoints()).containsExactly("a");
		this.clock.advance(PoisonRequestDetector.MISSING_MILLIS);
		assertThat(this.detector.missingEndpoints()).isEmpty();
	}

	@Test
	void suspectWaitsForSpareEndpointsOnlyBeforeItsLastCrashAndNotForLong() {
		crash(POISON, 1);
		assertThat(this.detector.holdMillis(POISON)).isZero();
		crash(POISON, 2);
		this.clock.advance(1_000);
		assertThat(this.detector.holdMillis(POISON)).isEqualTo(PoisonRequestDetector.HOLD_MILLIS - 1_000);
		this.clock.advance(PoisonRequestDetector.HOLD_MILLIS - 1_000);
		assertThat(this.detector.holdMillis(POISON)).isZero();
		crash(POISON, 3);
		assertThat(this.detector.holdMillis(POISON)).isZero();
	}

	@Test
	void endpointGetsNoSecondSuspectWhileOneRuns() {
		this.detector.onSuspectSent("a");
		this.detector.onSuspectSent("a");
		this.detector.onSuspectDone("a");
		assertThat(this.detector.endpointsWithSuspect()).containsExactly("a");
		this.detector.onSuspectDone("a");
		assertThat(this.detector.endpointsWithSuspect()).isEmpty();
	}

	// Sound requests run beside the poison request at each host, and endpoints also crash
	// on their own.
	@Property(tries = 100)
	void poisonRequestCrashesNoMoreEndpointsThanItTakesToRejectIt(@ForAll long seed) {
		Random random = new Random(seed);
		List<PoisonRequestDetector> hosts = List.of(PoisonRequestDetector.create(this.clock),
				PoisonRequestDetector.create(this.clock));
		List<String> soundRequests = List.of("s1", "s2", "s3");
		int poisonRuns = 0;
		for (int start = 1; start < 60; start++) {
			PoisonRequestDetector host = hosts.get(random.nextInt(hosts.size()));
			List<String> running = new ArrayList<>();
			soundRequests.forEach((request) -> {
				if (random.nextInt(3) == 0 && host.rejectionMillis(request) == 0) {
					running.add(request);
				}
			});
			boolean poison = random.nextInt(4) == 0 && host.rejectionMillis(POISON) == 0;
			if (poison) {
				running.add(POISON);
				poisonRuns++;
			}
			boolean crashes = poison || random.nextInt(10) == 0;
			for (String request : running) {
				if (crashes) {
					report(hosts, host, request, start);
				}
				else {
					hosts.forEach((other) -> other.onServed(request));
				}
			}
			this.clock.advance(1_000);
		}
		assertThat(poisonRuns).isLessThanOrEqualTo(PoisonRequestDetector.CRASHES_UNTIL_REJECTION);
	}

	private static void report(List<PoisonRequestDetector> hosts, PoisonRequestDetector host, String request,
			int start) {
		host.onCrash(request, "e", start);
		hosts.forEach((other) -> other.onReport(new PeerMessage.EndpointCrash(request, "e", start, 0)));
	}

	private void crash(String fingerprint, int count) {
		for (int start = 1; start <= count; start++) {
			this.detector.onCrash(fingerprint, "a", start);
		}
	}

}
