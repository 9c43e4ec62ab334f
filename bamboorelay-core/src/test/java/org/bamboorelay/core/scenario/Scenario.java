package org.bamboorelay.core.scenario;

import java.util.List;
import java.util.Map;

/**
 * The result of one simulation run with a pair of faults.
 *
 * @param seed the seed of all random choices of the run
 * @param pair the two injected faults
 * @param domainCount the number of failure domains
 * @param violations the first violation of each invariant
 * @param coverage how often each invariant was tested, by the condition that its checker
 * counts
 * @param trace the events of the run; empty unless tracing was requested
 */
record Scenario(long seed, FaultKind.Pair pair, int domainCount, Map<Invariant, Violation> violations,
		Map<Invariant, Long> coverage, List<String> trace) {

	private static final List<FaultKind.Pair> PAIRS = FaultKind.pairs();

	/**
	 * Numbers of failure domains, through which the seeds cycle; most runs have three.
	 */
	private static final int[] DOMAIN_COUNTS = { 3, 3, 3, 1, 4 };

	private static final long OPERATOR_INTERVAL_MILLIS = 2_500;

	/**
	 * Time after the last fault within which the system must have recovered.
	 */
	private static final long RECOVERY_MILLIS = 7_000;

	static Scenario run(long seed, Mutation mutation, boolean tracing) {
		FaultKind.Pair pair = pairOf(seed);
		int domainCount = DOMAIN_COUNTS[(int) Math.floorMod(seed / PAIRS.size(), (long) DOMAIN_COUNTS.length)];
		Simulation simulation = new Simulation(seed, domainCount, mutation, tracing);
		FaultInjector injector = new FaultInjector(simulation, seed + 3);
		injector.schedule(pair.first());
		injector.schedule(pair.second());
		scheduleOperatorChange(simulation);
		simulation.run(FaultInjector.endMillis() + RECOVERY_MILLIS);
		return new Scenario(seed, pair, domainCount, simulation.journal.violations, simulation.journal.coverage,
				simulation.journal.trace);
	}

	private static void scheduleOperatorChange(Simulation simulation) {
		simulation.loop.after(OPERATOR_INTERVAL_MILLIS / 2 + simulation.random.nextInt((int) OPERATOR_INTERVAL_MILLIS),
				() -> {
					simulation.operators.changeRandomly();
					scheduleOperatorChange(simulation);
				});
	}

	/** Returns the pair of faults that a seed selects. */
	static FaultKind.Pair pairOf(long seed) {
		return PAIRS.get((int) Math.floorMod(seed, (long) PAIRS.size()));
	}

	@Override
	public String toString() {
		return "seed " + this.seed + ", faults " + this.pair.first() + " and " + this.pair.second() + ", "
				+ this.domainCount + " domains: " + this.violations.values();
	}

}
