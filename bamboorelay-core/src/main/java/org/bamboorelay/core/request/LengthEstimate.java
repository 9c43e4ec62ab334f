package org.bamboorelay.core.request;

/**
 * Estimates the number of events of an item from the expected length that its trainer
 * names, by the lengths of the items that were completed. The unit of expected lengths is
 * not known; an event may consist of several units.
 * <p>
 * Thread-safe; guarded by its own lock.
 */
public final class LengthEstimate {

	/** Minimum weight of the newest item in the moving averages. */
	private static final double MIN_EWMA_WEIGHT = 0.02;

	/** Number of completed items from which expected lengths are considered. */
	private static final int MIN_SAMPLES = 16;

	/** Number of events of an item before any was completed. */
	private static final double INITIAL_EVENTS = 20;

	private long samples;

	private long unitSamples;

	private double meanEvents = INITIAL_EVENTS;

	private double meanEventsOfUnits;

	private double meanUnits;

	/**
	 * Records the length of a completed item.
	 * @param expectedUnits its expected length; 0 if unknown
	 * @param events the number of its events
	 */
	public synchronized void onCompleted(long expectedUnits, long events) {
		this.meanEvents += weight(++this.samples) * (events - this.meanEvents);
		if (expectedUnits > 0) {
			double weight = weight(++this.unitSamples);
			this.meanEventsOfUnits += weight * (events - this.meanEventsOfUnits);
			this.meanUnits += weight * (expectedUnits - this.meanUnits);
		}
	}

	/**
	 * Returns the expected number of events that an item still has to generate.
	 * @param expectedUnits its expected length; 0 if unknown
	 * @param events the number of events that it has
	 * @return the number of events, at least 1
	 */
	public synchronized double remainingEvents(long expectedUnits, long events) {
		boolean hintUsable = expectedUnits > 0 && this.unitSamples >= MIN_SAMPLES;
		double total = hintUsable ? expectedUnits * this.meanEventsOfUnits / this.meanUnits : this.meanEvents;
		return Math.max(1, total - events);
	}

	private static double weight(long samples) {
		return Math.max(MIN_EWMA_WEIGHT, 1.0 / samples);
	}

}
