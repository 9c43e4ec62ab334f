package org.bamboorelay.core.version;

import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a configuration that is replaced by an older version, or that never
 * becomes active.
 */
class ConfigurationStateTests {

	private final ConfigurationState state = new ConfigurationState();

	@Test
	void versionBecomesActiveWhenAnotherNodeHoldsIt() {
		this.state.accept(configuration(3), 0);
		assertThat(this.state.activateSettled(0)).isEmpty();
		this.state.recordPeerVersion(3);
		assertThat(this.state.activateSettled(1).get().version()).isEqualTo(3);
	}

	@Test
	void versionBecomesActiveAfterSettleTimeWithoutSecondHolder() {
		this.state.accept(configuration(3), 0);
		assertThat(this.state.activateSettled(499)).isEmpty();
		assertThat(this.state.activateSettled(500).get().version()).isEqualTo(3);
	}

	@Test
	void olderVersionsAreRejected() {
		this.state.accept(configuration(3), 0);
		this.state.activateSettled(500);
		assertThat(this.state.accept(configuration(2), 600)).isFalse();
		assertThat(this.state.activateSettled(2_000)).isEmpty();
		assertThat(this.state.active().get().version()).isEqualTo(3);
	}

	@Test
	void frequentChangesDoNotDeferActivationIndefinitely() {
		for (int version = 1; version <= 60; version++) {
			this.state.accept(configuration(version), version * 10L);
			this.state.activateSettled(version * 10L);
		}
		assertThat(this.state.active()).isNotEmpty();
		assertThat(this.state.activateSettled(1_100).get().version()).isEqualTo(60);
	}

	private static Configuration configuration(long version) {
		Rules rules = new Rules(List.of(), List.of(), List.of(), new Rules.AdmissionRule(1, 1, 1),
				new Rules.UsageRule(1, 1), new Rules.IsolationRule(Rules.WhenIsolated.REFUSE, 4_000),
				new Rules.PolicyRule("fair", "affinity", "ramp", "demand", "waves", "resume"));
		return new Configuration(version, new Inventory("huerto", List.of(), List.of(), List.of(), List.of()), rules,
				KeyTable.empty(), Set.of());
	}

}
