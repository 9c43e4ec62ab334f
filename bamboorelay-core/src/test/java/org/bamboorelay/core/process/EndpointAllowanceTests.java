package org.bamboorelay.core.process;

import java.util.ArrayDeque;
import java.util.Deque;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against endpoints that fall over because they get full load while cold.
 */
class EndpointAllowanceTests {

	private static final int CAPACITY = 16;

	@Property(tries = 200)
	void rampKeepsAColdEngineAliveWhereTheBaselineCrashesIt(@ForAll @IntRange(min = 2, max = 8) int bears,
			@ForAll @IntRange(min = 5, max = 20) int warmAfterSeconds) {
		assertThat(crashes(true, bears, 0, warmAfterSeconds, true)).as("ramp").isFalse();
		assertThat(crashes(false, bears, 0, warmAfterSeconds, true)).as("no-ramp").isTrue();
	}

	@Property(tries = 200)
	void latencyFindsAnEngineThatTurnedColdUnseen(@ForAll @IntRange(min = 2, max = 8) int bears) {
		assertThat(crashes(true, bears, 10, 40, false)).as("ramp").isFalse();
		assertThat(crashes(false, bears, 10, 40, false)).as("no-ramp").isTrue();
	}

	@Test
	void warmEngineReachesItsCapacity() {
		EndpointAllowance allowance = EndpointAllowance.of(true, CAPACITY);
		for (int i = 0; i < CAPACITY; i++) {
			allowance.answered(20, allowance.phase());
		}
		assertThat(allowance.value()).isEqualTo(CAPACITY);
		allowance.reported("one", true, CAPACITY);
		assertThat(allowance.value()).as("first report").isEqualTo(CAPACITY);
		allowance.reported("two", true, CAPACITY);
		assertThat(allowance.value()).as("new incarnation").isEqualTo(1);
	}

	@Test
	void answersToRequestsSentBeforeTheFallDoNotRaiseTheAllowance() {
		EndpointAllowance allowance = EndpointAllowance.of(true, CAPACITY);
		for (int i = 0; i < CAPACITY; i++) {
			allowance.answered(20, allowance.phase());
		}
		int before = allowance.phase();
		for (int i = 0; i < 4; i++) {
			allowance.answered(1_000, before);
		}
		allowance.answered(20, before);
		allowance.answered(20, before);
		assertThat(allowance.value()).isEqualTo(1);
		allowance.answered(20, allowance.phase());
		assertThat(allowance.value()).isEqualTo(2);
	}

	@Test
	void slowAnswersToAdoptedRequestsLowerTheAllowanceAfterAStart() {
		EndpointAllowance allowance = EndpointAllowance.of(true, 8);
		allowance.reported("start-1", false, 8);
		allowance.reported("start-1", true, 8);
		for (int answer = 0; answer < 8; answer++) {
			allowance.answered(50, allowance.phase());
		}
		allowance.answered(1_000, EndpointAllowance.UNKNOWN_PHASE);
		assertThat(allowance.value()).isEqualTo(4);
		allowance.answered(50, EndpointAllowance.UNKNOWN_PHASE);
		assertThat(allowance.value()).as("a fast answer says nothing").isEqualTo(4);
	}

	@Test
	void answersToRequestsOfTheColdStartAreNotComparedWith() {
		EndpointAllowance allowance = EndpointAllowance.of(true, CAPACITY);
		allowance.reported("one", false, CAPACITY);
		int cold = allowance.phase();
		allowance.reported("one", true, CAPACITY);
		for (int i = 0; i < CAPACITY; i++) {
			allowance.answered(1_000, cold);
		}
		assertThat(allowance.value()).isEqualTo(1);
	}

	/*
	 * An engine that is cold between two times takes 20 times as long, and falls over
	 * when it holds more than it bears for 3 s: three times the 1 s of a cold answer,
	 * before which nothing can tell that it turned cold.
	 */
	private static boolean crashes(boolean ramp, int bears, int coldFromSeconds, int coldToSeconds, boolean says) {
		EndpointAllowance allowance = EndpointAllowance.of(ramp, CAPACITY);
		Deque<Sent> started = new ArrayDeque<>();
		long overloadedSince = -1;
		for (long now = 0; now < 60_000; now += 10) {
			boolean cold = now >= coldFromSeconds * 1_000L && now < coldToSeconds * 1_000L;
			if (now % 1_000 == 0) {
				allowance.reported("one", !(says && cold), CAPACITY);
			}
			long latency = cold ? 1_000 : 50;
			while (!started.isEmpty() && now - started.getFirst().atMillis >= latency) {
				Sent sent = started.removeFirst();
				allowance.answered(now - sent.atMillis, sent.phase);
			}
			while (started.size() < allowance.value()) {
				started.addLast(new Sent(now, allowance.phase()));
			}
			if (!cold || started.size() <= bears) {
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

	private record Sent(long atMillis, int phase) {
	}

}
