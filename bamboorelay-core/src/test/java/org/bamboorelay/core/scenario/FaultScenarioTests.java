package org.bamboorelay.core.scenario;

import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Simulates the system under each pair of faults and checks the invariants of section 1.2
 * of the design document.
 * <p>
 * {@code -Dscenario.runs=n} sets the number of runs and {@code -Dscenario.first=n} the
 * first seed; {@code -Dscenario.seed=n} replays a single seed and prints its trace. A
 * long run:
 * {@code mvn -B -o test -pl bamboorelay-core -am -Dtest=FaultScenarioTests -Dsurefire.failIfNoSpecifiedTests=false -Dscenario.runs=200000}
 */
class FaultScenarioTests {

	private static final long RUN_COUNT = Long.getLong("scenario.runs", 10_000);

	private static final long FIRST_SEED = Long.getLong("scenario.first", 0);

	/**
	 * The number of seeds within which a checker must detect its disabled mechanism.
	 */
	private static final int MUTATION_SEED_COUNT = 120;

	@Test
	void invariantsHoldUnderEachPairOfFaults() {
		Long replayedSeed = Long.getLong("scenario.seed");
		if (replayedSeed != null) {
			Scenario scenario = Scenario.run(replayedSeed, Mutation.NONE, true);
			scenario.trace().forEach(System.out::println);
			assertThat(scenario.violations().values()).as(scenario.toString()).isEmpty();
			return;
		}
		Map<Invariant, Long> coverage = new EnumMap<>(Invariant.class);
		Set<FaultKind.Pair> coveredPairs = new HashSet<>();
		List<Scenario> failed = LongStream.range(FIRST_SEED, FIRST_SEED + RUN_COUNT).parallel().mapToObj((seed) -> {
			Scenario scenario = Scenario.run(seed, Mutation.NONE, false);
			synchronized (coverage) {
				coveredPairs.add(scenario.pair());
				scenario.coverage().forEach((invariant, count) -> coverage.merge(invariant, count, Long::sum));
			}
			return scenario;
		}).filter((scenario) -> !scenario.violations().isEmpty()).toList();
		System.out.println(RUN_COUNT + " runs, tested occurrences by invariant " + coverage);
		failed.stream()
			.limit(50)
			.forEach((scenario) -> System.out
				.println("replay with -Dscenario.seed=" + scenario.seed() + ": " + scenario));
		System.out.println(failed.size() + " failed");
		assertThat(failed).isEmpty();
		assertThat(coveredPairs).containsAll(FaultKind.pairs());
		assertThat(coverage.keySet()).containsAll(Checkers.invariants());
	}

	@ParameterizedTest
	@EnumSource(value = Mutation.class, names = { "NONE", "SERVE_ISOLATED" }, mode = EnumSource.Mode.EXCLUDE)
	void checkerDetectsDisabledMechanism(Mutation mutation) {
		assertDetected(mutation, LongStream.range(0, MUTATION_SEED_COUNT));
	}

	// Of the seeds 0 to 1,499, only some with a freeze violate the invariant;
	// seeds without a freeze are skipped.
	@Test
	void checkerDetectsRequestsServedByIsolatedHost() {
		assertDetected(Mutation.SERVE_ISOLATED,
				LongStream.iterate(0, (seed) -> seed + 1)
					.filter((seed) -> Scenario.pairOf(seed).contains(FaultKind.FREEZE))
					.limit(MUTATION_SEED_COUNT));
	}

	private static void assertDetected(Mutation mutation, LongStream seeds) {
		assertThat(seeds.anyMatch(
				(seed) -> Scenario.run(seed, mutation, false).violations().containsKey(mutation.violatedInvariant)))
			.as("checker detects that %s violates %s", mutation, mutation.violatedInvariant)
			.isTrue();
	}

}
