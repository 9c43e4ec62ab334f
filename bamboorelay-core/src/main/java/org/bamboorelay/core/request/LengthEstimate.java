package org.bamboorelay.core.request;

/**
 * Estimates the number of events of an item from the expected length that its trainer
 * names, by the lengths of the items that were completed.
 * <p>
 * Thread-safe; guarded by its own lock.
 */
public final class LengthEstimate {

	/** Weight of the newest item in the moving averages. */
	private static final double EWMA_WEIGHT = 0.05;

	/** Number of events of an item before any was completed. */
	private static final double INITIAL_EVENTS = 20;

	/**
	 * Bound of the events per unit that one item counts with, because an expected length
	 * is often far off.
	 */
	private static final double MAX_EVENTS_PER_UNIT = 4;

	private double eventsPerUnit = 1;

	private double meanEvents = INITIAL_EVENTS;

	/**
	 * Records the length of a completed item.
	 * @param expectedUnits its expected length; 0 if unknown
	 * @param events the number of its events
	 */
	public synchronized void onCompleted(long expectedUnits, long events) {
		this.meanEvents += EWMA_WEIGHT * (events - this.meanEvents);
		if (expectedUnits > 0) {
			double ratio = Math.min(MAX_EVENTS_PER_UNIT, (double) events / expectedUnits);
			this.eventsPerUnit += EWMA_WEIGHT * (ratio - this.eventsPerUnit);
		}
	}

	/**
	 * Returns the expected number of events that an item still has to generate.
	 * @param expectedUnits its expected length; 0 if unknown
	 * @param events the number of events that it has
	 * @return the number of events, at least 1
	 */
	public synchronized double remainingEvents(long expectedUnits, long events) {
		double total = (expectedUnits > 0) ? expectedUnits * this.eventsPerUnit : this.meanEvents;
		return Math.max(1, total - events);
	}

}
