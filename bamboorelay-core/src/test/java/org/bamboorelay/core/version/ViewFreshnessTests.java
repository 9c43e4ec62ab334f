package org.bamboorelay.core.version;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against an isolated node that accepts a withdrawn key, and against a store
 * outage that makes all nodes refuse requests.
 */
class ViewFreshnessTests {

	private static final Rules.IsolationRule REFUSE = new Rules.IsolationRule(Rules.WhenIsolated.REFUSE, 4_000);

	private final ViewFreshness freshness = new ViewFreshness();

	@Test
	void ageIncludesAgeOfReportedView() {
		this.freshness.recordAge(1_500, 10_000);
		assertThat(this.freshness.ageMillis(10_700)).isEqualTo(2_200);
	}

	@Test
	void olderReportsDoNotIncreaseAge() {
		this.freshness.recordAge(100, 10_000);
		this.freshness.recordAge(9_000, 10_050);
		this.freshness.recordAge(ViewFreshness.UNKNOWN_AGE, 10_050);
		assertThat(this.freshness.ageMillis(10_100)).isEqualTo(200);
	}

	@Test
	void staleViewIsRefusedOnlyIfDomainsAreUnreachable() {
		this.freshness.recordAge(0, 0);
		assertThat(this.freshness.acceptsKeys(4_000, REFUSE, false)).isTrue();
		assertThat(this.freshness.acceptsKeys(4_001, REFUSE, false)).isFalse();
		assertThat(this.freshness.acceptsKeys(4_001, REFUSE, true)).isTrue();
	}

	@Test
	void isolatedNodeServesIfConfigured() {
		Rules.IsolationRule serve = new Rules.IsolationRule(Rules.WhenIsolated.SERVE, 4_000);
		assertThat(this.freshness.acceptsKeys(60_000, serve, false)).isTrue();
	}

	@Test
	void unknownAgeIsStale() {
		assertThat(this.freshness.ageMillis(5)).isEqualTo(ViewFreshness.UNKNOWN_AGE);
		assertThat(this.freshness.acceptsKeys(5, REFUSE, false)).isFalse();
	}

}
