package org.bamboorelay.core.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.bamboorelay.core.connection.PeerMessage;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link RequestRateSchedule}.
 */
class RequestRateScheduleTests {

	private static final long WINDOW_MILLIS = 4_000;

	private static final long DURATION_MILLIS = 20_000;

	/** Time that the requests of callers may wait, in milliseconds. */
	private static final long CALLER_WAIT_MILLIS = 375;

	@Property(tries = 50)
	void requestsInAWindowStayWithinTheRate(@ForAll @DoubleRange(min = 0, max = 50) double rate,
			@ForAll @IntRange(min = 1, max = 300) int interactivePerSecond,
			@ForAll @IntRange(min = 0, max = 300) int backgroundPerSecond, @ForAll long seed) {
		RequestRateSchedule schedule = RequestRateSchedule.shared();
		List<Long> sent = play(List.of(schedule), 1, rate, interactivePerSecond, backgroundPerSecond, seed);
		assertThat(mostInWindow(sent)).isLessThanOrEqualTo(allowed(rate));
	}

	@Property(tries = 20)
	void hostsWithoutASchedulingHostStayWithinTheRateTogether(@ForAll @DoubleRange(min = 0, max = 50) double rate,
			@ForAll @IntRange(min = 2, max = 12) int hosts, @ForAll long seed) {
		List<RequestRateSchedule> schedules = new ArrayList<>();
		Random phases = new Random(seed);
		for (int host = 0; host < hosts; host++) {
			schedules.add(RequestRateSchedule.alone(phases.nextDouble()));
		}
		List<Long> sent = play(schedules, 1.0 / hosts, rate, 100, 100, seed);
		assertThat(mostInWindow(sent)).isLessThanOrEqualTo(allowed(rate));
	}

	@Property(tries = 20)
	void bothPartsOfADividedDeploymentStayWithinTheRateTogether(@ForAll @DoubleRange(min = 0, max = 50) double rate,
			@ForAll @IntRange(min = 1, max = 5) int lostHosts, @ForAll long seed) {
		List<Long> sent = new ArrayList<>(
				play(List.of(RequestRateSchedule.shared()), (6 - lostHosts) / 6.0, rate, 100, 100, seed));
		sent.addAll(play(List.of(RequestRateSchedule.shared()), lostHosts / 6.0, rate, 100, 100, seed + 1));
		assertThat(mostInWindow(sent)).isLessThanOrEqualTo(allowed(rate));
	}

	@Test
	void theWholeRateIsUsedWhileMoreIsAsked() {
		RequestRateSchedule schedule = RequestRateSchedule.shared();
		List<Long> sent = play(List.of(schedule), 1, 10, 0, 200, 1);
		assertThat(sent.size() * 1_000.0 / DURATION_MILLIS).isBetween(9.5, 11.0);
	}

	@Test
	void callersGoAheadOfItemsThatTakeTheWholeRate() {
		RequestRateSchedule schedule = RequestRateSchedule.shared();
		Random random = new Random(1);
		int callers = 0;
		int served = 0;
		for (long now = 0; now < DURATION_MILLIS; now += 5) {
			schedule.request(request(10, false, 0), 1, now);
			if (random.nextInt(50) == 0) {
				callers++;
				served += schedule.request(request(10, true, CALLER_WAIT_MILLIS), 1, now).granted() ? 1 : 0;
			}
		}
		assertThat(served).isGreaterThanOrEqualTo(callers * 95 / 100);
	}

	@Test
	void itemsGetAFourthOfTheRateWhenCallersAskForMoreThanAll() {
		RequestRateSchedule schedule = RequestRateSchedule.shared();
		int items = 0;
		for (long now = 0; now < DURATION_MILLIS; now += 5) {
			schedule.request(request(8, true, CALLER_WAIT_MILLIS), 1, now);
			items += schedule.request(request(8, false, 0), 1, now).granted() ? 1 : 0;
		}
		assertThat(items * 1_000.0 / DURATION_MILLIS).isBetween(1.8, 2.5);
	}

	@Test
	void refusedRequestIsServedIfItReturnsAfterTheStatedTime() {
		RequestRateSchedule schedule = RequestRateSchedule.shared();
		long now = 1_000;
		PeerMessage.RateSlot slot = schedule.request(request(1, true, 0), 1, now);
		while (slot.granted()) {
			slot = schedule.request(request(1, true, 0), 1, now);
		}
		assertThat(slot.delayMillis()).isPositive();
		assertThat(schedule.request(request(1, true, 0), 1, now + slot.delayMillis() - 2).granted()).isFalse();
		assertThat(schedule.request(request(1, true, 0), 1, now + slot.delayMillis()).granted()).isTrue();
	}

	@Test
	void newStartOfAnEndpointHasANewSchedule() {
		RequestRateSchedule schedule = RequestRateSchedule.shared();
		while (schedule.request(request(1, true, 0), 1, 0).granted()) {
			continue;
		}
		assertThat(schedule.request(new PeerMessage.RateSlotRequest("a", 2, 1, true, 0), 1, 0).granted()).isTrue();
	}

	// Returns when requests were sent, by hosts that all ask as often.
	private static List<Long> play(List<RequestRateSchedule> hosts, double share, double rate, int interactivePerSecond,
			int backgroundPerSecond, long seed) {
		Random random = new Random(seed);
		List<Long> sent = new ArrayList<>();
		for (long now = 0; now < DURATION_MILLIS; now++) {
			for (RequestRateSchedule host : hosts) {
				if (random.nextInt(1_000) < interactivePerSecond) {
					PeerMessage.RateSlot slot = host.request(request(rate, true, CALLER_WAIT_MILLIS), share, now);
					if (slot.granted()) {
						sent.add(now + slot.delayMillis());
					}
				}
				if (random.nextInt(1_000) < backgroundPerSecond
						&& host.request(request(rate, false, 0), share, now).granted()) {
					sent.add(now);
				}
			}
		}
		return sent;
	}

	private static long allowed(double rate) {
		return (long) (1.5 * rate * WINDOW_MILLIS / 1_000 + 5);
	}

	private static long mostInWindow(List<Long> sent) {
		return sent.stream()
			.mapToLong((first) -> sent.stream().filter((time) -> time >= first && time < first + WINDOW_MILLIS).count())
			.max()
			.orElse(0);
	}

	private static PeerMessage.RateSlotRequest request(double rate, boolean interactive, long maxWaitMillis) {
		return new PeerMessage.RateSlotRequest("a", 1, rate, interactive, maxWaitMillis);
	}

}
