package org.bamboorelay.core.version;

/**
 * Tracks how long ago some chain of peers read the store, and decides whether keys may be
 * trusted; see "Freshness" in section 5 of the design page.
 * <p>
 * Not thread-safe.
 */
public final class ViewFreshness {

	/** Age of a view that was never read. */
	public static final long UNKNOWN = -1;

	private long readAtMillis;

	private boolean known;

	/**
	 * Notes a view of which this node holds the version.
	 * @param ageMillis time since the store was read, in milliseconds; negative for
	 * unknown
	 * @param nowMillis the time, in milliseconds
	 */
	public void heard(long ageMillis, long nowMillis) {
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
	 * @return the age in milliseconds, or {@link #UNKNOWN}
	 */
	public long ageMillis(long nowMillis) {
		return this.known ? Math.max(0, nowMillis - this.readAtMillis) : UNKNOWN;
	}

	/**
	 * Decides whether requests with a key are served.
	 * @param nowMillis the time, in milliseconds
	 * @param rule the rule in force
	 * @param hearsEveryDomain whether a host of each other failure domain that is in
	 * service is heard, and this node does not doubt itself
	 * @return whether they are served
	 */
	public boolean servesKeyed(long nowMillis, Rules.IsolationRule rule, boolean hearsEveryDomain) {
		long age = ageMillis(nowMillis);
		if (age != UNKNOWN && age <= rule.maxViewAgeMillis()) {
			return true;
		}
		return hearsEveryDomain || rule.whenIsolated() == Rules.WhenIsolated.SERVE;
	}

}
