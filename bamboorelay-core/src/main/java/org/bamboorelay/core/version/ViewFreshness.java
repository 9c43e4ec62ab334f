package org.bamboorelay.core.version;

/**
 * Tracks the age of this node's view of the configuration: the time since the store was
 * read, either by this node or by the process from which the view was passed on through
 * peers. Decides from it whether API keys can still be checked; see "Freshness" in
 * section 5 of the design document.
 * <p>
 * Not thread-safe.
 */
public final class ViewFreshness {

	/** Age of a view that has never been read from the store. */
	public static final long UNKNOWN_AGE = -1;

	private long readAtMillis;

	private boolean known;

	/**
	 * Records the age of a view whose version this node holds. Reports that are older
	 * than the known age, and unknown ages, are ignored.
	 * @param ageMillis time since the store was read, in milliseconds; negative if
	 * unknown
	 * @param nowMillis the time, in milliseconds
	 */
	public void recordAge(long ageMillis, long nowMillis) {
		if (ageMillis < 0) {
			return;
		}
		long readAt = nowMillis - ageMillis;
		if (!this.known || readAt > this.readAtMillis) {
			this.readAtMillis = readAt;
			this.known = true;
		}
	}

	/**
	 * Returns the age of the view.
	 * @param nowMillis the time, in milliseconds
	 * @return the age in milliseconds, or {@link #UNKNOWN_AGE}
	 */
	public long ageMillis(long nowMillis) {
		return this.known ? Math.max(0, nowMillis - this.readAtMillis) : UNKNOWN_AGE;
	}

	/**
	 * Returns whether requests that carry an API key are served.
	 * @param nowMillis the time, in milliseconds
	 * @param rule the active isolation rule
	 * @param allDomainsReachable whether this node receives heartbeats from a host of
	 * each other failure domain that is in service, and was not suspended itself
	 * @return true if the view is recent enough, if all failure domains are reachable, or
	 * if operators chose to serve in isolation
	 */
	public boolean acceptsKeys(long nowMillis, Rules.IsolationRule rule, boolean allDomainsReachable) {
		long age = ageMillis(nowMillis);
		if (age != UNKNOWN_AGE && age <= rule.maxViewAgeMillis()) {
			return true;
		}
		return allDomainsReachable || rule.whenIsolated() == Rules.WhenIsolated.SERVE;
	}

}
