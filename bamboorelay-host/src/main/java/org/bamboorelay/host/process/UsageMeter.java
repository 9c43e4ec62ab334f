package org.bamboorelay.host.process;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.bamboorelay.core.process.WindowCounts;

/**
 * Counts the requests of workspaces in usage windows, and passes the figures between
 * hosts, so that those of a host that dies are known to the others.
 * <p>
 * Thread-safe.
 */
public final class UsageMeter {

	/** Windows whose figures are passed on with each status. */
	private static final int SHARED_WINDOWS = 3;

	private final WindowCounts counts = new WindowCounts();

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
	 * Counts a request that began to run.
	 * @param workspace the workspace; empty for none, which is not counted
	 * @param beganMillis when it began, wall clock in milliseconds
	 */
	public void count(String workspace, long beganMillis) {
		if (!workspace.isEmpty()) {
			this.counts.count(beganMillis / this.windowMillis, this.incarnation, workspace);
		}
	}

	/**
	 * Returns the figures to pass on.
	 * @param now the wall clock, in milliseconds
	 * @return the figures that this host counted in the newest windows
	 */
	public Map<Long, Map<String, Map<String, Long>>> shared(long now) {
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
	 * Takes the figures of another host.
	 * @param figures the figures by window, incarnation and workspace
	 */
	public void merge(Map<Long, Map<String, Map<String, Long>>> figures) {
		figures.forEach((window, byIncarnation) -> byIncarnation
			.forEach((name, counted) -> this.counts.merge(window, name, counted)));
	}

	/**
	 * Returns the sums of a window.
	 * @param window the window's number
	 * @return requests by workspace
	 */
	public Map<String, Long> total(long window) {
		return this.counts.total(window);
	}

}
