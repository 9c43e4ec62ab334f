package org.bamboorelay.core.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.core.request.RequestOrigin;
import org.bamboorelay.core.time.ManualClock;
import org.bamboorelay.core.version.ServiceRule;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link EndpointTable}.
 */
class EndpointTableTests {

	private final ManualClock clock = ManualClock.of(10_000);

	private final EndpointTable table = EndpointTable.create(this.clock);

	@BeforeEach
	void setUp() {
		this.table.services(List.of(new ServiceRule("s", "/health", 100, 10, List.of("m"), 1, 6)));
	}

	@Test
	void reclaimNoticeStopsNewRequestsAndIsNotExtendedByItsRepetition() {
		// A host that lists the directory reads the same notice again.
		this.table.put(spotEntry(EndpointEntry.NOT_RECLAIMED));
		assertThat(this.table.countsByDomain("s2")).containsEntry("a", new EndpointCounts(0, 1, 0, 1));
		assertThat(this.table.reclaimed()).isEmpty();
		this.table.put(spotEntry(2_500));
		this.clock.advance(1_000);
		this.table.put(spotEntry(2_500));
		assertThat(this.table.reclaimed().get("spot").noticeMillis()).isEqualTo(1_500);
		assertThat(this.table.countsByDomain("s2")).isEmpty();
		assertThat(this.table.acquire(new EndpointRequirements(RequestOrigin.ITEM, "s2", null, 0, 0, true, Set.of())))
			.isNull();
	}

	private static EndpointEntry spotEntry(long leavesMillis) {
		return new EndpointEntry("spot", "s2", "10.0.0.9:80", "a", 4, leavesMillis >= 0, 0, 1, Map.of(), true,
				leavesMillis);
	}

	@Test
	void leavingEndpointAndDisabledDomainGetNoRequest() {
		this.table.put(entry("a", "zone-a", true, 0, 1));
		this.table.put(entry("b", "zone-b", false, 0, 1));
		this.table.disabledDomains(Set.of("zone-b"));
		assertThat(this.table.acquire(requirements(0))).isNull();
		this.table.disabledDomains(Set.of());
		assertThat(this.table.acquire(requirements(0)).id()).isEqualTo("b");
	}

	@Test
	void hostsShareTheRequestRateOfAColdEndpoint() {
		// Ten hosts that each sent the whole rate made a cold endpoint crash.
		this.table.hostCount(10);
		this.table.put(entry("a", "zone-a", false, 5_000, 1));
		int granted = 0;
		for (int tick = 0; tick < 500; tick++) {
			EndpointTable.Grant grant = this.table.acquire(requirements(0));
			if (grant != null) {
				granted++;
				this.table.release(grant, EndpointTable.Outcome.SERVED);
			}
			this.clock.advance(10);
		}
		// A tenth of 10 requests per second in 5 s.
		assertThat(granted).isBetween(1, 5);
	}

	@Test
	void rateLimitedEndpointGetsOneRequestForASlotAtATimeAndNoneUntilTheNextSlot() {
		this.table.put(entry("a", "zone-a", false, 0, 1));
		EndpointTable.Grant first = this.table.acquire(requirements(0));
		assertThat(first.isRateLimited()).isFalse();
		assertThat(this.table.onRateNamed(first, 2)).isTrue();
		EndpointTable.Grant limited = this.table.acquire(requirements(0));
		assertThat(limited.requestsPerSecond()).isEqualTo(2);
		assertThat(this.table.acquire(requirements(0))).as("while a slot is requested").isNull();
		assertThat(this.table.onSlot(limited, requirements(0), new PeerMessage.RateSlot(false, 300))).isFalse();
		assertThat(this.table.acquire(requirements(0))).as("before the next slot").isNull();
		assertThat(this.table.slotDelayMillis(requirements(0))).isEqualTo(300);
		assertThat(this.table.acquireNextSlot(requirements(0), this.clock.millis() + 299)).isNull();
		assertThat(this.table.acquireNextSlot(requirements(0), this.clock.millis() + 300)).isNotNull();
	}

	@Test
	void refusalForWantOfSlotsIsNotKnownWhileAnotherEndpointTakesAnyRate() {
		this.table.put(entry("a", "zone-a", false, 0, 1));
		EndpointTable.Grant first = this.table.acquire(requirements(0));
		this.table.onRateNamed(first, 2);
		this.table.onSlot(this.table.acquire(requirements(0)), requirements(0), new PeerMessage.RateSlot(false, 300));
		this.table.put(entry("b", "zone-a", false, 0, 1));
		assertThat(this.table.slotDelayMillis(requirements(0))).isZero();
		assertThat(this.table.acquire(requirements(0)).id()).isEqualTo("b");
	}

	@Test
	void endpointIsSparedOnlyIfHalfOfTheOthersRemain() {
		this.table.put(entry("a", "zone-a", false, 0, 1));
		assertThat(this.table.canSpareEndpoint(requirements(0))).isFalse();
		this.table.put(entry("b", "zone-a", false, 0, 1));
		this.table.put(entry("c", "zone-a", false, 0, 1));
		assertThat(this.table.canSpareEndpoint(requirements(0))).isTrue();
		EndpointTable.Grant grant = this.table.acquire(requirements(0));
		this.table.release(grant, EndpointTable.Outcome.FAILED);
		assertThat(this.table.canSpareEndpoint(requirements(0))).isFalse();
	}

	@Test
	void endpointWithOlderWeightsThanRequiredIsNotChosen() {
		this.table.put(entry("a", "zone-a", false, 0, 3));
		assertThat(this.table.acquire(requirements(4))).isNull();
		this.table.version("a", "m", 4);
		assertThat(this.table.acquire(requirements(4))).isNotNull();
	}

	@Test
	void loadOfPeersOccupiesSlotsUntilItIsOutdated() {
		this.table.put(entry("a", "zone-a", false, 0, 1));
		this.table.peerLoad("other", Map.of("a", 4));
		assertThat(this.table.acquire(requirements(0))).isNull();
		this.clock.advance(5_000);
		assertThat(this.table.acquire(requirements(0))).as("outdated load of a peer").isNotNull();
	}

	@Test
	void backoffOfAFailingEndpointIncreasesWithEachFailure() {
		this.table.put(entry("a", "zone-a", false, 0, 1));
		List<Long> backoffsMillis = new ArrayList<>();
		for (int attempt = 0; attempt < 3; attempt++) {
			this.table.release(this.table.acquire(requirements(0)), EndpointTable.Outcome.FAILED);
			long start = this.clock.millis();
			EndpointTable.Grant next = null;
			while (next == null) {
				this.clock.advance(10);
				next = this.table.acquire(requirements(0));
			}
			this.table.release(next, EndpointTable.Outcome.ABANDONED);
			backoffsMillis.add(this.clock.millis() - start);
		}
		assertThat(backoffsMillis).isSorted().doesNotHaveDuplicates();
	}

	@Test
	void endpointBacksOffOnlyAfterThreeConsecutiveTimeouts() {
		// Some requests take longer than the time-out of their route. Each of them used
		// to block a healthy endpoint for all other requests.
		this.table.put(entry("a", "zone-a", false, 0, 1));
		for (int round = 0; round < 5; round++) {
			for (int timeout = 0; timeout < 2; timeout++) {
				this.table.release(this.table.acquire(requirements(0)), EndpointTable.Outcome.OUT_OF_TIME);
			}
			assertThat(this.table.availableCount(requirements(0))).isEqualTo(1);
			this.table.release(this.table.acquire(requirements(0)), EndpointTable.Outcome.SERVED);
		}
		for (int timeout = 0; timeout < 3; timeout++) {
			this.table.release(this.table.acquire(requirements(0)), EndpointTable.Outcome.OUT_OF_TIME);
		}
		assertThat(this.table.availableCount(requirements(0))).as("three consecutive time-outs").isZero();
	}

	@Test
	void endpointThatAnnouncedLeavingIsExcludedUntilItStartsAgain() {
		this.table.put(entry("a", "zone-a", false, 0, 1));
		this.table.leaving(Map.of("a", 1L));
		assertThat(this.table.eligibleCount(requirements(0))).isZero();
		this.table.remove("a");
		this.table.put(entry("a", "zone-a", false, 0, 1));
		assertThat(this.table.eligibleCount(requirements(0))).as("outdated directory entry").isZero();
		assertThat(this.table.leaving()).as("announced to another host").isEmpty();
		this.table.put(new EndpointEntry("a", "s", "10.0.0.1:80", "zone-a", 4, false, 0, 2, Map.of("m", 1L)));
		assertThat(this.table.eligibleCount(requirements(0))).isEqualTo(1);
		this.table.onLeavingAnnounced("a", 2, true);
		assertThat(this.table.leaving()).containsExactly(Map.entry("a", 2L));
		this.clock.advance(LeavingEndpoints.SHARING_MILLIS);
		assertThat(this.table.leaving()).isEmpty();
		assertThat(this.table.eligibleCount(requirements(0))).isZero();
	}

	@Test
	void endpointThatLoadsWeightsGetsNoRequest() {
		this.table.put(entry("a", "zone-a", false, 0, 1));
		this.table.loading(Set.of("a"));
		assertThat(this.table.acquire(requirements(0))).isNull();
	}

	@Test
	void endpointIsUsedAgainAsSoonAsItsLoadIsReportedToHaveEnded() {
		// Items of the next step waited for the store to report versions that the engines
		// had held for more than a second.
		this.table.put(entry("a", "zone-a", false, 0, 1));
		this.table.onWeightLoad("a", "m", 0, true);
		assertThat(this.table.acquire(requirements(1))).as("while it loads").isNull();
		this.table.onWeightLoad("a", "m", 2, false);
		assertThat(this.table.acquire(requirements(2))).isNotNull();
	}

	@Test
	void endpointOfASilentDomainGetsOneRequestUntilItHasResponded() {
		// After a submission had been taken over from a domain that was cut off, its
		// items
		// waited twice for a connection to the engines there.
		this.table.put(entry("a", "zone-a", false, 0, 1));
		this.table.silentDomains(Set.of("zone-a"));
		EndpointTable.Grant first = this.table.acquire(requirements(0));
		assertThat(first).isNotNull();
		assertThat(this.table.acquire(requirements(0))).as("before the first response").isNull();
		this.table.silentDomains(Set.of("zone-a"));
		this.table.unitTime("a", 40);
		assertThat(this.table.acquire(requirements(0))).as("after a response").isNotNull();
		this.table.silentDomains(Set.of());
		assertThat(this.table.acquire(requirements(0))).as("after the silence").isNotNull();
	}

	@Test
	void longRunMovesOnlyToAFasterEndpointWithAFreeSlot() {
		// The last long text of a step runs on an engine that became slow.
		this.table.put(entry("slow", "zone-a", false, 0, 1));
		this.table.put(entry("fast", "zone-a", false, 0, 1));
		this.table.unitTime("slow", 52);
		this.table.unitTime("fast", 40);
		assertThat(this.table.isWorthMoving("slow", requirements(0), 1.2)).isTrue();
		assertThat(this.table.isWorthMoving("slow", requirements(0), 1.7)).isFalse();
		assertThat(this.table.isWorthMoving("fast", requirements(0), 1.2)).isFalse();
		this.table.peerLoad("other", Map.of("fast", 4));
		assertThat(this.table.isWorthMoving("slow", requirements(0), 1.2)).as("no free slot").isFalse();
	}

	@Test
	void laterStartOfTheSameEndpointDiscardsItsVersions() {
		this.table.put(entry("a", "zone-a", false, 0, 7));
		this.table.put(new EndpointEntry("a", "s", "10.0.0.1:80", "zone-a", 4, false, 0, 99, Map.of("m", 1L)));
		assertThat(this.table.acquire(requirements(5))).isNull();
	}

	@Test
	void endpointOfAnotherModelIsChosenLast() {
		this.table.put(entry("mine", "zone-a", false, 0, 1));
		this.table.put(entry("other", "zone-a", false, 0, 1));
		this.table.assignedModels(Map.of("mine", "m", "other", "n"));
		assertThat(List.of(this.table.acquire(requirements(0)).id(), this.table.acquire(requirements(0)).id()))
			.containsExactly("mine", "mine");
	}

	@Test
	void hedgedCopyIsKeptFromEndpointsThatAreNotFullyInUse() {
		this.table.put(entry("warm", "zone-a", false, 0, 1));
		this.table.put(entry("cold", "zone-a", false, 5_000, 1));
		this.table.put(entry("draining", "zone-a", true, 0, 1));
		this.table.put(entry("disabled", "zone-b", false, 0, 1));
		this.table.put(entry("silent", "zone-c", false, 0, 1));
		this.table.put(entry("limited", "zone-a", false, 0, 1));
		this.table.disabledDomains(Set.of("zone-b"));
		this.table.silentDomains(Set.of("zone-c"));
		this.table.onRateNamedToPeer("limited", 1, 2.0);
		this.table.peerLoad("host-b", Map.of("warm", 1));
		assertThat(this.table.hedgeTargets(requirements(0))).isEqualTo(
				new EndpointTable.HedgeTargets(3, 4, Set.of("cold", "draining", "disabled", "silent", "limited")));
	}

	private static EndpointRequirements requirements(long minVersion) {
		return new EndpointRequirements(RequestOrigin.ITEM, "s", "m", minVersion, 0, true, Set.of());
	}

	private static EndpointEntry entry(String id, String domain, boolean leaving, long coldMillis, long version) {
		return new EndpointEntry(id, "s", "10.0.0.1:80", domain, 4, leaving, coldMillis, 1, Map.of("m", version));
	}

}
