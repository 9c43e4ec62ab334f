package org.bamboorelay.core.request;

import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;

import org.bamboorelay.core.version.HostId;

/**
 * One record of a step's chain, stored under {@code delivery/<trainer>/<step>/<seq>}. It
 * never changes once it exists.
 * <p>
 * Immutable and thread-safe.
 *
 * @param seq place in the chain, from 0
 * @param ownership ownership number of the step at the host that made the record
 * @param token unique for each attempt to create the record
 * @param samples the samples of the batch
 * @param lost whether the batch before this one was lost, so that its slots are open
 * again
 * @param last whether the step ends here
 */
public record BatchRecord(long seq, long ownership, String token, List<Entry> samples, boolean lost, boolean last) {

	public BatchRecord {
		Objects.requireNonNull(token, "token");
		samples = List.copyOf(samples);
		if (seq < 0) {
			throw new IllegalArgumentException("seq must not be negative: " + seq);
		}
		Set<SampleSlot> slots = new HashSet<>();
		for (Entry sample : samples) {
			if (!slots.add(sample.slot())) {
				throw new IllegalArgumentException("batch " + seq + " names " + sample.slot() + " twice");
			}
		}
	}

	/**
	 * A sample of a batch.
	 *
	 * @param id unique id of the sample
	 * @param slot its slot
	 * @param oldest lowest version of its spans
	 * @param tokens tokens generated
	 * @param bytes size of its JSON, in bytes
	 * @param holders the hosts that hold its JSON
	 */
	public record Entry(String id, SampleSlot slot, long oldest, long tokens, int bytes, List<HostId> holders) {

		public Entry {
			Objects.requireNonNull(id, "id");
			Objects.requireNonNull(slot, "slot");
			holders = List.copyOf(holders);
		}

	}

}
