package org.bamboorelay.core.scenario;

/**
 * The invariants of section 1.2 of the design document, in the same order.
 */
enum Invariant {

	/** 1: each sample is labelled with the weight versions that generated it. */
	CORRECT_LABELS,

	/** 2: no sample exceeds the staleness bound at delivery. */
	STALENESS_BOUND,

	/** 3: each sample is delivered exactly once. */
	EXACTLY_ONCE_DELIVERY,

	/** 4: a request runs only for the workspace that its key belongs to. */
	WORKSPACE_ISOLATION,

	/** 5: no endpoint sees a caller's key. */
	KEY_CONFIDENTIALITY,

	/** 6: a withdrawn key is no longer accepted after 5 s. */
	WITHDRAWN_KEYS,

	/** 7: only one process at a time, the lease holder, sends orders for a domain. */
	SINGLE_LEASE_HOLDER,

	/** 8: a usage window that is reported again has the same counts. */
	CONSISTENT_USAGE_REPORTS,

	/** 9: a cold endpoint is not sent more load than it can handle. */
	COLD_ENDPOINT_LOAD,

	/** 10: a failure domain taken out of service gets no new requests after 5 s. */
	DOMAIN_OUT_OF_SERVICE,

	/** 11: a caller gets the complete response to its own request. */
	COMPLETE_RESPONSES,

	/** 12: a request refused with {@code run: no} has not been executed. */
	ACCURATE_REFUSALS,

	/** 13: a non-idempotent request is executed at most once. */
	AT_MOST_ONCE,

	/** 14: a leaving endpoint gets no new requests after 5 s. */
	LEAVING_ENDPOINT,

	/** 15: a graceful shutdown interrupts no request. */
	GRACEFUL_SHUTDOWN,

	/**
	 * 16: an accepted configuration is in force within 5 s and is not replaced by an
	 * older one.
	 */
	CONFIGURATION_IN_FORCE;

	/**
	 * The limit meant by "seconds" and "a few seconds" in section 1.2 of the design
	 * document.
	 */
	static final long LIMIT_MILLIS = 5_000;

	int number() {
		return ordinal() + 1;
	}

}
