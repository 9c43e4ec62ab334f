package org.bamboorelay.core.process;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Requests of each workspace that began to run, by usage window, as counted by several
 * incarnations of hosts. The newest figures of an incarnation replace its earlier ones,
 * so figures may be passed on any number of times.
 * <p>
 * Thread-safe; guarded by its own lock.
 */
public final class WindowCounts {

	/** Windows that are kept. */
	private static final int KEPT_WINDOWS = 12;

	private final TreeMap<Long, Map<String, Map<String, Long>>> windows = new TreeMap<>();

	/**
	 * Counts one request.
	 * @param window the window's number
	 * @param incarnation the incarnation that counts
	 * @param workspace the workspace
	 */
	public synchronized void count(long window, String incarnation, String workspace) {
		counts(window, incarnation).merge(workspace, 1L, Long::sum);
	}

	/**
	 * Takes the figures of another incarnation.
	 * @param window the window's number
	 * @param incarnation the incarnation that counted
	 * @param figures its figures
	 */
	public synchronized void merge(long window, String incarnation, Map<String, Long> figures) {
		Map<String, Long> known = counts(window, incarnation);
		figures.forEach((workspace, count) -> known.merge(workspace, count, Math::max));
	}

	/**
	 * Returns the figures of a window, by incarnation.
	 * @param window the window's number
	 * @return a copy of the figures
	 */
	public synchronized Map<String, Map<String, Long>> byIncarnation(long window) {
		Map<String, Map<String, Long>> copy = new HashMap<>();
		this.windows.getOrDefault(window, Map.of())
			.forEach((incarnation, figures) -> copy.put(incarnation, Map.copyOf(figures)));
		return copy;
	}

	/**
	 * Returns the sums of a window.
	 * @param window the window's number
	 * @return requests by workspace
	 */
	public synchronized Map<String, Long> total(long window) {
		Map<String, Long> total = new TreeMap<>();
		this.windows.getOrDefault(window, Map.of())
			.values()
			.forEach((figures) -> figures.forEach((workspace, count) -> total.merge(workspace, count, Long::sum)));
		return total;
	}

	private Map<String, Long> counts(long window, String incarnation) {
		Map<String, Map<String, Long>> byIncarnation = this.windows.computeIfAbsent(window,
				(unused) -> new HashMap<>());
		while (this.windows.size() > KEPT_WINDOWS) {
			this.windows.pollFirstEntry();
		}
		return byIncarnation.computeIfAbsent(incarnation, (unused) -> new HashMap<>());
	}

}
