package org.bamboorelay.core.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.LongToDoubleFunction;

/**
 * Work of a service by the time until it is due, in milliseconds of one slot.
 * <p>
 * Immutable and thread-safe.
 *
 * @param slotMillis the work due within each of the coming {@link #SECONDS} seconds; the
 * last figure includes all work that is due later
 */
public record DueWork(List<Long> slotMillis) {

	/** Number of seconds that are told apart. */
	public static final int SECONDS = 10;

	/** No work. */
	public static final DueWork NONE = DueWork.of(List.of());

	/**
	 * Time until work without a due time is due, in milliseconds: two of the usual
	 * intervals between submissions.
	 */
	public static final long DEFAULT_DUE_MILLIS = 8_000;

	/** Time of an item about which nothing is known, in milliseconds of one slot. */
	private static final long UNKNOWN_ITEM_MILLIS = 1_000;

	/**
	 * Time that an additional slot must have until work is due to count as a help, in
	 * milliseconds.
	 */
	private static final long MIN_USEFUL_MILLIS = 1_000;

	private static final long MILLIS_PER_SECOND = 1_000;

	/**
	 * Maximum work of a figure, in milliseconds of one slot, so that sums of faulty
	 * figures of other hosts don't overflow and the planner's loop stays short.
	 */
	private static final long MAX_SLOT_MILLIS = 100_000_000L;

	public DueWork {
		slotMillis = List.copyOf(slotMillis);
		if (slotMillis.size() != SECONDS) {
			throw new IllegalArgumentException("work must have " + SECONDS + " figures: " + slotMillis.size());
		}
	}

	/**
	 * Returns the work that another host reported. Missing figures count as 0, and
	 * figures out of bounds as the nearest bound.
	 * @param slotMillis the work due within each of the coming seconds
	 * @return the work
	 */
	public static DueWork of(List<Long> slotMillis) {
		List<Long> figures = new ArrayList<>();
		for (int second = 0; second < SECONDS; second++) {
			Long figure = (second < slotMillis.size()) ? slotMillis.get(second) : Long.valueOf(0);
			figures.add(Math.max(0, Math.min(MAX_SLOT_MILLIS, Objects.requireNonNullElse(figure, 0L))));
		}
		return new DueWork(figures);
	}

	/**
	 * Returns the work of items about which only their number is known.
	 * @param items the number of items
	 * @return the work
	 */
	public static DueWork ofItems(int items) {
		return NONE.plus(DEFAULT_DUE_MILLIS, items * UNKNOWN_ITEM_MILLIS);
	}

	/**
	 * Returns this work and more work.
	 * @param dueMillis the time until the added work is due, in milliseconds; negative if
	 * it is overdue
	 * @param workMillis the added work, in milliseconds of one slot
	 * @return the sum
	 */
	public DueWork plus(long dueMillis, long workMillis) {
		int second = (int) Math.max(0, Math.min(SECONDS - 1, dueMillis / MILLIS_PER_SECOND));
		List<Long> figures = new ArrayList<>(this.slotMillis);
		figures.set(second, figures.get(second) + workMillis);
		return of(figures);
	}

	/**
	 * Returns this work and that of another host.
	 * @param other the other work
	 * @return the sum
	 */
	public DueWork plus(DueWork other) {
		List<Long> figures = new ArrayList<>();
		for (int second = 0; second < SECONDS; second++) {
			figures.add(this.slotMillis.get(second) + other.slotMillis.get(second));
		}
		return of(figures);
	}

	/**
	 * Returns all work, regardless of when it is due.
	 * @return the work, in milliseconds of one slot
	 */
	public long totalMillis() {
		return this.slotMillis.stream().mapToLong(Long::longValue).sum();
	}

	/**
	 * Returns the number of slots that complete the work in time.
	 * @param horizonMillis the time until which work counts, in milliseconds
	 * @param earliestMillis the time before which no work counts as due, in milliseconds
	 * @param marginMillis the time between the end of the work and the time when it is
	 * due, in milliseconds; less than the earliest time
	 * @return the number of slots, if all of them work all the time
	 */
	public double requiredSlots(long horizonMillis, long earliestMillis, long marginMillis) {
		if (marginMillis >= earliestMillis) {
			throw new IllegalArgumentException(
					"marginMillis must be less than " + earliestMillis + ": " + marginMillis);
		}
		double required = 0;
		long workMillis = 0;
		for (int second = 0; second < SECONDS && second * MILLIS_PER_SECOND <= horizonMillis; second++) {
			workMillis += this.slotMillis.get(second);
			long dueMillis = Math.max(earliestMillis, second * MILLIS_PER_SECOND);
			required = Math.max(required, (double) workMillis / (dueMillis - marginMillis));
		}
		return required;
	}

	/**
	 * Returns the number of additional slots that complete in time what the existing ones
	 * can't. Work that is due before additional slots can help doesn't count.
	 * @param capacity the work that the existing slots complete within a time, both in
	 * milliseconds
	 * @param leadMillis the time until additional slots begin, in milliseconds
	 * @param marginMillis the time between the end of the work and the time when it is
	 * due, in milliseconds
	 * @return the number of slots, if all of them work all the time
	 */
	public double missingSlots(LongToDoubleFunction capacity, long leadMillis, long marginMillis) {
		double missing = 0;
		long workMillis = 0;
		for (int second = 0; second < SECONDS; second++) {
			workMillis += this.slotMillis.get(second);
			long endMillis = second * MILLIS_PER_SECOND - marginMillis;
			if (endMillis - leadMillis >= MIN_USEFUL_MILLIS) {
				missing = Math.max(missing,
						(workMillis - capacity.applyAsDouble(endMillis)) / (endMillis - leadMillis));
			}
		}
		return missing;
	}

}
