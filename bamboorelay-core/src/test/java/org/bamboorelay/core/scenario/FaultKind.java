package org.bamboorelay.core.scenario;

import java.util.ArrayList;
import java.util.List;

/**
 * The kinds of faults, listed in section 8 of the design document.
 */
enum FaultKind {

	PROCESS_KILL, FREEZE, DOMAIN_PARTITION, PLATFORM_PARTITION, STORE_OUTAGE, STORE_RESPONSE_LOST, OPERATOR_RACE;

	/** Returns all unordered pairs, including pairs of two faults of the same kind. */
	static List<Pair> pairs() {
		List<Pair> pairs = new ArrayList<>();
		for (FaultKind first : values()) {
			for (FaultKind second : values()) {
				if (first.ordinal() <= second.ordinal()) {
					pairs.add(new Pair(first, second));
				}
			}
		}
		return pairs;
	}

	/**
	 * The kinds of the two faults of a run.
	 */
	record Pair(FaultKind first, FaultKind second) {

		boolean contains(FaultKind kind) {
			return this.first == kind || this.second == kind;
		}

	}

}
