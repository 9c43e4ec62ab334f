package org.bamboorelay.core.scenario;

/**
 * A violation of an invariant.
 *
 * @param invariant the violated invariant
 * @param atMillis time since the start of the run, in milliseconds
 * @param detail a description of the observed violation
 */
record Violation(Invariant invariant, long atMillis, String detail) {

	@Override
	public String toString() {
		return "invariant " + this.invariant.number() + " (" + this.invariant + ") at " + this.atMillis + " ms: "
				+ this.detail;
	}

}
