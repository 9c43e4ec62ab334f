package org.bamboorelay.core.request;

import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;

import org.bamboorelay.core.version.HostId;

/**
 * One record in the chain of batch records of a step, stored under
 * {@code delivery/<trainer>/<step>/<seq>}. A record is never modified after creation.
 * <p>
 * Immutable and thread-safe.
 *
 * @param seq position in the chain, from 0
 * @param ownership ownership number of the step at the host that created the record
 * @param token unique token of each attempt to create the record
 * @param samples the samples of the batch
 * @param lost whether the previous batch was lost, so that its slots have to be filled
 * again
 * @param last whether this is the last record of the step
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
				throw new IllegalArgumentException("batch " + seq + " contains " + sample.slot() + " more than once");
			}
		}
	}

	/**
	 * A sample of a batch.
	 *
	 * @param id unique id of the sample
	 * @param slot its slot
	 * @param oldest lowest weight version of its spans
	 * @param tokens number of generated tokens
	 * @param bytes size of its JSON form, in bytes
	 * @param holders the hosts that hold its JSON form
	 */
	public record Entry(String id, SampleSlot slot, long oldest, long tokens, int bytes, List<HostId> holders) {

		public Entry {
			Objects.requireNonNull(id, "id");
			Objects.requireNonNull(slot, "slot");
			holders = List.copyOf(holders);
		}

	}

}
