package org.bamboorelay.core.request;

/**
 * Decides when the finished results of a submission are written to the store as a page.
 * Each page costs a billed call to the platform, and a trainer that has just read a page
 * pauses before it reads again, so results are held back to share a page: the results
 * that end a training step must not miss the trainer because another result was listed
 * right before them. Results that the trainer waits for are written without delay.
 * <p>
 * Stateless and thread-safe.
 */
public final class PageWritePolicy {

	/**
	 * Maximum time for which a result is held back, in milliseconds; trainers read twice
	 * a second.
	 */
	static final long MAX_HOLD_MILLIS = 500;

	private PageWritePolicy() {
	}

	/**
	 * Returns whether a page is to be written now.
	 * @param unlistedResults the number of results that are not listed yet
	 * @param awaited whether the trainer waits for one of these results; see
	 * {@link SubmissionState#hasAwaitedResults}
	 * @param oldestAgeMillis the time for which the oldest of these results has been
	 * available, in milliseconds
	 * @return whether a page is to be written
	 */
	public static boolean isDue(int unlistedResults, boolean awaited, long oldestAgeMillis) {
		if (unlistedResults < 0) {
			throw new IllegalArgumentException("number of unlisted results must not be negative: " + unlistedResults);
		}
		return unlistedResults > 0 && (awaited || oldestAgeMillis >= MAX_HOLD_MILLIS);
	}

}
