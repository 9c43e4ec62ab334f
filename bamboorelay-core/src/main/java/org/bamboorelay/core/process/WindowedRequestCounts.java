package org.bamboorelay.core.process;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Number of requests of each workspace that started to run, by usage window and by the
 * incarnation of the host that counted them. Newer counts of an incarnation replace its
 * earlier ones, so the same counts may be forwarded any number of times.
 * <p>
 * Thread-safe; guarded by its own lock.
 */
public final class WindowedRequestCounts {

	/** Maximum number of windows in memory; the oldest are dropped first. */
	private static final int MAX_WINDOWS = 12;

	private final TreeMap<Long, Map<String, Map<String, Long>>> windows = new TreeMap<>();

	/**
	 * Counts one request.
	 * @param window the number of the window
	 * @param incarnation the incarnation that counts the request
	 * @param workspace the workspace
	 */
	public synchronized void count(long window, String incarnation, String workspace) {
		counts(window, incarnation).merge(workspace, 1L, Long::sum);
	}

	/**
	 * Merges the counts of another incarnation.
	 * @param window the number of the window
	 * @param incarnation the incarnation that counted
	 * @param requestCounts its cumulative counts in this window, by workspace
	 */
	public synchronized void merge(long window, String incarnation, Map<String, Long> requestCounts) {
		Map<String, Long> current = counts(window, incarnation);
		requestCounts.forEach((workspace, count) -> current.merge(workspace, count, Math::max));
	}

	/**
	 * Returns the counts of a window by incarnation and workspace.
	 * @param window the number of the window
	 * @return a copy of the counts
	 */
	public synchronized Map<String, Map<String, Long>> byIncarnation(long window) {
		Map<String, Map<String, Long>> copy = new HashMap<>();
		this.windows.getOrDefault(window, Map.of())
			.forEach((incarnation, requestCounts) -> copy.put(incarnation, Map.copyOf(requestCounts)));
		return copy;
	}

	/**
	 * Returns the counts of a window, summed over all incarnations.
	 * @param window the number of the window
	 * @return the number of requests by workspace
	 */
	public synchronized Map<String, Long> total(long window) {
		Map<String, Long> total = new TreeMap<>();
		this.windows.getOrDefault(window, Map.of())
			.values()
			.forEach((requestCounts) -> requestCounts
				.forEach((workspace, count) -> total.merge(workspace, count, Long::sum)));
		return total;
	}

	private Map<String, Long> counts(long window, String incarnation) {
		Map<String, Map<String, Long>> byIncarnation = this.windows.computeIfAbsent(window,
				(unused) -> new HashMap<>());
		while (this.windows.size() > MAX_WINDOWS) {
			this.windows.pollFirstEntry();
		}
		return byIncarnation.computeIfAbsent(incarnation, (unused) -> new HashMap<>());
	}

}
