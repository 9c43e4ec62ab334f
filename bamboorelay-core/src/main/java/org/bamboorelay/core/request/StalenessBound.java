package org.bamboorelay.core.request;

/**
 * Limits the age of the weights that may generate a sample.
 * <p>
 * Immutable and thread-safe.
 *
 * @param maxVersions the maximum number of versions by which the oldest span of a sample
 * may lag behind the newest version
 */
public record StalenessBound(long maxVersions) {

	public StalenessBound {
		if (maxVersions < 0) {
			throw new IllegalArgumentException("maxVersions must not be negative: " + maxVersions);
		}
	}

	/**
	 * Returns whether a sample may be delivered.
	 * @param oldestVersion the lowest version of the sample's spans;
	 * {@link Long#MAX_VALUE} if it has none
	 * @param newestVersion the trainer's newest version
	 * @return whether the sample is within the bound
	 */
	public boolean isWithin(long oldestVersion, long newestVersion) {
		return oldestVersion >= newestVersion - this.maxVersions;
	}

}
