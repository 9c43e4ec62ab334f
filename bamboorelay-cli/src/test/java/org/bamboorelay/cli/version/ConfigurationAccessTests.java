package org.bamboorelay.cli.version;

import java.nio.file.Path;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.UUID;

import org.bamboorelay.cli.connection.OperatorFailure;
import org.bamboorelay.core.version.Configuration;
import org.bamboorelay.core.version.ConfigurationAssembly;
import org.bamboorelay.core.version.FailureDomain;
import org.bamboorelay.core.version.KeyHash;
import org.bamboorelay.core.version.WorkspaceId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Guards against an operator's change that overwrites another's without saying so, and
 * against sample deployments that are not accepted.
 */
class ConfigurationAccessTests {

	private static final Path CONFIG = Path.of("..", "config");

	private final MemoryStore store = new MemoryStore();

	private final ConfigurationAccess access = ConfigurationAccess
		.of(ConfigurationAssembly.over(this.store, () -> UUID.randomUUID().toString()));

	@Test
	void bothSampleDeploymentsAreAccepted() {
		for (String deployment : List.of("parcela-viva", "vatuwaqa")) {
			assertThat(sample(deployment).inventory().workspaces()).hasSize(8);
			assertThat(sample(deployment).inventory().hosts()).hasSize(6);
		}
	}

	@Test
	void changeFromAnOldVersionIsRefusedWithTheVersionInForce() {
		this.access.apply(sample("parcela-viva"), OptionalLong.empty());
		this.access.apply(sample("parcela-viva"), OptionalLong.of(1));
		assertThat(this.access.apply(sample("parcela-viva"), OptionalLong.of(1)).getLeft())
			.isEqualTo(new OperatorFailure.VersionChanged(1, 2));
	}

	@Test
	void loserOfARaceIsToldTheVersionThatWon() {
		this.access.apply(sample("parcela-viva"), OptionalLong.empty());
		this.store.beforeNextReplace(() -> this.access.update(ConfigurationAccessTests::takeOut));
		assertThat(this.access.apply(sample("parcela-viva"), OptionalLong.of(1)).getLeft())
			.isEqualTo(new OperatorFailure.VersionChanged(1, 2));
		assertThat(this.access.current().get().domainsOut()).containsExactly(FailureDomain.of("gt-centro-a"));
	}

	@Test
	void changeThatFitsAnyVersionSurvivesARace() {
		this.access.apply(sample("parcela-viva"), OptionalLong.empty());
		KeyHash key = KeyHash.ofKey("br-sample");
		this.store.beforeNextReplace(() -> this.access.update(ConfigurationAccessTests::takeOut));
		this.access
			.update((present) -> present.withKeys(present.keys().withGrant(key, WorkspaceId.of("huertos-xela"))));
		Configuration current = this.access.current().get();
		assertThat(current.version()).isEqualTo(3);
		assertThat(current.keys().workspace(key)).contains(WorkspaceId.of("huertos-xela"));
		assertThat(current.isInService(FailureDomain.of("gt-centro-a"))).isFalse();
	}

	@Test
	void withdrawnKeyCannotBeGrantedAgain() {
		this.access.apply(sample("parcela-viva"), OptionalLong.empty());
		KeyHash key = KeyHash.ofKey("br-sample");
		this.access.update((present) -> present.withKeys(present.keys().withWithdrawn(Set.of(key))));
		assertThatIllegalArgumentException().isThrownBy(() -> this.access
			.update((present) -> present.withKeys(present.keys().withGrant(key, WorkspaceId.of("huertos-xela")))));
	}

	private static Configuration takeOut(Configuration present) {
		return present.withDomainInService(FailureDomain.of("gt-centro-a"), false);
	}

	private static ProposedChange sample(String deployment) {
		return ProposedChange
			.read(CONFIG.resolve(deployment).resolve("inventory.toml"),
					CONFIG.resolve(deployment).resolve("rules.toml"))
			.get();
	}

}
