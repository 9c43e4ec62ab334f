package org.bamboorelay.core.request;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

import org.jspecify.annotations.Nullable;

/**
 * The listed results of one submission. Results get their positions by pages that are
 * created under a condition, so two hosts that both run the submission cannot give one
 * position to two results. A page whose outcome is unknown is written again unchanged
 * until its outcome is known.
 * <p>
 * Thread-safe; guarded by its own lock.
 */
public final class ResultLog {

	private final List<ItemResult> listed = new ArrayList<>();

	private final Set<String> ids = new HashSet<>();

	private final TreeSet<Integer> pageEnds = new TreeSet<>();

	private @Nullable ResultPage pending;

	private boolean uncertain;

	/**
	 * Returns the listed results from a position on.
	 * @param after the position
	 * @return the results
	 */
	public synchronized List<ItemResult> from(int after) {
		return (after >= this.listed.size()) ? List.of()
				: List.copyOf(this.listed.subList(Math.max(0, after), this.listed.size()));
	}

	/**
	 * Returns listed results up to the end of a page, so that a copy of the list can be
	 * continued from the store, which finds pages by their first position.
	 * @param after the position to begin at
	 * @param maxCharacters the most characters of text, unless one page has more
	 * @return the results
	 */
	public synchronized List<ItemResult> wholePages(int after, int maxCharacters) {
		int end = after;
		long size = 0;
		for (int pageEnd : this.pageEnds.tailSet(after, false)) {
			for (ItemResult result : this.listed.subList(end, pageEnd)) {
				size += result.output().length();
			}
			if (end > after && size > maxCharacters) {
				break;
			}
			end = pageEnd;
		}
		return List.copyOf(this.listed.subList(Math.min(after, end), end));
	}

	/**
	 * Returns the number of listed results.
	 * @return the number
	 */
	public synchronized int size() {
		return this.listed.size();
	}

	/**
	 * Notes that the answer to a write of the pending page was lost.
	 */
	public synchronized void uncertain() {
		this.uncertain = this.pending != null;
	}

	/**
	 * Tells whether the store may hold a page that this list does not.
	 * @return whether the outcome of a write is unknown
	 */
	public synchronized boolean isUncertain() {
		return this.uncertain;
	}

	/**
	 * Returns the page to write next.
	 * @param results results that have no position yet
	 * @param maxCharacters the most characters of text in one page
	 * @return the page, or null where there is nothing to list
	 */
	public synchronized @Nullable ResultPage next(List<ItemResult> results, int maxCharacters) {
		if (this.pending == null) {
			List<ItemResult> taken = new ArrayList<>();
			long size = 0;
			for (ItemResult result : results) {
				size += result.output().length();
				if (!taken.isEmpty() && size > maxCharacters) {
					break;
				}
				if (!this.ids.contains(result.id())) {
					taken.add(result);
				}
			}
			this.pending = taken.isEmpty() ? null : new ResultPage(this.listed.size(), taken);
		}
		return this.pending;
	}

	/**
	 * Takes results that the store holds, be they this host's or another one's. Positions
	 * are fixed, so results that overlap the list add what goes beyond it.
	 * @param page the results
	 * @return whether the list grew
	 */
	public synchronized boolean add(ResultPage page) {
		int known = this.listed.size() - page.first();
		if (known < 0 || known >= page.results().size()) {
			return false;
		}
		this.pending = null;
		this.uncertain = false;
		page.results().subList(known, page.results().size()).forEach((result) -> {
			this.listed.add(result);
			this.ids.add(result.id());
		});
		this.pageEnds.add(this.listed.size());
		notifyAll();
		return true;
	}

	/**
	 * Waits until there is a result at a position.
	 * @param position the position
	 * @param millis the longest wait, in milliseconds
	 * @throws InterruptedException where the waiting thread is interrupted
	 */
	public synchronized void await(int position, long millis) throws InterruptedException {
		long end = System.nanoTime() / 1_000_000L + millis;
		while (this.listed.size() <= position) {
			long left = end - System.nanoTime() / 1_000_000L;
			if (left <= 0) {
				return;
			}
			wait(left);
		}
	}

	/**
	 * Results with fixed positions.
	 *
	 * @param first the position of the first one
	 * @param results the results
	 */
	public record ResultPage(int first, List<ItemResult> results) {

		public ResultPage {
			results = List.copyOf(results);
			if (first < 0 || results.isEmpty()) {
				throw new IllegalArgumentException(
						"a page has a position and results: " + first + ", " + results.size() + " results");
			}
		}

	}

}
