package org.bamboorelay.core.scenario;

/**
 * A broken invariant.
 *
 * @param invariant the invariant
 * @param atMillis time since the start of the run, in milliseconds
 * @param detail what was seen
 */
record Violation(Invariant invariant, long atMillis, String detail) {

	@Override
	public String toString() {
		return "invariant " + this.invariant.number() + " (" + this.invariant + ") at " + this.atMillis + " ms: "
				+ this.detail;
	}

}
