package org.bamboorelay.core.version;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.bamboorelay.core.failure.Failure;
import org.bamboorelay.core.store.FakeObjectStore;
import org.bamboorelay.core.store.FakeObjectStore.Fault;
import org.bamboorelay.core.store.StoreFailure;
import org.bamboorelay.core.time.ManualClock;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against an accepted configuration that is lost or reverted by concurrent updates
 * or lost responses of the store (invariant 16), and against key withdrawals that a
 * concurrent update overwrites.
 */
class ConfigurationRepositoryTests {

	private static final WorkspaceId WORKSPACE = WorkspaceId.of("huerto-norte");

	private final FakeObjectStore store = new FakeObjectStore(ManualClock.of(1));

	private final AtomicInteger tokens = new AtomicInteger();

	private final ConfigurationRepository first = assembly();

	private final ConfigurationRepository second = assembly();

	@BeforeEach
	void writeFirstVersion() {
		Inventory inventory = new Inventory("parcela", List.of(), List.of(), List.of(), List.of());
		Configuration configuration = new Configuration(1, inventory, rules(), KeyTable.empty(), Set.of());
		assertThat(this.first.write(configuration, Option.none()).isRight()).isTrue();
	}

	@Test
	void configurationIsUnchangedByStoreAndPeerEncodings() {
		Configuration read = this.first.read().get().get().configuration();
		assertThat(this.second.read().get().get().configuration()).isEqualTo(read);
		assertThat(ConfigurationRepository.parse(ConfigurationRepository.bytes(read)).get()).isEqualTo(read);
	}

	@Test
	void mostSpecificPriorityRuleAppliesAfterSerialization() {
		ServiceId app = ServiceId.of("app");
		WorkspaceId other = WorkspaceId.of("huerto-sur");
		Rules rules = rules(new Rules.PriorityRule(WORKSPACE, app, Rules.RequestClass.ROLLOUT, 1),
				new Rules.PriorityRule(WORKSPACE, app, null, 7), new Rules.PriorityRule(WORKSPACE, null, null, 3),
				new Rules.PriorityRule(other, null, Rules.RequestClass.INTERACTIVE, 9));
		Rules read = CoreJson.read(CoreJson.bytes(rules), Rules.class).get();
		assertThat(read).isEqualTo(rules);
		assertThat(read.priorityLevels(app, Rules.RequestClass.ROLLOUT)).isEqualTo(Map.of("huerto-norte", 1));
		assertThat(read.priorityLevels(app, Rules.RequestClass.INTERACTIVE))
			.isEqualTo(Map.of("huerto-norte", 7, "huerto-sur", 9));
		assertThat(read.priorityLevels(ServiceId.of("model"), Rules.RequestClass.ROLLOUT))
			.isEqualTo(Map.of("huerto-norte", 3));
		assertThat(new String(CoreJson.bytes(rules()))).as("readable by earlier releases").doesNotContain("priorities");
		assertThat(CoreJson.read(CoreJson.bytes(rules()), Rules.class).get()).isEqualTo(rules());
	}

	@Test
	void readOfUnchangedConfigurationTakesOneStoreCall() {
		this.second.read();
		int before = this.store.calls();
		this.second.read();
		assertThat(this.store.calls() - before).isEqualTo(1);
	}

	@Test
	void configurationIsParsedAgainOnlyIfChanged() {
		Configuration before = this.second.read().get().get().configuration();
		assertThat(this.second.read().get().get().configuration()).isSameAs(before);
		this.first.update(grant("one"), 1);
		Configuration after = this.second.read().get().get().configuration();
		assertThat(after.version()).isEqualTo(before.version() + 1);
		assertThat(after).isEqualTo(this.first.read().get().get().configuration());
	}

	@Test
	void partWithWrongHashIsRejected() {
		String part = this.store.list(ConfigurationHead.PART_PREFIX).get().get(0).key();
		this.store.put(part, new byte[] { '{', '}' });
		assertThat(this.second.read().getLeft().detail()).contains("SHA-256");
	}

	@Test
	void writeOnOutdatedBaseFailsAndChangesNothing() {
		Option<ConfigurationRepository.Snapshot> base = this.second.read().get();
		this.first.update(grant("one"), 1);
		Either<Failure, Configuration> lost = this.second.write(grant("two").apply(base.get().configuration()), base);
		assertThat(lost.getLeft()).isInstanceOf(StoreFailure.ConditionFailed.class);
		assertThat(this.first.read().get().get().configuration().keys().granted()).hasSize(1);
	}

	@Test
	void withdrawalIsRetriedAfterConcurrentUpdate() {
		KeyHash key = KeyHash.ofKey("a");
		runBeforeNextHeadWrite(() -> this.first.update(grant("one"), 1));
		Configuration written = this.second.withdraw(Set.of(key), 3).get();
		assertThat(written.version()).isEqualTo(3);
		assertThat(written.keys().withdrawn()).containsExactly(key);
		assertThat(written.keys().granted()).hasSize(1);
	}

	@Test
	void writeWithLostResponseSucceedsIfTokenMatches() {
		Option<ConfigurationRepository.Snapshot> base = this.first.read().get();
		this.store.faults(() -> Fault.RESPONSE_LOST);
		assertThat(this.first.write(grant("one").apply(base.get().configuration()), base).get().version()).isEqualTo(2);
	}

	@Test
	void acceptedChangesPersistUnderConcurrentUpdatesAndLostResponses() {
		for (long seed = 1; seed <= 60; seed++) {
			Random random = new Random(seed);
			this.store.faults(() -> (random.nextInt(5) != 0) ? Fault.NONE : Fault.RESPONSE_LOST);
			Set<String> accepted = new HashSet<>();
			List<Long> versions = new ArrayList<>();
			for (int i = 0; i < 5; i++) {
				String name = seed + "-" + i;
				if (random.nextBoolean()) {
					runBeforeNextHeadWrite(() -> accept(this.second, name + "-race", accepted));
				}
				accept(this.first, name, accepted);
				versions.add(this.first.read().get().get().configuration().version());
			}
			KeyTable keys = this.second.read().get().get().configuration().keys();
			assertThat(accepted).as("seed %s", seed)
				.allMatch((name) -> keys.workspace(KeyHash.ofKey(name)).isPresent());
			assertThat(versions).as("seed %s", seed).isSorted();
		}
	}

	private void accept(ConfigurationRepository operator, String name, Set<String> accepted) {
		if (operator.update(grant(name), 4).isRight()) {
			accepted.add(name);
		}
	}

	private void runBeforeNextHeadWrite(Runnable other) {
		this.store.beforeWrite((key) -> {
			if (key.equals(ConfigurationHead.KEY)) {
				this.store.beforeWrite((unused) -> {
				});
				other.run();
			}
		});
	}

	private static UnaryOperator<Configuration> grant(String name) {
		return (current) -> current.withKeys(current.keys().withGrant(KeyHash.ofKey(name), WORKSPACE));
	}

	private ConfigurationRepository assembly() {
		return ConfigurationRepository.over(this.store, () -> "token-" + this.tokens.incrementAndGet());
	}

	private static Rules rules(Rules.PriorityRule... priorities) {
		return new Rules(List.of(priorities), List.of(), List.of(), new Rules.AdmissionRule(10, 1_000, 1_000),
				new Rules.UsageRule(60_000, 5_000), new Rules.IsolationRule(Rules.WhenIsolated.REFUSE, 4_000),
				new Rules.PolicyRule("fair", "affinity", "ramp", "demand", "waves", "resume"));
	}

}
