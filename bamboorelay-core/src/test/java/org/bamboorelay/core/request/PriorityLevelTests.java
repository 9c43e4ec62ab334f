package org.bamboorelay.core.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.IntStream;

import io.vavr.control.Either;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the priority levels of {@link AdmissionQueue}: levels must be served in order,
 * a flood at a high level must not starve a low one, and expected waits must take the
 * levels into account.
 */
class PriorityLevelTests {

	private static final Predicate<AdmissionQueue.Request> ANY = (request) -> true;

	@Test
	void higherLevelIsServedFirstWithinAClassAndInteractiveBeforeRollout() {
		AdmissionQueue queue = queue(100, 60_000, Map.of("low", 0, "high", 9), Map.of("low", 0, "high", 9));
		for (String workspace : List.of("low", "middle", "high")) {
			queue.offer(request(workspace, false, 10), 0);
			queue.offer(request(workspace, true, 10), 0);
		}
		List<String> order = new ArrayList<>();
		for (AdmissionQueue.Ticket next = queue.poll(ANY, 0); next != null; next = queue.poll(ANY, 0)) {
			order.add((next.request().interactive() ? "i-" : "r-") + next.request().workspace());
		}
		assertThat(order).startsWith("i-high").endsWith("r-low");
		assertThat(order.subList(0, 3)).allMatch((name) -> name.startsWith("i-"));
		assertThat(order.get(3)).isEqualTo("r-high");
	}

	@Property(tries = 40)
	void lowLevelsGetTheirGuaranteedShareAndNoMoreWhenAHighLevelFloodsTheQueue(@ForAll long seed,
			@ForAll @IntRange(min = 1, max = 4) int waiting) {
		Flood levelled = new Flood(seed, waiting, Map.of("high", 9, "low", 1, "middle", 3));
		assertThat(levelled.share("low") + levelled.share("middle")).as("both low levels").isBetween(0.09, 0.125);
		assertThat(levelled.share("low")).as("one of two levels of equal weight").isBetween(0.04, 0.07);
		assertThat(new Flood(seed, waiting, Map.of()).share("low")).as("without levels").isGreaterThan(0.25);
	}

	@Test
	void levelWithoutServableRequestsAccruesNoShare() {
		AdmissionQueue queue = queue(100, 60_000, Map.of("high", 9), Map.of());
		IntStream.range(0, 90).forEach((i) -> queue.offer(request("high", true, 10), 0));
		IntStream.range(0, 10).forEach((i) -> queue.offer(request("low", true, 10), 0));
		for (int i = 0; i < 60; i++) {
			queue.poll((request) -> request.workspace().equals("high"), 0);
		}
		List<String> next = IntStream.range(0, 11).mapToObj((i) -> queue.poll(ANY, 0).request().workspace()).toList();
		assertThat(next.stream().filter("low"::equals)).hasSize(2);
	}

	@Property(tries = 40)
	void requeuedRequestDoesNotReduceTheShareOfItsLevel(@ForAll long seed) {
		Random random = new Random(seed);
		AdmissionQueue queue = queue(100, 60_000, Map.of("high", 9), Map.of());
		int low = 0;
		for (int i = 0; i < 1_000; i++) {
			queue.offer(request("high", true, 10), i);
			queue.offer(request("low", true, 10), i);
			AdmissionQueue.Ticket ticket = queue.poll(ANY, i);
			for (int k = random.nextInt(4); k > 0; k--) {
				queue.requeue(ticket);
				AdmissionQueue.Ticket again = queue.poll(ANY, i);
				assertThat(again).isSameAs(ticket);
			}
			low += ticket.request().workspace().equals("low") ? 1 : 0;
		}
		assertThat(low).isBetween(95, 105);
	}

	@Property
	void requestIsRefusedImmediatelyWhenItsLevelCannotServeItInTime(@ForAll boolean flood) {
		AdmissionQueue queue = queue(1_000, 2_000, Map.of("high", 9), Map.of());
		int high = 0;
		int accepted = 0;
		int timedOutLow = 0;
		AdmissionQueue.Overload overload = null;
		// The service drains 10 requests/s. The high level keeps 15 requests waiting if
		// it floods the queue, otherwise two.
		for (int now = 50; now < 40_000; now += 50) {
			while (high < (flood ? 15 : 2) && queue.offer(request("high", true, 10), now).isRight()) {
				high++;
			}
			if (now % 200 == 0) {
				Either<AdmissionQueue.Overload, AdmissionQueue.Admission> low = queue.offer(request("low", true, 10),
						now);
				accepted += low.isRight() ? 1 : 0;
				overload = low.isLeft() ? low.getLeft() : overload;
			}
			if (now % 100 == 0) {
				high -= queue.poll(ANY, now).request().workspace().equals("high") ? 1 : 0;
			}
			int until = now;
			List<AdmissionQueue.Ticket> timedOut = queue.removeIf((ticket) -> ticket.deadlineMillis() <= until);
			long lowTimedOut = timedOut.stream().filter((ticket) -> ticket.request().workspace().equals("low")).count();
			timedOutLow += (int) lowTimedOut;
			high -= timedOut.size() - (int) lowTimedOut;
		}
		assertThat(accepted).as("accepted of 199 at the low level, of which 40 can be served").isBetween(35, 60);
		assertThat(timedOutLow).as("accepted but not served within the maximum wait").isLessThanOrEqualTo(15);
		assertThat(overload.retryAfterMillis()).isBetween(1_000L, 4_000L);
	}

	@Test
	void fullQueueReservesPlacesForALowLevelAndEvictsForAHighOne() {
		AdmissionQueue queue = queue(50, 60_000, Map.of("high", 9), Map.of());
		IntStream.range(0, 50).forEach((i) -> queue.offer(request("low", true, 10), 0));
		for (int i = 0; i < 45; i++) {
			AdmissionQueue.Admission admission = queue.offer(request("high", true, 10), 0).get();
			assertThat(admission.evicted().request().workspace()).isEqualTo("low");
		}
		assertThat(queue.offer(request("high", true, 10), 0).isLeft())
			.as("the last 5 places are reserved for the low level")
			.isTrue();
		assertThat(queue.offer(request("low", true, 10), 0).isLeft()).isTrue();
		queue.removeIf((ticket) -> ticket.request().workspace().equals("low"));
		IntStream.range(0, 10).forEach((i) -> queue.offer(request("high", true, 10), 0));
		assertThat(queue.offer(request("low", true, 10), 0).get().evicted().request().workspace()).isEqualTo("high");
	}

	@Test
	void waitingRequestsMoveWhenTheLevelsChange() {
		AdmissionQueue queue = queue(100, 60_000, Map.of("one", 9), Map.of());
		for (String workspace : List.of("one", "two", "one", "two")) {
			queue.offer(request(workspace, true, 10), 0);
		}
		AdmissionQueue.Ticket taken = queue.poll(ANY, 0);
		queue.levels(new AdmissionQueue.Levels(Map.of("two", 9), Map.of()));
		queue.requeue(taken);
		assertThat(queue.poll(ANY, 0).request().workspace()).isEqualTo("two");
		queue.levels(AdmissionQueue.Levels.NONE);
		assertThat(queue.size()).isEqualTo(3);
		assertThat(IntStream.range(0, 3).mapToObj((i) -> queue.poll(ANY, 0))).contains(taken).doesNotContainNull();
	}

	private static AdmissionQueue queue(int places, long maxWait, Map<String, Integer> interactive,
			Map<String, Integer> rollout) {
		AdmissionQueue queue = AdmissionQueue.of(new AdmissionQueue.Limits(places, maxWait, maxWait));
		queue.levels(new AdmissionQueue.Levels(interactive, rollout));
		return queue;
	}

	private static AdmissionQueue.Request request(String workspace, boolean interactive, long tokens) {
		return new AdmissionQueue.Request(workspace, 1, interactive, tokens, workspace);
	}

	/**
	 * A load in which one workspace keeps the queue full and two others keep a few
	 * requests waiting.
	 */
	private static final class Flood {

		private final Map<String, Long> tokens = new TreeMap<>();

		private Flood(long seed, int waiting, Map<String, Integer> levels) {
			Random random = new Random(seed);
			AdmissionQueue queue = queue(200, 60_000, levels, Map.of());
			List<AdmissionQueue.Ticket> running = new ArrayList<>();
			Map<String, Integer> waitingByWorkspace = new TreeMap<>(Map.of("low", 0, "middle", 0));
			for (int now = 0; now < 30_000; now += 10) {
				queue.offer(request("high", true, 10 + random.nextInt(90)), now);
				queue.offer(request("high", true, 10 + random.nextInt(90)), now);
				for (String name : waitingByWorkspace.keySet()) {
					while (waitingByWorkspace.get(name) < waiting
							&& queue.offer(request(name, true, 10 + random.nextInt(90)), now).isRight()) {
						waitingByWorkspace.merge(name, 1, Integer::sum);
					}
				}
				AdmissionQueue.Ticket ticket = queue.poll(ANY, now);
				waitingByWorkspace.computeIfPresent(ticket.request().workspace(), (name, count) -> count - 1);
				running.add(ticket);
				if (running.size() > 8) {
					AdmissionQueue.Ticket done = running.remove(0);
					// Responses at the high level are much shorter than expected.
					int percent = done.request().workspace().equals("high") ? 10 + random.nextInt(40)
							: 50 + random.nextInt(100);
					long served = Math.max(1, done.request().expectedTokens() * percent / 100);
					queue.correctCost(done, served);
					this.tokens.merge(done.request().workspace(), served, Long::sum);
				}
			}
		}

		private double share(String workspace) {
			return this.tokens.get(workspace) / (double) this.tokens.values().stream().mapToLong(Long::valueOf).sum();
		}

	}

}
