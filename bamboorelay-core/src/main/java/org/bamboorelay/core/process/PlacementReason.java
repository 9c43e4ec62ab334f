package org.bamboorelay.core.process;

import java.util.Collections;
import java.util.EnumSet;
import java.util.Locale;
import java.util.Set;

/**
 * Why an endpoint was chosen for a request, or why it was not.
 */
public enum PlacementReason {

	/** Chosen: the lowest load that this host knows of, relative to the pace. */
	LOWEST_LOAD,

	/**
	 * Chosen: one of the few lowest expected delays, from the load that endpoints report.
	 */
	LEAST_DELAY,

	/** Chosen: one of the engines that are expected to complete the item first. */
	EARLIEST_COMPLETION,

	/** Chosen: an engine that has prefilled the shared part of the item's prompt. */
	SHARED_PROMPT,

	/** Not chosen: another endpoint is preferred. */
	OTHER_PREFERRED,

	/** The endpoint is leaving. */
	LEAVING,

	/** Its failure domain is disabled. */
	DOMAIN_DISABLED,

	/** It holds an older weight version than required. */
	OLD_WEIGHTS,

	/** It failed or refused a request recently. */
	BACKOFF,

	/** It is loading weights. */
	LOADING_WEIGHTS,

	/** The request must not get it, for example because it was sent there before. */
	EXCLUDED,

	/** It is cold, and this host's share of its request rate is used up. */
	COLD,

	/** Its failure domain is silent, and it has not responded since. */
	DOMAIN_SILENT,

	/** All its slots, or the places in its queue, are taken. */
	NO_SLOT,

	/** Its memory is taken by other items. */
	NO_MEMORY,

	/** It limits its request rate, and its next slot is not due. */
	RATE_LIMITED;

	/** The reasons for which an endpoint is chosen. */
	public static final Set<PlacementReason> CHOSEN = Collections
		.unmodifiableSet(EnumSet.of(LOWEST_LOAD, LEAST_DELAY, EARLIEST_COMPLETION, SHARED_PROMPT));

	/**
	 * Returns the name for logs and metrics.
	 * @return the name, in lower case with hyphens
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
