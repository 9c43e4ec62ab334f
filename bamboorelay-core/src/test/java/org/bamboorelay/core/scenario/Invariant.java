package org.bamboorelay.core.scenario;

/**
 * The invariants of section 1.2 of the design page, in its order.
 */
enum Invariant {

	/** 1: each sample names the weight versions that truly produced it. */
	TRUE_LABELS,

	/** 2: no sample is older than the staleness bound at delivery. */
	STALENESS_BOUND,

	/** 3: each sample is delivered once. */
	DELIVERED_ONCE,

	/** 4: a request runs only for the workspace whose key came with it. */
	OWN_WORKSPACE,

	/** 5: no endpoint sees a caller's key. */
	HIDDEN_KEYS,

	/** 6: a withdrawn key stops working within 5 s. */
	WITHDRAWN_KEYS,

	/** 7: orders come from one process in charge. */
	ONE_ORDERING_HOLDER,

	/** 8: no usage window is reported twice with different figures. */
	ONE_USAGE_REPORT,

	/** 9: a freshly started endpoint gets no more load than it can bear. */
	COLD_ENDPOINT_LOAD,

	/** 10: a failure domain taken out gets no new work after 5 s. */
	DOMAIN_OUT,

	/** 11: a caller gets the whole answer to its own request. */
	WHOLE_ANSWERS,

	/** 12: a refusal that says {@code run: no} is true. */
	TRUE_REFUSALS,

	/** 13: a non-idempotent request runs at most once. */
	AT_MOST_ONCE,

	/** 14: a leaving endpoint gets no new work after 5 s. */
	LEAVING_ENDPOINT,

	/** 15: a graceful shutdown cuts no request. */
	GRACEFUL_SHUTDOWN,

	/** 16: an accepted configuration is in force within 5 s and never reverts. */
	CONFIGURATION_IN_FORCE;

	/** Limit behind "seconds" and "a few seconds", from section 1.2. */
	static final long LIMIT_MILLIS = 5_000;

	int number() {
		return ordinal() + 1;
	}

}
