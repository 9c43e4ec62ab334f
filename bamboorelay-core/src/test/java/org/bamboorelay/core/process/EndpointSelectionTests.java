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
 * endpoints that the others cannot serve the load.
 */
class EndpointSelectionTests {

	@Test
	void longestBacklogIsLessThanHalfOfThatWithRoundRobin() {
		assertThat(longestBacklogMillis(true)).as("longest backlog, in ms").isLessThan(longestBacklogMillis(false) / 2);
	}

	@Test
	void prefixKeepsItsEndpointUntilTheLoadExceedsTheBound() {
		EndpointSelection selection = selection(10);
		EndpointId holder = selection.choose(query(77, Set.of()));
		selection.onSent(holder, 77, 100, 1);
		assertThat(selection.choose(query(77, Set.of()))).isEqualTo(holder);
		selection.onSent(holder, 77, 1_000, 2);
		assertThat(selection.choose(query(77, Set.of()))).as("overloaded").isNotEqualTo(holder);
	}

	@Test
	void cacheEventsUpdateThePrefixMapUnlessTheyAreLate() {
		EndpointSelection selection = selection(1_000);
		EndpointId holder = EndpointId.of("e3");
		selection.onSent(holder, 77, 1, 10);
		selection.onEnded(holder, 1, 5);
		selection.onCacheEvent(holder, 77, false, 9);
		assertThat(selection.choose(query(77, Set.of()))).as("late eviction").isEqualTo(holder);
		selection.onCacheEvent(EndpointId.of("e4"), 77, true, 11);
		assertThat(selection.choose(query(77, Set.of()))).as("stored elsewhere").isEqualTo(EndpointId.of("e4"));
		selection.onCacheGap(EndpointId.of("e4"), 12);
		Set<EndpointId> chosen = new HashSet<>();
		for (int i = 0; i < 10; i++) {
			chosen.add(selection.choose(query(77, Set.of())));
		}
		assertThat(chosen).as("unknown after a gap").hasSizeGreaterThan(1);
	}

	@Property(tries = 300)
	void excludedAndUnavailableEndpointsAreNeverChosen(@ForAll long seed,
			@ForAll @IntRange(min = 1, max = 12) int size) {
		Random random = new Random(seed);
		EndpointSelection selection = selection(size);
		Set<EndpointId> excluded = new HashSet<>();
		Set<EndpointId> availableEndpoints = new HashSet<>();
		for (int i = 0; i < size; i++) {
			EndpointId endpoint = EndpointId.of("e" + i);
			if (random.nextInt(3) == 0) {
				excluded.add(endpoint);
			}
			if (random.nextInt(3) == 0) {
				selection.available(endpoint, false, false);
			}
			else if (!excluded.contains(endpoint)) {
				availableEndpoints.add(endpoint);
			}
		}
		for (int i = 0; i < 20; i++) {
			EndpointId chosen = selection.choose(query(random.nextInt(4), excluded));
			assertThat(chosen != null).isEqualTo(!availableEndpoints.isEmpty());
			if (chosen != null) {
				assertThat(availableEndpoints).contains(chosen);
				selection.onSent(chosen, random.nextInt(4), 10, i);
			}
		}
	}

	@Property(tries = 300)
	void atMostAThirdOfTheEndpointsIsEjected(@ForAll long seed, @ForAll @IntRange(min = 1, max = 30) int size) {
		Random random = new Random(seed);
		OutlierEjection ejection = OutlierEjection.create();
		long now = 0;
		int maxEjected = 0;
		for (int i = 0; i < 600; i++) {
			now += random.nextInt(20);
			ejection.onFailure(EndpointId.of("e" + random.nextInt(size)), size, now);
			maxEjected = Math.max(maxEjected, ejection.ejected(now).size());
		}
		assertThat(maxEjected).isLessThanOrEqualTo(size / 3);
		assertThat(maxEjected > 0).isEqualTo(size >= 3);
	}

	@Test
	void fiveConsecutiveFailuresEjectAndTheNextEjectionLastsTwiceAsLong() {
		OutlierEjection ejection = OutlierEjection.create();
		EndpointId endpoint = EndpointId.of("e1");
		for (int i = 0; i < 4; i++) {
			ejection.onFailure(endpoint, 6, 0);
		}
		ejection.onResponse(endpoint);
		assertThat(ejection.onFailure(endpoint, 6, 0)).isFalse();
		for (int i = 0; i < 4; i++) {
			ejection.onFailure(endpoint, 6, 0);
		}
		assertThat(ejection.ejected(999)).containsExactly(endpoint);
		assertThat(ejection.ejected(1_000)).isEmpty();
		for (int i = 0; i < 5; i++) {
			ejection.onFailure(endpoint, 6, 1_000);
		}
		assertThat(ejection.ejected(2_999)).containsExactly(endpoint);
	}

	@Test
	void onlyKeysOfALeavingHostMove() {
		List<HostId> hosts = new ArrayList<>(List.of(HostId.of("a1"), HostId.of("a2"), HostId.of("a3")));
		List<HostId> remainingHosts = hosts.subList(0, 2);
		int moved = 0;
		for (int i = 0; i < 3_000; i++) {
			HostId owner = RendezvousHash.owner("e" + i, hosts);
			assertThat(RendezvousHash.ranked("e" + i, hosts)).startsWith(owner);
			if (remainingHosts.contains(owner)) {
				assertThat(RendezvousHash.owner("e" + i, remainingHosts)).isEqualTo(owner);
			}
			else {
				moved++;
			}
		}
		assertThat(moved).isBetween(900, 1_100);
	}

	@Test
	void ownHostIsPreferredThenOwnersInTheSameDomain() {
		OwnerSelection selection = OwnerSelection.of(new Random(1));
		OwnerSelection.Owner inOtherDomain = new OwnerSelection.Owner(HostId.of("b1"), false, false, 9);
		OwnerSelection.Owner inSameDomain = new OwnerSelection.Owner(HostId.of("a2"), false, true, 1);
		OwnerSelection.Owner self = new OwnerSelection.Owner(HostId.of("a1"), true, true, 1);
		assertThat(selection.choose(List.of(inOtherDomain, inSameDomain, self), 7)).isEqualTo(self.host());
		assertThat(selection.choose(List.of(inOtherDomain, inSameDomain), 7)).isEqualTo(inSameDomain.host());
		assertThat(selection.choose(List.of(inOtherDomain), 7)).isEqualTo(inOtherDomain.host());
		assertThat(selection.choose(List.of(new OwnerSelection.Owner(HostId.of("b1"), false, false, 0)), 7)).isNull();
	}

	/*
	 * Serves requests of very different cost with 12 endpoints, a third of which run at
	 * half speed. The selection learns a latency only when the response arrives, so its
	 * knowledge of an endpoint lags by the endpoint's whole backlog.
	 */
	private static long longestBacklogMillis(boolean affinity) {
		Random random = new Random(42);
		EndpointSelection selection = selection(12);
		selection.affinity(affinity);
		long[] busyUntilMillis = new long[12];
		PriorityQueue<long[]> responses = new PriorityQueue<>((one, two) -> Long.compare(one[0], two[0]));
		long longestMillis = 0;
		for (long now = 0; now < 60_000; now += 10) {
			while (!responses.isEmpty() && responses.peek()[0] <= now) {
				long[] response = responses.poll();
				selection.onEnded(EndpointId.of("e" + response[1]), response[2], response[0] - response[3]);
			}
			long tokens = 10 + (long) Math.min(400, 70 * -Math.log(1 - random.nextDouble()));
			EndpointId chosen = selection.choose(new EndpointSelection.Query(true, true, 0, tokens, Set.of()));
			selection.onSent(chosen, 0, tokens, now);
			int index = Integer.parseInt(chosen.value().substring(1));
			busyUntilMillis[index] = Math.max(now, busyUntilMillis[index]) + tokens * ((index % 3 == 0) ? 2 : 1);
			longestMillis = Math.max(longestMillis, busyUntilMillis[index] - now);
			responses.add(new long[] { busyUntilMillis[index], index, tokens, now });
		}
		return longestMillis;
	}

	private static EndpointSelection selection(int size) {
		EndpointSelection selection = EndpointSelection.of(new Random(3));
		for (int i = 0; i < size; i++) {
			selection.add(EndpointId.of("e" + i), false);
			selection.available(EndpointId.of("e" + i), true, true);
		}
		return selection;
	}

	private static EndpointSelection.Query query(long prefix, Set<EndpointId> excluded) {
		return new EndpointSelection.Query(true, true, prefix, 100, excluded);
	}

}
