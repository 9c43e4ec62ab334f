package org.bamboorelay.core.scenario;

/**
 * Judges one invariant from what the outside world saw.
 */
abstract class Checker {

	protected final World world;

	protected final Invariant invariant;

	Checker(World world, Invariant invariant) {
		this.world = world;
		this.invariant = invariant;
	}

	/** Takes a fact. */
	void on(Fact fact) {
	}

	/** Looks at the state after a step of the run. */
	void afterStep() {
	}

	protected final void require(boolean holds, java.util.function.Supplier<String> detail) {
		this.world.journal.require(holds, this.invariant, detail);
	}

	protected final void occurred() {
		this.world.journal.occurred(this.invariant);
	}

}
