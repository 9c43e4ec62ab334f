package org.bamboorelay.core.process;

import java.util.Objects;

/**
 * The work that an engine has to do for an item of a submission.
 * <p>
 * Immutable and thread-safe.
 *
 * @param promptTokens the number of tokens that the engine has to prefill; 0 if unknown
 * @param sharedTokens the number of these tokens that the group of the item shares
 * @param reservedTokens the number of tokens that the item may occupy in the memory of
 * the engine
 * @param expectedEvents the expected number of events; 0 if unknown
 * @param group the group of the item; empty for none
 * @param lastOfGroup whether no other item of its group waits to be started
 */
public record ItemWork(long promptTokens, long sharedTokens, long reservedTokens, long expectedEvents, String group,
		boolean lastOfGroup) {

	/** Expected number of further events of a text that has just become too long. */
	private static final long MIN_FURTHER_EVENTS = 8;

	/**
	 * Maximum expected number of further events of a text that is longer than expected.
	 */
	private static final long MAX_FURTHER_EVENTS = 40;

	public ItemWork {
		Objects.requireNonNull(group, "group");
		if (sharedTokens < 0 || promptTokens < sharedTokens) {
			throw new IllegalArgumentException(
					"sharedTokens must be between 0 and " + promptTokens + ": " + sharedTokens);
		}
		if (reservedTokens < 0 || expectedEvents < 0) {
			throw new IllegalArgumentException("reservedTokens and expectedEvents must not be negative: "
					+ reservedTokens + ", " + expectedEvents);
		}
	}

	/**
	 * Returns the work that remains after a part of the text. A text that is already
	 * longer than expected is expected to become as long again, within bounds, because
	 * the estimate is right only at the median.
	 * @param events the number of events of the part
	 * @return the work, to which processing the part again belongs
	 */
	public ItemWork after(long events) {
		long further = (events < this.expectedEvents) ? this.expectedEvents - events
				: Math.max(MIN_FURTHER_EVENTS, Math.min(MAX_FURTHER_EVENTS, events));
		return new ItemWork(this.promptTokens + events, this.sharedTokens, this.reservedTokens, further, this.group,
				this.lastOfGroup);
	}

}
