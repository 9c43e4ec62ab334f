package org.bamboorelay.core.version;

import java.util.List;
import java.util.Set;

import org.bamboorelay.core.failure.RefusalReason;
import org.bamboorelay.core.time.ManualClock;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a host that accepts a withdrawn key because its process was suspended
 * when the key was withdrawn (invariant 6).
 */
class LiveConfigurationTests {

	private static final KeyHash KEY = KeyHash.ofKey("a");

	private final ManualClock clock = ManualClock.of(1_000);

	private final LiveConfiguration live = LiveConfiguration.of(this.clock, (domains) -> true);

	@BeforeEach
	void activateFirstVersion() {
		Rules rules = new Rules(List.of(), List.of(), List.of(), new Rules.AdmissionRule(1, 1, 1),
				new Rules.UsageRule(1, 1), new Rules.IsolationRule(Rules.WhenIsolated.REFUSE, 4_000),
				new Rules.PolicyRule("fair", "affinity", "ramp", "demand", "waves", "resume"));
		this.live.accept(new Configuration(1, new Inventory("huerto", List.of(), List.of(), List.of(), List.of()),
				rules, KeyTable.empty().withGrant(KEY, WorkspaceId.of("norte")), Set.of()), 0);
		this.live.recordContact();
		this.live.recordPeersQueried();
		this.clock.advance(ConfigurationState.SETTLE_MILLIS);
		this.live.tick();
		assertThat(this.live.authenticate(KEY).isRight()).isTrue();
	}

	/** Until the first tick, the membership still considers its peers reachable. */
	@Test
	void requestIsRefusedBetweenSuspensionAndNextTick() {
		this.clock.advance(10_000);
		assertThat(this.live.authenticate(KEY).getLeft().reason()).isEqualTo(RefusalReason.STALE_VIEW);
		this.live.tick();
		assertThat(this.live.authenticate(KEY).isRight()).isTrue();
	}

	/** A message that was queued during the suspension is older than it states. */
	@Test
	void viewAgeIsIgnoredBetweenSuspensionAndNextTick() {
		this.clock.advance(10_000);
		this.live.recordViewAge(1, 0);
		assertThat(this.live.viewAgeMillis()).isGreaterThan(4_000);
		this.live.tick();
		this.live.recordViewAge(1, 0);
		assertThat(this.live.viewAgeMillis()).isZero();
	}

}
