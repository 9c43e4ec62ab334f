package org.bamboorelay.core.process;

import java.util.Locale;

/**
 * Why a run is migrated to another endpoint.
 */
public enum MigrationReason {

	/**
	 * The pace of its endpoint is lower than that of another one by a fixed ratio; for
	 * services whose endpoints do not report their load.
	 */
	SLOWER_PACE,

	/** It is expected to be completed sooner elsewhere. */
	EARLIER_COMPLETION,

	/** The platform reclaims its endpoint. */
	RECLAIMED_ENDPOINT;

	/**
	 * Returns the name for logs and metrics.
	 * @return the name, in lower case with hyphens
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
