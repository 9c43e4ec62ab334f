package org.bamboorelay.core.request;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.IntUnaryOperator;

import io.vavr.control.Either;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link SlotQueue}. The loads are played with a simulated clock and compared
 * with the earlier rule, under which all requests poll for a slot for a quarter of their
 * remaining time.
 */
class SlotQueueTests {

	private static final long DEADLINE_MILLIS = 1_500;

	private static final SlotQueue.Supply BUSY = new SlotQueue.Supply(0, false);

	/** Guards against an order that ignores the configured priorities. */
	@Test
	void priorityThenCallersThenDeadline() {
		SlotQueue<String> queue = SlotQueue.create(new Random(1));
		offer(queue, "late", new SlotQueue.Request("w", 1, true, false, 900, 900));
		offer(queue, "early", new SlotQueue.Request("w", 1, true, false, 800, 800));
		offer(queue, "score", new SlotQueue.Request("w", 1, false, true, 100, 100));
		offer(queue, "urgent", new SlotQueue.Request("w", 0, true, false, 950, 950));
		List<String> order = new ArrayList<>();
		for (SlotQueue.Ticket<String> next = queue.poll((ticket) -> true, 0); next != null; next = queue
			.poll((ticket) -> true, 0)) {
			order.add(next.attachment());
		}
		assertThat(order).containsExactly("urgent", "early", "late", "score");
	}

	/** Guards against callers that starve the score calls of accepted items. */
	@Test
	void lowerRankKeepsTenth() {
		SlotQueue<String> queue = SlotQueue.create(new Random(1));
		Map<String, Integer> served = new HashMap<>();
		for (int i = 0; i < 300; i++) {
			offer(queue, "caller", new SlotQueue.Request("w", 0, true, false, 100_000, 100_000));
			offer(queue, "score", new SlotQueue.Request("", 0, false, true, 100_000, 100_000));
			served.merge(queue.poll((ticket) -> true, i).attachment(), 1, Integer::sum);
		}
		assertThat(served.get("score")).isBetween(25, 30);
	}

	/** Guards against a refusal while the service has a free slot. */
	@Test
	void freeSlotIsNeverRefused() {
		SlotQueue<String> queue = SlotQueue.create(new Random(1));
		queue.onServed(10_000);
		SlotQueue.Request request = new SlotQueue.Request("w", 0, true, false, 100, 25);
		assertThat(queue.offer(request, "a", new SlotQueue.Supply(1, false), 0).isLeft()).isTrue();
		assertThat(queue.offer(request, "a", new SlotQueue.Supply(1, true), 0).isRight()).isTrue();
	}

	/** Guards against a retry delay that has nothing to do with the true wait. */
	@Test
	void retryAfterIsExpectedWait() {
		SlotQueue<Integer> queue = SlotQueue.create(new Random(1));
		queue.onServed(100);
		Either<SlotQueue.Refused, SlotQueue.Ticket<Integer>> last = null;
		int admitted = 0;
		do {
			last = queue.offer(new SlotQueue.Request("w", 0, true, false, 1_000, 250), admitted++,
					new SlotQueue.Supply(2, false), 0);
		}
		while (last.isRight());
		assertThat(admitted - 1).as("those that begin within half of 750 ms at 20 per second").isEqualTo(7);
		assertThat(last.getLeft().retryAfterMillis()).isBetween(400L, 500L);
	}

	/**
	 * Guards against a burst, against engines of which half are lost, and against
	 * endpoints that turn slow: the callers must not get fewer responses in time than
	 * under the earlier rule, and those that get none must learn it sooner.
	 */
	@Test
	void comparesWithEarlierRule() {
		Load burst = new Load("burst", 8, (second) -> (second == 2) ? 160 : 40, (millis) -> 150);
		Load halved = new Load("halved", 8, (second) -> 40, (millis) -> (millis < 3_000) ? 150 : 300);
		Load overload = new Load("overload", 8, (second) -> 80, (millis) -> 150);
		for (Load load : List.of(burst, halved, overload)) {
			Result today = simulate(load, false, "");
			Result queued = simulate(load, true, "");
			assertThat(queued.inTime).as("%s: today %s, now %s", load.name(), today, queued)
				.isGreaterThanOrEqualTo(today.inTime);
			assertThat(queued.meanRefusalMillis()).as("%s: today %s, now %s", load.name(), today, queued)
				.isLessThanOrEqualTo(today.meanRefusalMillis());
		}
	}

	/** Guards against one workspace that takes the slots of all others. */
	@Test
	void greedyWorkspaceIsHeldToShare() {
		Load load = new Load("greedy", 8, (second) -> 90, (millis) -> 150);
		Result today = simulate(load, false, "greedy");
		Result queued = simulate(load, true, "greedy");
		assertThat(queued.othersShare()).as("today %s, now %s", today, queued).isGreaterThan(0.99);
		assertThat(queued.othersShare()).as("today %s, now %s", today, queued).isGreaterThan(today.othersShare());
		assertThat(queued.held).contains("greedy");
	}

	/**
	 * Guards against requests that wait past their deadline, get two outcomes or none,
	 * and against a workspace that gets less than its share while it has requests.
	 */
	@Property(tries = 100)
	void eachWaiterIsResolvedOnceAndInTime(@ForAll long seed, @ForAll @IntRange(min = 1, max = 6) int slots,
			@ForAll @IntRange(min = 1, max = 5) int workspaces) {
		Random random = new Random(seed);
		SlotQueue<int[]> queue = SlotQueue.create(random);
		List<SlotQueue.Ticket<int[]>> admitted = new ArrayList<>();
		Map<Integer, Integer> served = new HashMap<>();
		for (long now = 0; now < 3_000; now += 10) {
			for (int workspace = 0; workspace < workspaces; workspace++) {
				int[] outcomes = { 0, workspace };
				queue
					.offer(new SlotQueue.Request("w" + workspace, 0, true, false, now + 200 + random.nextInt(1_000),
							now + 50), outcomes, new SlotQueue.Supply(slots, false), now)
					.forEach(admitted::add);
			}
			for (int i = random.nextInt(slots + 1); i > 0; i--) {
				SlotQueue.Ticket<int[]> ticket = queue.poll((candidate) -> random.nextInt(10) > 0, now);
				if (ticket != null) {
					assertThat(now).isLessThanOrEqualTo(ticket.latestBeginMillis());
					ticket.attachment()[0]++;
					served.merge(ticket.attachment()[1], 1, Integer::sum);
					queue.onServed(10 + random.nextInt(100));
				}
			}
			long time = now + 10;
			admitted.stream().filter((ticket) -> ticket.latestBeginMillis() < time).forEach((ticket) -> {
				if (queue.refuse(ticket, new SlotQueue.Supply(slots, false), time) != null) {
					ticket.attachment()[0]++;
				}
			});
		}
		admitted.forEach((ticket) -> {
			if (queue.remove(ticket)) {
				ticket.attachment()[0]++;
			}
			assertThat(ticket.attachment()[0]).isEqualTo(1);
		});
		assertThat(queue.size()).isZero();
	}

	/**
	 * Guards against unfairness among workspaces that always have requests waiting: none
	 * may be ahead of another one by more than one request, whatever their numbers are.
	 */
	@Property(tries = 100)
	void backloggedWorkspacesDifferByOne(@ForAll long seed, @ForAll @IntRange(min = 2, max = 8) int workspaces) {
		Random random = new Random(seed);
		SlotQueue<Integer> queue = SlotQueue.create(random);
		int[] served = new int[workspaces];
		for (int workspace = 0; workspace < workspaces; workspace++) {
			for (int i = 0; i < 60 * (1 + random.nextInt(4)); i++) {
				offer(queue, workspace,
						new SlotQueue.Request("w" + workspace, 0, true, false, random.nextInt(5_000), 0));
			}
		}
		for (int i = 0; i < 50 * workspaces; i++) {
			served[queue.poll((ticket) -> true, 0).attachment()]++;
			assertThat(Arrays.stream(served).max().getAsInt() - Arrays.stream(served).min().getAsInt())
				.isLessThanOrEqualTo(1);
		}
	}

	private static <T> void offer(SlotQueue<T> queue, T attachment, SlotQueue.Request request) {
		assertThat(queue.offer(request, attachment, BUSY, 0).isRight()).isTrue();
	}

	// Plays eight seconds of load in steps of a millisecond. The earlier rule gives a
	// free slot to a random one of the requests that poll for it.
	private static Result simulate(Load load, boolean useQueue, String greedy) {
		Random random = new Random(7);
		SlotQueue<Call> queue = SlotQueue.create(new Random(3));
		List<Call> polling = new ArrayList<>();
		List<SlotQueue.Ticket<Call>> tickets = new ArrayList<>();
		PriorityQueue<long[]> running = new PriorityQueue<>(Comparator.comparingLong((long[] run) -> run[0]));
		Result result = new Result();
		double due = 0;
		for (long now = 0; now < 8_000; now++) {
			while (!running.isEmpty() && running.peek()[0] <= now) {
				queue.onServed(now - running.poll()[1]);
			}
			due += load.ratePerSecond().applyAsInt((int) (now / 1_000)) / 1_000.0;
			for (; due >= 1; due--) {
				boolean isGreedy = !greedy.isEmpty() && random.nextInt(3) > 0;
				Call call = new Call(isGreedy ? greedy : "w" + random.nextInt(10), now);
				result.offered(isGreedy);
				if (!useQueue) {
					polling.add(call);
					continue;
				}
				queue
					.offer(new SlotQueue.Request(call.workspace(), 0, true, false, now + DEADLINE_MILLIS,
							now + DEADLINE_MILLIS / 4), call,
							new SlotQueue.Supply(running.size(), running.size() < load.slots()), now)
					.peek(tickets::add)
					.peekLeft((refused) -> result.refused(0));
			}
			while (running.size() < load.slots()) {
				Call next = null;
				if (useQueue) {
					SlotQueue.Ticket<Call> ticket = queue.poll((candidate) -> true, now);
					next = (ticket != null) ? ticket.attachment() : null;
				}
				else if (!polling.isEmpty()) {
					next = polling.remove(random.nextInt(polling.size()));
				}
				if (next == null) {
					break;
				}
				long end = now + load.workMillis().applyAsInt((int) now) * (80 + random.nextInt(40)) / 100;
				running.add(new long[] { end, now });
				result.served(next, end, !greedy.isEmpty() && next.workspace().equals(greedy));
			}
			long time = now;
			polling.removeIf(
					(call) -> time - call.atMillis() >= DEADLINE_MILLIS / 4 && result.refused(time - call.atMillis()));
			tickets.removeIf((ticket) -> time >= ticket.latestBeginMillis()
					&& (queue.refuse(ticket, BUSY, time) == null || result.refused(time - ticket.offeredMillis())));
			result.held.addAll(queue.heldWorkspaces(now));
		}
		return result;
	}

	private record Load(String name, int slots, IntUnaryOperator ratePerSecond, IntUnaryOperator workMillis) {
	}

	private record Call(String workspace, long atMillis) {
	}

	private static final class Result {

		private final Set<String> held = new TreeSet<>();

		private int inTime;

		private int offeredByOthers;

		private int othersInTime;

		private int refused;

		private long refusalMillis;

		private void offered(boolean greedy) {
			this.offeredByOthers += greedy ? 0 : 1;
		}

		private void served(Call call, long endMillis, boolean greedy) {
			if (endMillis - call.atMillis() <= DEADLINE_MILLIS) {
				this.inTime++;
				this.othersInTime += greedy ? 0 : 1;
			}
		}

		private boolean refused(long afterMillis) {
			this.refused++;
			this.refusalMillis += afterMillis;
			return true;
		}

		private double meanRefusalMillis() {
			return (this.refused > 0) ? (double) this.refusalMillis / this.refused : 0;
		}

		private double othersShare() {
			return (double) this.othersInTime / this.offeredByOthers;
		}

		@Override
		public String toString() {
			return "in time " + this.inTime + ", refused " + this.refused + " after " + meanRefusalMillis()
					+ " ms, share of others " + othersShare();
		}

	}

}
