package org.bamboorelay.host.process;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.bamboorelay.core.process.WindowedRequestCounts;

/**
 * Counts requests by workspace and usage window, and shares the counts between hosts, so
 * that the counts of a crashed host are known to the others.
 * <p>
 * Thread-safe.
 */
public final class UsageMeter {

	/** Number of windows whose counts are shared with each host status. */
	private static final int SHARED_WINDOWS = 3;

	private final WindowedRequestCounts counts = new WindowedRequestCounts();

	private final String incarnation;

	private final long windowMillis;

	/**
	 * Creates a meter.
	 * @param incarnation unique for each start of the process
	 * @param windowMillis the length of a window, in milliseconds
	 */
	public UsageMeter(String incarnation, long windowMillis) {
		this.incarnation = Objects.requireNonNull(incarnation, "incarnation");
		this.windowMillis = windowMillis;
	}

	/**
	 * Counts a request that started to run.
	 * @param workspace the workspace; a request without one (empty) is not counted
	 * @param startedMillis when it started, wall clock in milliseconds
	 */
	public void count(String workspace, long startedMillis) {
		if (!workspace.isEmpty()) {
			this.counts.count(startedMillis / this.windowMillis, this.incarnation, workspace);
		}
	}

	/**
	 * Returns the counts to share with other hosts.
	 * @param now the current wall-clock time, in milliseconds
	 * @return the counts of this host in the most recent windows, by window, incarnation
	 * and workspace
	 */
	public Map<Long, Map<String, Map<String, Long>>> recentCounts(long now) {
		Map<Long, Map<String, Map<String, Long>>> shared = new HashMap<>();
		long window = now / this.windowMillis;
		for (long number = window - SHARED_WINDOWS + 1; number <= window; number++) {
			Map<String, Map<String, Long>> own = this.counts.byIncarnation(number);
			own.keySet().retainAll(Set.of(this.incarnation));
			if (!own.isEmpty()) {
				shared.put(number, own);
			}
		}
		return shared;
	}

	/**
	 * Merges the counts of another host.
	 * @param figures the counts by window, incarnation and workspace
	 */
	public void merge(Map<Long, Map<String, Map<String, Long>>> figures) {
		figures.forEach((window, byIncarnation) -> byIncarnation
			.forEach((name, counted) -> this.counts.merge(window, name, counted)));
	}

	/**
	 * Returns the totals of a window.
	 * @param window the number of the window
	 * @return the number of requests by workspace
	 */
	public Map<String, Long> total(long window) {
		return this.counts.total(window);
	}

}
