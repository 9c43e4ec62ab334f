package org.bamboorelay.core.process;

import java.util.Set;

import org.bamboorelay.core.version.FailureDomain;
import org.bamboorelay.core.version.HostId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against work that is sent to dead or leaving hosts, and against a host that was
 * paused or partitioned and declares all others dead.
 */
class MembershipTests {

	private static final FailureDomain DOMAIN_A = FailureDomain.of("suva-a");

	private static final FailureDomain DOMAIN_B = FailureDomain.of("suva-b");

	private static final HostId SELF = HostId.of("self");

	private static final HostId ONE = HostId.of("one");

	private static final HostId TWO = HostId.of("two");

	private static final HostId THREE = HostId.of("three");

	private final Membership membership = Membership.of(SELF, DOMAIN_A);

	@Test
	void peerWithoutHeartbeatsBecomesSuspectThenDead() {
		receiveHeartbeats(0, ONE, TWO, THREE);
		receiveHeartbeats(1_900, TWO, THREE);
		this.membership.tick(1_999);
		assertThat(this.membership.states()).containsEntry(ONE, Membership.State.ALIVE);
		this.membership.tick(2_000);
		assertThat(this.membership.states()).containsEntry(ONE, Membership.State.SUSPECT);
		assertThat(this.membership.live()).contains(ONE);
		receiveHeartbeats(3_900, TWO, THREE);
		this.membership.tick(4_000);
		assertThat(this.membership.states()).containsEntry(ONE, Membership.State.DEAD);
		assertThat(this.membership.live()).containsExactlyInAnyOrder(SELF, TWO, THREE);
	}

	@Test
	void leavingPeerIsNotLiveAtOnceButItsDomainIsStillHeard() {
		receiveHeartbeats(0, ONE, TWO);
		this.membership.onHeartbeat(ONE, DOMAIN_B, true, 100);
		assertThat(this.membership.live()).containsExactlyInAnyOrder(SELF, TWO);
		assertThat(this.membership.hearsAll(Set.of(DOMAIN_A, DOMAIN_B))).isTrue();
	}

	@Test
	void leavingHostIsNotLiveInItsOwnView() {
		this.membership.markLeaving();
		assertThat(this.membership.live()).isEmpty();
	}

	@Test
	void losingMostPeersAtOnceSuspectsAPartitionAndDeclaresNoPeerDead() {
		receiveHeartbeats(0, ONE, TWO, THREE);
		receiveHeartbeats(1_500, THREE);
		this.membership.tick(2_000);
		assertThat(this.membership.isPartitionSuspected()).isTrue();
		this.membership.tick(60_000);
		assertThat(this.membership.live()).contains(ONE, TWO, THREE);
		assertThat(this.membership.hearsAll(Set.of(DOMAIN_B))).isFalse();
		receiveHeartbeats(60_100, ONE, TWO);
		this.membership.tick(60_101);
		assertThat(this.membership.isPartitionSuspected()).isFalse();
	}

	@Test
	void domainIsHeardOnceOneOfItsHostsIsHeard() {
		assertThat(this.membership.hearsAll(Set.of(DOMAIN_A, DOMAIN_B))).isFalse();
		receiveHeartbeats(0, ONE);
		assertThat(this.membership.hearsAll(Set.of(DOMAIN_A, DOMAIN_B))).isTrue();
	}

	/** A host that hears no other domain may itself be partitioned from the store. */
	@Test
	void onlyOwnDomainRequiresThatAnotherDomainIsHeard() {
		assertThat(this.membership.hearsAll(Set.of(DOMAIN_A))).isFalse();
		receiveHeartbeats(0, ONE);
		assertThat(this.membership.hearsAll(Set.of(DOMAIN_A))).isTrue();
	}

	private void receiveHeartbeats(long now, HostId... hosts) {
		for (HostId host : hosts) {
			this.membership.onHeartbeat(host, DOMAIN_B, false, now);
		}
	}

}
