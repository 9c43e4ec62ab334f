package org.bamboorelay.core.request;

/**
 * The position of a sample in a step. Several attempts can generate a sample for a slot;
 * at most one of the samples is delivered.
 * <p>
 * Immutable and thread-safe.
 *
 * @param group the index of the prompt, from 0
 * @param index the index of the sample in its group, from 0
 */
public record SampleSlot(int group, int index) {

	public SampleSlot {
		if (group < 0 || index < 0) {
			throw new IllegalArgumentException("group and index must not be negative: " + group + ", " + index);
		}
	}

}
