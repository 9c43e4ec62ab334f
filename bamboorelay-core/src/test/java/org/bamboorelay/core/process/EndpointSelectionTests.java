package org.bamboorelay.core.process;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.bamboorelay.core.version.EndpointId;
import org.bamboorelay.core.version.HostId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against uneven load, against lost prefix affinity, and against ejecting so many
 * endpoints that the rest cannot serve.
 */
class EndpointSelectionTests {

	@Test
	void loadIsMoreEvenThanWithRoundRobin() {
		assertThat(worstQueue(true)).as("longest backlog, in ms").isLessThan(worstQueue(false) / 2);
	}

	@Test
	void prefixStaysAtItsEndpointWhileItsLoadIsBounded() {
		EndpointSelection selection = selection(10);
		EndpointId home = selection.choose(query(77, Set.of()));
		selection.sent(home, 77, 100, 1);
		assertThat(selection.choose(query(77, Set.of()))).isEqualTo(home);
		selection.sent(home, 77, 1_000, 2);
		assertThat(selection.choose(query(77, Set.of()))).as("overloaded").isNotEqualTo(home);
	}

	@Test
	void cacheEventsCorrectThePrefixMapUnlessTheyAreLate() {
		EndpointSelection selection = selection(1_000);
		EndpointId home = EndpointId.of("e3");
		selection.sent(home, 77, 1, 10);
		selection.ended(home, 1, 5);
		selection.cacheEvent(home, 77, false, 9);
		assertThat(selection.choose(query(77, Set.of()))).as("late eviction").isEqualTo(home);
		selection.cacheEvent(EndpointId.of("e4"), 77, true, 11);
		assertThat(selection.choose(query(77, Set.of()))).as("stored elsewhere").isEqualTo(EndpointId.of("e4"));
		selection.cacheGap(EndpointId.of("e4"), 12);
		Set<EndpointId> chosen = new HashSet<>();
		for (int i = 0; i < 10; i++) {
			chosen.add(selection.choose(query(77, Set.of())));
		}
		assertThat(chosen).as("unknown after a gap").hasSizeGreaterThan(1);
	}

	@Property(tries = 300)
	void excludedAndClosedEndpointsAreNeverPicked(@ForAll long seed, @ForAll @IntRange(min = 1, max = 12) int size) {
		Random random = new Random(seed);
		EndpointSelection selection = selection(size);
		Set<EndpointId> excluded = new HashSet<>();
		Set<EndpointId> open = new HashSet<>();
		for (int i = 0; i < size; i++) {
			EndpointId endpoint = EndpointId.of("e" + i);
			if (random.nextInt(3) == 0) {
				excluded.add(endpoint);
			}
			if (random.nextInt(3) == 0) {
				selection.room(endpoint, false, false);
			}
			else if (!excluded.contains(endpoint)) {
				open.add(endpoint);
			}
		}
		for (int i = 0; i < 20; i++) {
			EndpointId chosen = selection.choose(query(random.nextInt(4), excluded));
			assertThat(chosen != null).isEqualTo(!open.isEmpty());
			if (chosen != null) {
				assertThat(open).contains(chosen);
				selection.sent(chosen, random.nextInt(4), 10, i);
			}
		}
	}

	@Property(tries = 300)
	void atMostAThirdIsEjected(@ForAll long seed, @ForAll @IntRange(min = 1, max = 30) int size) {
		Random random = new Random(seed);
		OutlierEjection ejection = OutlierEjection.create();
		long now = 0;
		int most = 0;
		for (int i = 0; i < 600; i++) {
			now += random.nextInt(20);
			ejection.failed(EndpointId.of("e" + random.nextInt(size)), size, now);
			most = Math.max(most, ejection.ejected(now).size());
		}
		assertThat(most).isLessThanOrEqualTo(size / 3);
		assertThat(most > 0).isEqualTo(size >= 3);
	}

	@Test
	void ejectionTakesFiveFailuresInARowAndDoubles() {
		OutlierEjection ejection = OutlierEjection.create();
		EndpointId endpoint = EndpointId.of("e1");
		for (int i = 0; i < 4; i++) {
			ejection.failed(endpoint, 6, 0);
		}
		ejection.answered(endpoint);
		assertThat(ejection.failed(endpoint, 6, 0)).isFalse();
		for (int i = 0; i < 4; i++) {
			ejection.failed(endpoint, 6, 0);
		}
		assertThat(ejection.ejected(999)).containsExactly(endpoint);
		assertThat(ejection.ejected(1_000)).isEmpty();
		for (int i = 0; i < 5; i++) {
			ejection.failed(endpoint, 6, 1_000);
		}
		assertThat(ejection.ejected(2_999)).containsExactly(endpoint);
	}

	@Test
	void hostThatLeavesMovesOnlyItsOwnKeys() {
		List<HostId> hosts = new ArrayList<>(List.of(HostId.of("a1"), HostId.of("a2"), HostId.of("a3")));
		List<HostId> fewer = hosts.subList(0, 2);
		int moved = 0;
		for (int i = 0; i < 3_000; i++) {
			HostId owner = RendezvousHash.owner("e" + i, hosts);
			assertThat(RendezvousHash.ranked("e" + i, hosts)).startsWith(owner);
			if (fewer.contains(owner)) {
				assertThat(RendezvousHash.owner("e" + i, fewer)).isEqualTo(owner);
			}
			else {
				moved++;
			}
		}
		assertThat(moved).isBetween(900, 1_100);
	}

	@Test
	void ownEndpointsComeFirstAndNearOwnersBeforeFarOnes() {
		OwnerSelection selection = OwnerSelection.of(new Random(1));
		OwnerSelection.Owner far = new OwnerSelection.Owner(HostId.of("b1"), false, false, 9);
		OwnerSelection.Owner near = new OwnerSelection.Owner(HostId.of("a2"), false, true, 1);
		OwnerSelection.Owner self = new OwnerSelection.Owner(HostId.of("a1"), true, true, 1);
		assertThat(selection.choose(List.of(far, near, self), 7)).isEqualTo(self.host());
		assertThat(selection.choose(List.of(far, near), 7)).isEqualTo(near.host());
		assertThat(selection.choose(List.of(far), 7)).isEqualTo(far.host());
		assertThat(selection.choose(List.of(new OwnerSelection.Owner(HostId.of("b1"), false, false, 0)), 7)).isNull();
	}

	/*
	 * Serves requests of very different cost at 12 endpoints, a third of them at half
	 * speed. Latencies reach the selection only with the answer, so what it knows of an
	 * endpoint lags by its whole backlog.
	 */
	private static long worstQueue(boolean affinity) {
		Random random = new Random(42);
		EndpointSelection selection = selection(12);
		selection.affinity(affinity);
		long[] busyUntil = new long[12];
		PriorityQueue<long[]> answers = new PriorityQueue<>((one, two) -> Long.compare(one[0], two[0]));
		long worst = 0;
		for (long now = 0; now < 60_000; now += 10) {
			while (!answers.isEmpty() && answers.peek()[0] <= now) {
				long[] answer = answers.poll();
				selection.ended(EndpointId.of("e" + answer[1]), answer[2], answer[0] - answer[3]);
			}
			long tokens = 10 + (long) Math.min(400, 70 * -Math.log(1 - random.nextDouble()));
			EndpointId chosen = selection.choose(new EndpointSelection.Query(true, true, 0, tokens, Set.of()));
			selection.sent(chosen, 0, tokens, now);
			int index = Integer.parseInt(chosen.value().substring(1));
			busyUntil[index] = Math.max(now, busyUntil[index]) + tokens * ((index % 3 == 0) ? 2 : 1);
			worst = Math.max(worst, busyUntil[index] - now);
			answers.add(new long[] { busyUntil[index], index, tokens, now });
		}
		return worst;
	}

	private static EndpointSelection selection(int size) {
		EndpointSelection selection = EndpointSelection.of(new Random(3));
		for (int i = 0; i < size; i++) {
			selection.add(EndpointId.of("e" + i), false);
			selection.room(EndpointId.of("e" + i), true, true);
		}
		return selection;
	}

	private static EndpointSelection.Query query(long prefix, Set<EndpointId> excluded) {
		return new EndpointSelection.Query(true, true, prefix, 100, excluded);
	}

}
