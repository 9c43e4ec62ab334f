package org.bamboorelay.core.request;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

import org.jspecify.annotations.Nullable;

/**
 * The listed results of one submission. Results are assigned positions by pages that are
 * created with conditional writes, so two hosts that both run the submission cannot
 * assign one position to two results. A page whose write has an unknown outcome is
 * rewritten unchanged until the outcome is known.
 * <p>
 * Thread-safe; guarded by its own lock.
 */
public final class ResultLog {

	private final List<ItemResult> listed = new ArrayList<>();

	private final Set<String> listedIds = new HashSet<>();

	private final TreeSet<Integer> pageEnds = new TreeSet<>();

	private @Nullable ResultPage pendingPage;

	private boolean outcomeUnknown;

	/**
	 * Returns the listed results from a position to the end.
	 * @param start the position of the first result
	 * @return the results
	 */
	public synchronized List<ItemResult> resultsFrom(int start) {
		return (start >= this.listed.size()) ? List.of()
				: List.copyOf(this.listed.subList(Math.max(0, start), this.listed.size()));
	}

	/**
	 * Returns listed results up to the end of a page, so that a copy of the list can be
	 * extended from the store, which finds pages by their first position.
	 * @param start the position of the first result
	 * @param maxBytes the maximum size of the results as they are stored, in bytes,
	 * exceeded only if a single page has more
	 * @return the results
	 */
	public synchronized List<ItemResult> wholePages(int start, long maxBytes) {
		int end = start;
		long size = 0;
		for (int pageEnd : this.pageEnds.tailSet(start, false)) {
			for (ItemResult result : this.listed.subList(end, pageEnd)) {
				size += result.storedBytes();
			}
			if (end > start && size > maxBytes) {
				break;
			}
			end = pageEnd;
		}
		return List.copyOf(this.listed.subList(Math.min(start, end), end));
	}

	/**
	 * Returns the number of listed results.
	 * @return the number
	 */
	public synchronized int size() {
		return this.listed.size();
	}

	/**
	 * Records that the response to a write of the pending page was lost.
	 */
	public synchronized void outcomeUnknown() {
		this.outcomeUnknown = this.pendingPage != null;
	}

	/**
	 * Returns whether the store may contain a page that is missing from this list.
	 * @return whether the outcome of a write is unknown
	 */
	public synchronized boolean isOutcomeUnknown() {
		return this.outcomeUnknown;
	}

	/**
	 * Returns the page to write next.
	 * @param results the results that have no position yet
	 * @param maxBytes the maximum size of a page as it is stored, in bytes, exceeded only
	 * by a single result
	 * @return the page, or null if there is nothing to list
	 */
	public synchronized @Nullable ResultPage nextPage(List<ItemResult> results, long maxBytes) {
		if (this.pendingPage == null) {
			List<ItemResult> pageResults = new ArrayList<>();
			long size = 0;
			for (ItemResult result : results) {
				if (this.listedIds.contains(result.id())) {
					continue;
				}
				size += result.storedBytes();
				if (!pageResults.isEmpty() && size > maxBytes) {
					break;
				}
				pageResults.add(result);
			}
			this.pendingPage = pageResults.isEmpty() ? null : new ResultPage(this.listed.size(), pageResults);
		}
		return this.pendingPage;
	}

	/**
	 * Adds results that the store contains, whichever host wrote them. Positions are
	 * final, so of results that overlap the list only those beyond its end are added.
	 * @param page the results
	 * @return whether any result was added
	 */
	public synchronized boolean add(ResultPage page) {
		int alreadyListed = this.listed.size() - page.first();
		if (alreadyListed < 0 || alreadyListed >= page.results().size()) {
			return false;
		}
		this.pendingPage = null;
		this.outcomeUnknown = false;
		page.results().subList(alreadyListed, page.results().size()).forEach((result) -> {
			this.listed.add(result);
			this.listedIds.add(result.id());
		});
		this.pageEnds.add(this.listed.size());
		notifyAll();
		return true;
	}

	/**
	 * Waits until a result is listed at a position or the wait times out.
	 * @param position the position
	 * @param timeoutMillis the maximum wait, in milliseconds
	 * @throws InterruptedException if the waiting thread is interrupted
	 */
	public synchronized void await(int position, long timeoutMillis) throws InterruptedException {
		long end = System.nanoTime() / 1_000_000L + timeoutMillis;
		while (this.listed.size() <= position) {
			long remainingMillis = end - System.nanoTime() / 1_000_000L;
			if (remainingMillis <= 0) {
				return;
			}
			wait(remainingMillis);
		}
	}

	/**
	 * Results at consecutive positions.
	 *
	 * @param first the position of the first result
	 * @param results the results
	 */
	public record ResultPage(int first, List<ItemResult> results) {

		public ResultPage {
			results = List.copyOf(results);
			if (first < 0 || results.isEmpty()) {
				throw new IllegalArgumentException(
						"a page needs a non-negative first position and at least one result: " + first + ", "
								+ results.size() + " results");
			}
		}

	}

}
