package org.bamboorelay.core.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.TreeMap;

import org.jspecify.annotations.Nullable;

/**
 * Listed results of submissions that other hosts run, as far as they were read here. The
 * positions of all pages are known for as long as the submission is; the results of the
 * pages that were not used for the longest time are dropped when all results exceed a
 * size, and can be read again from the first position of their page.
 * <p>
 * Thread-safe; guarded by its own lock.
 */
public final class ResultCache {

	/**
	 * Heap memory that a result occupies in addition to its text, in bytes: its objects
	 * and those of its id, score and versions.
	 */
	private static final int RESULT_OVERHEAD_BYTES = 400;

	private static final char LAST_LATIN1 = 0xFF;

	private final long maxBytes;

	private final Map<String, TreeMap<Integer, Page>> submissions = new HashMap<>();

	/** The pages whose results are kept, least recently used first. */
	private final Map<Page, Page> kept = new LinkedHashMap<>(16, 0.75F, true);

	private long keptBytes;

	private ResultCache(long maxBytes) {
		this.maxBytes = maxBytes;
	}

	/**
	 * Creates an empty cache.
	 * @param maxBytes the heap memory of all results, in bytes; exceeded only by a single
	 * page
	 * @return the cache
	 */
	public static ResultCache of(long maxBytes) {
		if (maxBytes <= 0) {
			throw new IllegalArgumentException("maxBytes must be positive: " + maxBytes);
		}
		return new ResultCache(maxBytes);
	}

	/**
	 * Returns how many results of a submission are known to be listed.
	 * @param submission the submission
	 * @return the position after the last of them
	 */
	public synchronized int size(String submission) {
		TreeMap<Integer, Page> pages = this.submissions.get(submission);
		return (pages == null || pages.isEmpty()) ? 0 : pages.lastEntry().getValue().end;
	}

	/**
	 * Returns the results from a position on that are in memory.
	 * @param submission the submission
	 * @param start the position of the first result
	 * @param maxBytes the heap memory of the pages after which no further page is taken,
	 * in bytes
	 * @return the results; empty if the page of the first one is unknown or was dropped
	 */
	public synchronized List<ItemResult> resultsFrom(String submission, int start, long maxBytes) {
		List<ItemResult> results = new ArrayList<>();
		long bytes = 0;
		Page page = page(submission, start);
		while (page != null && page.results != null && bytes <= maxBytes) {
			this.kept.get(page);
			results.addAll(page.results.subList(Math.max(0, start - page.first), page.results.size()));
			bytes += page.bytes;
			page = page(submission, page.end);
		}
		return results;
	}

	/**
	 * Returns the first position of the page with a result.
	 * @param submission the submission
	 * @param position the position of the result
	 * @return the position from which the page can be read again; empty if no result is
	 * known at the position
	 */
	public synchronized OptionalInt pageStart(String submission, int position) {
		Page page = page(submission, position);
		return (page != null) ? OptionalInt.of(page.first) : OptionalInt.empty();
	}

	/**
	 * Adds results that the store contains: those beyond the known ones, and those that
	 * were dropped. Positions are final, so others are ignored.
	 * @param submission the submission
	 * @param added the results, which begin at the first position of a page
	 * @return whether any result was added
	 */
	public synchronized boolean add(String submission, ResultLog.ResultPage added) {
		TreeMap<Integer, Page> pages = this.submissions.computeIfAbsent(submission, (unused) -> new TreeMap<>());
		boolean changed = false;
		int position = added.first();
		List<ItemResult> rest = added.results();
		while (!rest.isEmpty() && position <= size(submission)) {
			Page page = page(submission, position);
			if (page == null) {
				page = new Page(position, position + rest.size());
				pages.put(position, page);
			}
			int count = Math.min(rest.size(), page.end - position);
			if (page.first == position && page.results == null) {
				if (position + count < page.end) {
					pages.put(position + count, new Page(position + count, page.end));
					page.end = position + count;
				}
				keep(page, rest.subList(0, count));
				changed = true;
			}
			position += count;
			rest = rest.subList(count, rest.size());
		}
		return changed;
	}

	/**
	 * Removes a submission.
	 * @param submission the submission
	 */
	public synchronized void remove(String submission) {
		TreeMap<Integer, Page> pages = this.submissions.remove(submission);
		if (pages != null) {
			pages.values().forEach(this::drop);
		}
	}

	/**
	 * Returns the heap memory of the results in the cache.
	 * @return the number of bytes
	 */
	public synchronized long keptBytes() {
		return this.keptBytes;
	}

	private @Nullable Page page(String submission, int position) {
		TreeMap<Integer, Page> pages = this.submissions.get(submission);
		Map.Entry<Integer, Page> entry = (pages != null) ? pages.floorEntry(position) : null;
		return (entry != null && position < entry.getValue().end) ? entry.getValue() : null;
	}

	private void keep(Page page, List<ItemResult> results) {
		page.results = List.copyOf(results);
		page.bytes = results.stream().mapToLong(ResultCache::sizeBytes).sum();
		this.keptBytes += page.bytes;
		this.kept.put(page, page);
		while (this.keptBytes > this.maxBytes && this.kept.size() > 1) {
			drop(this.kept.keySet().iterator().next());
		}
	}

	private void drop(Page page) {
		if (this.kept.remove(page) != null) {
			this.keptBytes -= page.bytes;
			page.results = null;
		}
	}

	private static long sizeBytes(ItemResult result) {
		String output = result.output();
		int bytesPerCharacter = output.chars().allMatch((character) -> character <= LAST_LATIN1) ? 1 : 2;
		return RESULT_OVERHEAD_BYTES + (long) bytesPerCharacter * output.length();
	}

	/**
	 * Results at consecutive positions. Each page is a key of its own.
	 */
	private static final class Page {

		private final int first;

		private int end;

		private @Nullable List<ItemResult> results;

		private long bytes;

		private Page(int first, int end) {
			this.first = first;
			this.end = end;
		}

	}

}
