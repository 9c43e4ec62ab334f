package org.bamboorelay.core.scenario;

/**
 * A mechanism that is switched off or replaced by a naive one, to show that the checker
 * of its invariant can fail.
 */
enum Variant {

	NONE,

	/** Labels come from the weight head at the start of a sample. */
	LABEL_FROM_HEAD(Invariant.TRUE_LABELS),

	/** The age of samples is not compared with the trainer's version. */
	NO_STALENESS_CHECK(Invariant.STALENESS_BOUND),

	/** Batch records are written without a condition. */
	UNCONDITIONAL_RECORDS(Invariant.DELIVERED_ONCE),

	/** The workspace of a key is remembered by connection instead of looked up. */
	CACHED_WORKSPACE(Invariant.OWN_WORKSPACE),

	/** Headers pass to endpoints without the allow list. */
	ALL_HEADERS(Invariant.HIDDEN_KEYS),

	/** A cut-off host goes on serving keyed requests. */
	SERVE_ISOLATED(Invariant.WITHDRAWN_KEYS),

	/** A contender takes over before the holder's lease has ended. */
	EARLY_TAKEOVER(Invariant.ONE_ORDERING_HOLDER),

	/** Each send of a usage window reads the counters again. */
	LIVE_FIGURES(Invariant.ONE_USAGE_REPORT),

	/** An endpoint gets its whole capacity at once. */
	NO_RAMP(Invariant.COLD_ENDPOINT_LOAD),

	/** Hosts do not look at which failure domains are out. */
	DOMAIN_STATE_IGNORED(Invariant.DOMAIN_OUT),

	/** Hosts do not look at the signs of leaving endpoints. */
	LEAVING_IGNORED(Invariant.LEAVING_ENDPOINT),

	/** A host takes any configuration it is offered. */
	TAKE_ANY_VERSION(Invariant.CONFIGURATION_IN_FORCE);

	final Invariant broken;

	Variant() {
		this.broken = null;
	}

	Variant(Invariant broken) {
		this.broken = broken;
	}

}
