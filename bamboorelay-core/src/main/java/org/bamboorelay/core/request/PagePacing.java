package org.bamboorelay.core.request;

/**
 * Decides when finished results are written as a page. Each page is a call to the
 * platform, which is paid for, and trainers read a few times a second, so results wait a
 * moment for others; the last ones of a submission do not. It answers for one submission.
 * <p>
 * Stateless and thread-safe.
 */
public final class PagePacing {

	/** Time between two pages, in milliseconds; trainers read twice a second. */
	static final long PAGE_MILLIS = 300;

	private PagePacing() {
	}

	/**
	 * Tells whether to write a page.
	 * @param waiting the results that are not listed yet
	 * @param pending the items without a result
	 * @param sinceMillis the time since the last page, in milliseconds; negative during
	 * the pause after a page that failed
	 * @return whether to write now
	 */
	public static boolean isDue(int waiting, int pending, long sinceMillis) {
		if (waiting < 0 || pending < 0) {
			throw new IllegalArgumentException("numbers of results must not be negative: " + waiting + ", " + pending);
		}
		return waiting > 0 && sinceMillis >= ((pending == 0) ? 0 : PAGE_MILLIS);
	}

}
