package org.bamboorelay.core.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.bamboorelay.core.connection.PeerMessage.TrainerLoad;
import org.bamboorelay.core.time.ManualClock;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link EngineShares}.
 */
class EngineSharesTests {

	private static final int SLOTS = 32;

	private final ManualClock clock = ManualClock.of(1_000);

	private final EngineShares shares = EngineShares.create(this.clock);

	/** Guards against a limit while there are slots for all items. */
	@Test
	void nothingIsLimitedWithoutContention() {
		this.shares.own(List.of(load("a", 20, 0, 0)));
		this.shares.peer("host-b", List.of(load("b", 12, 0, 0)));
		assertThat(startable("a")).isEqualTo(Integer.MAX_VALUE);
	}

	/** Guards against a trainer that is behind and starves beside one that is on time. */
	@Test
	void trainerThatIsBehindKeepsEqualShare() {
		this.shares.own(List.of(load("behind", 100, 4, -1), load("on-time", 100, 12, 3_000)));
		this.shares.peer("host-b", List.of());
		assertThat(startable("behind")).isEqualTo(12);
		assertThat(startable("on-time")).isEqualTo(4);
		assertThat(this.shares.heldTrainers()).hasSize(2);
	}

	/**
	 * Guards against slots that stay free because a trainer needs less than its share.
	 */
	@Test
	void unusedShareIsLentToItemsThatCanBeInTime() {
		this.shares.own(List.of(load("behind", 100, 0, -1), load("on-time", 100, 0, 3_000)));
		this.shares.peer("host-b", List.of(load("small", 0, 2, 0)));
		assertThat(startable("on-time")).isEqualTo(20);
		assertThat(startable("behind")).isEqualTo(11);
	}

	/** Guards against the share of a silent host, which nobody uses. */
	@Test
	void silentHostDropsOutAndLateFiguresCountAgain() {
		this.shares.own(List.of(load("a", 100, 0, 0)));
		this.shares.peer("host-b", List.of(load("b", 100, 16, 0)));
		this.shares.peer("host-c", List.of());
		assertThat(startable("a")).isEqualTo(16);
		this.clock.advance(1_200);
		this.shares.peer("host-c", List.of());
		assertThat(startable("a")).isEqualTo(SLOTS);
		this.shares.peer("host-b", List.of(load("b", 100, 16, 0)));
		assertThat(startable("a")).isEqualTo(16);
	}

	/** Guards against a host that takes all slots while it hears no other host. */
	@Test
	void hostThatHearsNobodyKeepsLastShareAndRestartedOneTakesEqualShare() {
		this.shares.own(List.of(load("a", 100, 0, 0)));
		assertThat(this.shares.startable("engines", SLOTS, 4)).as("restarted").containsValue(8);
		this.shares.peer("host-b", List.of(load("b", 100, 16, 0)));
		assertThat(startable("a")).isEqualTo(16);
		this.clock.advance(5_000);
		assertThat(startable("a")).as("last share").isEqualTo(16);
	}

	/** Guards against slots that stay free while items wait. */
	@Test
	void slotThatStaysFreeIsLent() {
		for (int pass = 0; pass < 3; pass++) {
			assertThat(this.shares.mayBorrow("engines", true)).isFalse();
			this.clock.advance(20);
		}
		assertThat(this.shares.mayBorrow("engines", true)).isTrue();
		assertThat(this.shares.mayBorrow("engines", true)).as("one in each pass").isFalse();
		this.clock.advance(20);
		assertThat(this.shares.mayBorrow("engines", true)).isTrue();
		assertThat(this.shares.mayBorrow("engines", false)).isFalse();
		assertThat(this.shares.mayBorrow("engines", true)).isFalse();
	}

	/**
	 * Guards against hosts that together claim more than the slots (up to the rounding of
	 * their parts) or less than them, and against a trainer below its equal share.
	 */
	@Property(tries = 200)
	void hostsDivideSlots(@ForAll @Size(min = 2, max = 6) List<@IntRange(min = 0, max = 60) Integer> waiting,
			@ForAll @IntRange(min = 1, max = 3) int hosts) {
		Map<String, List<TrainerLoad>> loads = new HashMap<>();
		for (int i = 0; i < waiting.size(); i++) {
			loads.computeIfAbsent("host-" + i % hosts, (unused) -> new ArrayList<>())
				.add(load("t" + i, waiting.get(i), 0, (i % 2 == 0) ? 100 : -1));
		}
		int total = waiting.stream().mapToInt(Integer::intValue).sum();
		int trainers = (int) waiting.stream().filter((count) -> count > 0).count();
		Map<String, Integer> startable = new HashMap<>();
		loads.forEach((host, own) -> {
			EngineShares local = EngineShares.create(this.clock);
			local.own(own);
			loads.forEach((other, reported) -> {
				if (!other.equals(host)) {
					local.peer(other, reported);
				}
			});
			local.startable("engines", SLOTS, loads.size())
				.forEach((trainer, count) -> startable.put(trainer.workspace(), count));
		});
		int started = IntStream.range(0, waiting.size())
			.map((i) -> Math.min(waiting.get(i), startable.get("t" + i)))
			.sum();
		assertThat(started).isBetween(Math.min(SLOTS, total), Math.min(SLOTS + waiting.size(), total));
		for (int i = 0; i < waiting.size(); i++) {
			assertThat(startable.get("t" + i))
				.isGreaterThanOrEqualTo((trainers > 0) ? Math.min(waiting.get(i), SLOTS / trainers) : 0);
		}
	}

	/**
	 * Guards against a host whose backlog keeps the slots from the trainer of another
	 * host, also when half of the slots are lost, when a host restarts without figures,
	 * and when figures are late. Each case is compared with the earlier rule, under which
	 * each host fills all free slots.
	 */
	@Test
	void backlogOfOneHostDoesNotStarveAnother() {
		for (Fault fault : Fault.values()) {
			int today = finishedOfLatecomer(fault, false);
			int shared = finishedOfLatecomer(fault, true);
			assertThat(shared).as("%s: today %d of 48 in time, now %d", fault, today, shared)
				.isGreaterThan(today)
				.isGreaterThanOrEqualTo((fault == Fault.ENGINES_HALVE) ? 16 : 32);
		}
	}

	// Returns how many of the 48 items of a trainer that comes a second later finish
	// within 7.5 s. An item takes 2 s, and a pass of both hosts is made each 20 ms. The
	// host with the backlog comes first.
	private static int finishedOfLatecomer(Fault fault, boolean useShares) {
		ManualClock clock = ManualClock.of(1_000);
		List<EngineShares> hosts = new ArrayList<>(List.of(EngineShares.create(clock), EngineShares.create(clock)));
		int[] waiting = { 300, 0 };
		List<List<Integer>> ends = List.of(new ArrayList<>(), new ArrayList<>());
		int finished = 0;
		for (int now = 0; now <= 8_500; now += 20) {
			int time = now;
			int slots = (fault == Fault.ENGINES_HALVE && now >= 3_000) ? SLOTS / 2 : SLOTS;
			waiting[1] += (now == 1_000) ? 48 : 0;
			if (fault == Fault.RESTART && now == 3_000) {
				hosts.set(0, EngineShares.create(clock));
			}
			for (int host = 0; host < 2; host++) {
				int before = ends.get(host).size();
				ends.get(host).removeIf((end) -> end <= time);
				finished += (host == 1) ? before - ends.get(host).size() : 0;
			}
			for (int host = 0; host < 2; host++) {
				List<TrainerLoad> loads = List.of(load("t" + host, waiting[host], ends.get(host).size(), 1_000));
				hosts.get(host).own(loads);
				if (now % ((fault == Fault.LATE_FIGURES) ? 900 : 300) == 0) {
					hosts.get(1 - host).peer("host-" + host, loads);
				}
				int limit = useShares
						? hosts.get(host).startable("engines", slots, 2).get(new EngineShares.Trainer("t" + host, "m"))
						: Integer.MAX_VALUE;
				int free = slots - ends.get(0).size() - ends.get(1).size();
				int started = Math.max(0, Math.min(waiting[host], Math.min(free, limit)));
				if (started < waiting[host] && started < free && hosts.get(host).mayBorrow("engines", true)) {
					started++;
				}
				for (int i = 0; i < started; i++) {
					ends.get(host).add(now + 2_000);
				}
				waiting[host] -= started;
			}
			clock.advance(20);
		}
		return finished;
	}

	private enum Fault {

		NONE, ENGINES_HALVE, RESTART, LATE_FIGURES

	}

	private int startable(String workspace) {
		return this.shares.startable("engines", SLOTS, 3).get(new EngineShares.Trainer(workspace, "m"));
	}

	private static TrainerLoad load(String workspace, int waiting, int running, long dueInMillis) {
		return new TrainerLoad("engines", workspace, "m", waiting, running, dueInMillis);
	}

}
