package org.bamboorelay.core.scenario;

/**
 * A mechanism that is disabled or replaced by a naive implementation, to show that the
 * checker of its invariant detects the violation.
 */
enum Mutation {

	NONE,

	/**
	 * Samples are labelled with the weight version that was published when they started.
	 */
	LABEL_FROM_START_VERSION(Invariant.CORRECT_LABELS),

	/** The versions of samples are not compared with the trainer's version. */
	NO_STALENESS_CHECK(Invariant.STALENESS_BOUND),

	/** Batch records are written unconditionally, without a version check. */
	UNCONDITIONAL_WRITES(Invariant.EXACTLY_ONCE_DELIVERY),

	/**
	 * The workspace is cached per connection instead of being looked up for each key.
	 */
	CACHED_WORKSPACE(Invariant.WORKSPACE_ISOLATION),

	/** All request headers are forwarded to endpoints, without the allow list. */
	UNFILTERED_HEADERS(Invariant.KEY_CONFIDENTIALITY),

	/** An isolated host continues to serve requests with keys. */
	SERVE_ISOLATED(Invariant.WITHDRAWN_KEYS),

	/** A contender takes over a lease before it has expired for the holder. */
	EARLY_TAKEOVER(Invariant.SINGLE_LEASE_HOLDER),

	/** Each attempt to report a usage window reads the current counters. */
	LIVE_COUNTERS(Invariant.CONSISTENT_USAGE_REPORTS),

	/** A cold endpoint is given its full capacity at once, without a ramp. */
	NO_RAMP(Invariant.COLD_ENDPOINT_LOAD),

	/** Hosts ignore which failure domains are out of service. */
	DOMAIN_STATE_IGNORED(Invariant.DOMAIN_OUT_OF_SERVICE),

	/** Hosts ignore announcements that an endpoint is leaving. */
	LEAVING_IGNORED(Invariant.LEAVING_ENDPOINT),

	/** A host applies any configuration that it is offered, including older versions. */
	ACCEPT_ANY_VERSION(Invariant.CONFIGURATION_IN_FORCE);

	final Invariant violatedInvariant;

	Mutation() {
		this.violatedInvariant = null;
	}

	Mutation(Invariant violatedInvariant) {
		this.violatedInvariant = violatedInvariant;
	}

}
