package org.bamboorelay.core.scenario;

/**
 * Checks one invariant, by observations and by the state after each event.
 */
abstract class Checker {

	protected final Simulation simulation;

	protected final Invariant invariant;

	Checker(Simulation simulation, Invariant invariant) {
		this.simulation = simulation;
		this.invariant = invariant;
	}

	/** Called for each observation. */
	void onObservation(Observation observation) {
	}

	/** Called after each event of the event loop. */
	void afterStep() {
	}

	protected final void require(boolean holds, java.util.function.Supplier<String> detail) {
		this.simulation.journal.require(holds, this.invariant, detail);
	}

	protected final void recordCoverage() {
		this.simulation.journal.recordCoverage(this.invariant);
	}

}
