package org.bamboorelay.core.request;

/**
 * Place of a sample in a step. Several attempts can fill a slot; at most one is
 * delivered.
 * <p>
 * Immutable and thread-safe.
 *
 * @param group number of the prompt, from 0
 * @param index number of the sample in its group, from 0
 */
public record SampleSlot(int group, int index) {

	public SampleSlot {
		if (group < 0 || index < 0) {
			throw new IllegalArgumentException("group and index must not be negative: " + group + ", " + index);
		}
	}

}
