package org.bamboorelay.cli.version;

import java.nio.file.Path;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.UUID;

import org.bamboorelay.cli.connection.OperatorFailure;
import org.bamboorelay.core.version.Configuration;
import org.bamboorelay.core.version.ConfigurationRepository;
import org.bamboorelay.core.version.FailureDomain;
import org.bamboorelay.core.version.KeyHash;
import org.bamboorelay.core.version.WorkspaceId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Guards against a change that silently overwrites the concurrent change of another
 * operator, and against sample deployments that are rejected.
 */
class ConfigurationServiceTests {

	private static final Path CONFIG = Path.of("..", "config");

	private final InMemoryObjectStore store = new InMemoryObjectStore();

	private final ConfigurationService configurationService = ConfigurationService
		.of(ConfigurationRepository.over(this.store, () -> UUID.randomUUID().toString()));

	@Test
	void bothSampleDeploymentsAreAccepted() {
		for (String deployment : List.of("parcela-viva", "vatuwaqa")) {
			assertThat(sample(deployment).inventory().workspaces()).hasSize(8);
			assertThat(sample(deployment).inventory().hosts()).hasSize(6);
		}
	}

	@Test
	void changeBasedOnOldVersionIsRefusedWithActiveVersion() {
		this.configurationService.apply(sample("parcela-viva"), OptionalLong.empty());
		this.configurationService.apply(sample("parcela-viva"), OptionalLong.of(1));
		assertThat(this.configurationService.apply(sample("parcela-viva"), OptionalLong.of(1)).getLeft())
			.isEqualTo(new OperatorFailure.VersionChanged(1, 2));
	}

	@Test
	void changeThatLosesRaceIsRefusedWithWinningVersion() {
		this.configurationService.apply(sample("parcela-viva"), OptionalLong.empty());
		this.store.beforeNextReplace(
				() -> this.configurationService.update(ConfigurationServiceTests::takeDomainOutOfService));
		assertThat(this.configurationService.apply(sample("parcela-viva"), OptionalLong.of(1)).getLeft())
			.isEqualTo(new OperatorFailure.VersionChanged(1, 2));
		assertThat(this.configurationService.current().get().domainsOut())
			.containsExactly(FailureDomain.of("gt-centro-a"));
	}

	@Test
	void versionIndependentChangeIsRetriedAfterRace() {
		this.configurationService.apply(sample("parcela-viva"), OptionalLong.empty());
		KeyHash key = KeyHash.ofKey("br-sample");
		this.store.beforeNextReplace(
				() -> this.configurationService.update(ConfigurationServiceTests::takeDomainOutOfService));
		this.configurationService
			.update((base) -> base.withKeys(base.keys().withGrant(key, WorkspaceId.of("huertos-xela"))));
		Configuration current = this.configurationService.current().get();
		assertThat(current.version()).isEqualTo(3);
		assertThat(current.keys().workspace(key)).contains(WorkspaceId.of("huertos-xela"));
		assertThat(current.isInService(FailureDomain.of("gt-centro-a"))).isFalse();
	}

	@Test
	void withdrawnKeyCannotBeGrantedAgain() {
		this.configurationService.apply(sample("parcela-viva"), OptionalLong.empty());
		KeyHash key = KeyHash.ofKey("br-sample");
		this.configurationService.update((base) -> base.withKeys(base.keys().withWithdrawn(Set.of(key))));
		assertThatIllegalArgumentException().isThrownBy(() -> this.configurationService
			.update((base) -> base.withKeys(base.keys().withGrant(key, WorkspaceId.of("huertos-xela")))));
	}

	private static Configuration takeDomainOutOfService(Configuration base) {
		return base.withDomainInService(FailureDomain.of("gt-centro-a"), false);
	}

	private static ProposedChange sample(String deployment) {
		return ProposedChange
			.read(CONFIG.resolve(deployment).resolve("inventory.toml"),
					CONFIG.resolve(deployment).resolve("rules.toml"))
			.get();
	}

}
