package org.bamboorelay.core.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The samples of a step: one group for each prompt, all with the same number of samples.
 * <p>
 * Immutable and thread-safe.
 *
 * @param expectedTokens the expected cost of a sample of each group, in tokens
 * @param samplesPerGroup the number of samples in each group
 */
public record StepPlan(List<Long> expectedTokens, int samplesPerGroup) {

	/** Maximum number of samples in a step; 8,192 are expected at the next scale. */
	public static final int MAX_SAMPLES = 65_536;

	public StepPlan {
		expectedTokens = List.copyOf(expectedTokens);
		if (samplesPerGroup <= 0) {
			throw new IllegalArgumentException("samplesPerGroup must be positive: " + samplesPerGroup);
		}
		if (expectedTokens.isEmpty() || (long) expectedTokens.size() * samplesPerGroup > MAX_SAMPLES) {
			throw new IllegalArgumentException("a step must have 1 to " + MAX_SAMPLES + " samples, but has "
					+ (long) expectedTokens.size() * samplesPerGroup);
		}
	}

	/**
	 * Returns the number of samples.
	 * @return the number of samples
	 */
	public int size() {
		return this.expectedTokens.size() * this.samplesPerGroup;
	}

	/**
	 * Returns the slots in the order in which they start. Slots with the longest expected
	 * samples come first, because a long sample that starts late delays the end of the
	 * step.
	 * @return all slots
	 */
	public List<SampleSlot> startOrder() {
		List<SampleSlot> slots = new ArrayList<>(size());
		for (int group = 0; group < this.expectedTokens.size(); group++) {
			for (int index = 0; index < this.samplesPerGroup; index++) {
				slots.add(new SampleSlot(group, index));
			}
		}
		slots.sort(Comparator.comparing((SampleSlot slot) -> -this.expectedTokens.get(slot.group())));
		return slots;
	}

}
