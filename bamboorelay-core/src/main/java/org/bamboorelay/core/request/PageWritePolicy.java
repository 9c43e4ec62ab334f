package org.bamboorelay.core.request;

/**
 * Decides when the finished results of a submission are written to the store as a page.
 * Each page costs a billed call to the platform, and trainers read only a few times a
 * second, so results are held back briefly to share a page. The last results of a
 * submission are written without delay.
 * <p>
 * Stateless and thread-safe.
 */
public final class PageWritePolicy {

	/** Minimum time between two pages, in milliseconds; trainers read twice a second. */
	static final long PAGE_INTERVAL_MILLIS = 300;

	private PageWritePolicy() {
	}

	/**
	 * Returns whether a page is to be written now.
	 * @param unlistedResults the number of results that are not listed yet
	 * @param pendingItems the number of items without a result
	 * @param sinceLastPageMillis the time since the last page, in milliseconds; negative
	 * during the pause after a failed write
	 * @return whether a page is to be written
	 */
	public static boolean isDue(int unlistedResults, int pendingItems, long sinceLastPageMillis) {
		if (unlistedResults < 0 || pendingItems < 0) {
			throw new IllegalArgumentException("numbers of unlisted results and pending items must not be negative: "
					+ unlistedResults + ", " + pendingItems);
		}
		return unlistedResults > 0 && sinceLastPageMillis >= ((pendingItems == 0) ? 0 : PAGE_INTERVAL_MILLIS);
	}

}
