package org.bamboorelay.core.request;

/**
 * The time until which the results of a submission are due, with the pace that tells
 * which items can still be in time.
 * <p>
 * Immutable and thread-safe.
 *
 * @param millis when the results are due, wall clock in milliseconds;
 * {@link Long#MAX_VALUE} if they are not due at any time
 * @param millisPerUnit the observed time for a unit of the expected length of an item, in
 * milliseconds; 0 if it is unknown
 */
public record DueTime(long millis, double millisPerUnit) {

	/** No due time, so that items start in the order of their submission. */
	public static final DueTime NONE = new DueTime(Long.MAX_VALUE, 0);

	public DueTime {
		if (!(millisPerUnit >= 0)) {
			throw new IllegalArgumentException("millisPerUnit must not be negative: " + millisPerUnit);
		}
	}

	/**
	 * Creates the due time of a submission.
	 * @param acceptedMillis when the submission was accepted, wall clock in milliseconds
	 * @param resultDueMillis the time after which its results are due, in milliseconds; a
	 * very large value if they are not due at any time
	 * @param millisPerUnit the observed time for a unit of the expected length
	 * @return the due time
	 */
	public static DueTime of(long acceptedMillis, long resultDueMillis, double millisPerUnit) {
		return (resultDueMillis > Long.MAX_VALUE / 2) ? NONE
				: new DueTime(acceptedMillis + resultDueMillis, millisPerUnit);
	}

	/**
	 * Returns whether an item that starts now can be in time.
	 * @param nowMillis the current wall-clock time, in milliseconds
	 * @param remainingUnits the expected length of what is left of the item
	 * @return whether it can be expected to end by the due time
	 */
	public boolean canMeet(long nowMillis, long remainingUnits) {
		return nowMillis + remainingUnits * this.millisPerUnit <= this.millis;
	}

}
