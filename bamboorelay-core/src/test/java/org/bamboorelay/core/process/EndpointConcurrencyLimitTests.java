package org.bamboorelay.core.process;

import java.util.ArrayDeque;
import java.util.Deque;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against endpoints that crash because they receive full load while cold.
 */
class EndpointConcurrencyLimitTests {

	private static final int CAPACITY = 16;

	@Property(tries = 200)
	void coldEngineSurvivesWithRampAndCrashesWithBaseline(@ForAll @IntRange(min = 2, max = 8) int sustainableRequests,
			@ForAll @IntRange(min = 5, max = 20) int warmAfterSeconds) {
		assertThat(crashes(true, sustainableRequests, 0, warmAfterSeconds, true)).as("ramp").isFalse();
		assertThat(crashes(false, sustainableRequests, 0, warmAfterSeconds, true)).as("no-ramp").isTrue();
	}

	@Property(tries = 200)
	void engineThatBecomesColdWithoutReportingItIsDetectedByLatency(
			@ForAll @IntRange(min = 2, max = 8) int sustainableRequests) {
		assertThat(crashes(true, sustainableRequests, 10, 40, false)).as("ramp").isFalse();
		assertThat(crashes(false, sustainableRequests, 10, 40, false)).as("no-ramp").isTrue();
	}

	@Test
	void warmEngineReachesItsCapacityAndNewIncarnationStartsAtOne() {
		EndpointConcurrencyLimit limit = EndpointConcurrencyLimit.of(true, CAPACITY);
		for (int i = 0; i < CAPACITY; i++) {
			limit.onResponse(20, limit.phase());
		}
		assertThat(limit.value()).isEqualTo(CAPACITY);
		limit.onLoadReport("one", true, CAPACITY);
		assertThat(limit.value()).as("first report").isEqualTo(CAPACITY);
		limit.onLoadReport("two", true, CAPACITY);
		assertThat(limit.value()).as("new incarnation").isEqualTo(1);
	}

	@Test
	void responsesToRequestsSentBeforeTheDecreaseDoNotRaiseTheLimit() {
		EndpointConcurrencyLimit limit = EndpointConcurrencyLimit.of(true, CAPACITY);
		for (int i = 0; i < CAPACITY; i++) {
			limit.onResponse(20, limit.phase());
		}
		int before = limit.phase();
		for (int i = 0; i < 4; i++) {
			limit.onResponse(1_000, before);
		}
		limit.onResponse(20, before);
		limit.onResponse(20, before);
		assertThat(limit.value()).isEqualTo(1);
		limit.onResponse(20, limit.phase());
		assertThat(limit.value()).isEqualTo(2);
	}

	@Test
	void slowResponsesToAdoptedRequestsLowerTheLimitAfterAStart() {
		EndpointConcurrencyLimit limit = EndpointConcurrencyLimit.of(true, 8);
		limit.onLoadReport("start-1", false, 8);
		limit.onLoadReport("start-1", true, 8);
		for (int answer = 0; answer < 8; answer++) {
			limit.onResponse(50, limit.phase());
		}
		limit.onResponse(1_000, EndpointConcurrencyLimit.UNKNOWN_PHASE);
		assertThat(limit.value()).isEqualTo(4);
		limit.onResponse(50, EndpointConcurrencyLimit.UNKNOWN_PHASE);
		assertThat(limit.value()).as("fast response to an adopted request").isEqualTo(4);
	}

	@Test
	void responsesToRequestsSentDuringTheColdStartAreIgnored() {
		EndpointConcurrencyLimit limit = EndpointConcurrencyLimit.of(true, CAPACITY);
		limit.onLoadReport("one", false, CAPACITY);
		int cold = limit.phase();
		limit.onLoadReport("one", true, CAPACITY);
		for (int i = 0; i < CAPACITY; i++) {
			limit.onResponse(1_000, cold);
		}
		assertThat(limit.value()).isEqualTo(1);
	}

	/*
	 * Simulates an engine that is cold between two times. While cold it takes 20 times as
	 * long, and it crashes if it holds more requests than it sustains for 3 s: three
	 * times the 1 s of a cold response, before which the cold state cannot be detected.
	 */
	private static boolean crashes(boolean ramp, int sustainableRequests, int coldFromSeconds, int coldToSeconds,
			boolean reportsCold) {
		EndpointConcurrencyLimit limit = EndpointConcurrencyLimit.of(ramp, CAPACITY);
		Deque<SentRequest> started = new ArrayDeque<>();
		long overloadedSince = -1;
		for (long now = 0; now < 60_000; now += 10) {
			boolean cold = now >= coldFromSeconds * 1_000L && now < coldToSeconds * 1_000L;
			if (now % 1_000 == 0) {
				limit.onLoadReport("one", !(reportsCold && cold), CAPACITY);
			}
			long latency = cold ? 1_000 : 50;
			while (!started.isEmpty() && now - started.getFirst().atMillis >= latency) {
				SentRequest sent = started.removeFirst();
				limit.onResponse(now - sent.atMillis, sent.phase);
			}
			while (started.size() < limit.value()) {
				started.addLast(new SentRequest(now, limit.phase()));
			}
			if (!cold || started.size() <= sustainableRequests) {
				overloadedSince = -1;
			}
			else if (overloadedSince < 0) {
				overloadedSince = now;
			}
			else if (now - overloadedSince > 3_000) {
				return true;
			}
		}
		return false;
	}

	private record SentRequest(long atMillis, int phase) {
	}

}
