package org.bamboorelay.core.request;

/**
 * The oldest weights that a sample may come from.
 * <p>
 * Immutable and thread-safe.
 *
 * @param maxVersions how many versions the oldest span may lag behind the newest version
 */
public record StalenessBound(long maxVersions) {

	public StalenessBound {
		if (maxVersions < 0) {
			throw new IllegalArgumentException("maxVersions must not be negative: " + maxVersions);
		}
	}

	/**
	 * Tells whether a sample may be delivered.
	 * @param oldest lowest version of the sample's spans; {@link Long#MAX_VALUE} where it
	 * has none
	 * @param newest the trainer's newest version
	 * @return whether the sample is within the bound
	 */
	public boolean isWithin(long oldest, long newest) {
		return oldest >= newest - this.maxVersions;
	}

}
