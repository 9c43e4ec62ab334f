package org.bamboorelay.core.request;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Assigns the samples of a step to batches, so that each slot is delivered at most once.
 * <p>
 * The records of a step form a chain. Record n is created with a conditional write, and
 * only by a host that has applied records 0 to n-1, and it contains no slot that those
 * records deliver. By induction over n, no slot is delivered twice, whichever host
 * creates a record. A former owner that was frozen either fails to create record n and
 * applies the record of the new owner, or succeeds, and the new owner applies the record
 * of the former one. The ownership number in a record only tells a former owner to stop.
 * <p>
 * Record n+1 also settles batch n: it either acknowledges the batch or declares it lost.
 * Only the trainer knows whether it received the batch, so only its fetch of batch n+1
 * decides this. A host that cannot reach the holders of a batch must not declare it lost,
 * because it may itself be isolated while another host serves the batch.
 * <p>
 * Not thread-safe; each step has one instance, guarded by the lock of its runner.
 */
public final class DeliveryState {

	/**
	 * Maximum size of a batch, in bytes of JSON, so that it fits in a peer link frame.
	 */
	public static final int MAX_BATCH_BYTES = 3_000_000;

	/**
	 * Maximum number of samples in a batch. A record needs at most about 500 bytes for
	 * each sample, and the store accepts values of up to 1 MB.
	 */
	public static final int MAX_BATCH_SAMPLES = 1_024;

	private final int slots;

	private final long ownership;

	private final List<BatchRecord> chain = new ArrayList<>();

	private final Set<SampleSlot> deliveredSlots = new HashSet<>();

	private final Map<SampleSlot, BatchRecord.Entry> ready = new LinkedHashMap<>();

	private DeliveryState(int slots, long ownership) {
		this.slots = slots;
		this.ownership = ownership;
	}

	/**
	 * Creates the state of a step that has no records yet.
	 * @param slots the number of samples in the step
	 * @param ownership the ownership number that this host has for the step
	 * @return the state
	 */
	public static DeliveryState of(int slots, long ownership) {
		if (slots <= 0) {
			throw new IllegalArgumentException("slots must be positive: " + slots);
		}
		return new DeliveryState(slots, ownership);
	}

	/**
	 * Returns the position of the next record in the chain.
	 * @return the sequence number
	 */
	public long nextSequence() {
		return this.chain.size();
	}

	/**
	 * Returns whether the last record ends the step.
	 * @return whether the step is complete
	 */
	public boolean isComplete() {
		return !this.chain.isEmpty() && this.chain.get(this.chain.size() - 1).last();
	}

	/**
	 * Returns the slots that the applied records deliver.
	 * @return the slots
	 */
	public Set<SampleSlot> deliveredSlots() {
		return Set.copyOf(this.deliveredSlots);
	}

	/**
	 * Adds a sample that two hosts hold, and which is ready for delivery.
	 * @param sample the sample
	 * @return the actions to carry out
	 */
	public List<Action> ready(BatchRecord.Entry sample) {
		if (this.deliveredSlots.contains(sample.slot()) || this.ready.containsKey(sample.slot())) {
			return List.of(new Action.Drop(List.of(sample)));
		}
		this.ready.put(sample.slot(), sample);
		return List.of();
	}

	/**
	 * Applies the record that the store holds at the next position, whichever host
	 * created it.
	 * @param record the record
	 * @return the actions to carry out
	 */
	public List<Action> applyRecord(BatchRecord record) {
		if (record.seq() != nextSequence()) {
			throw new IllegalArgumentException("record " + record.seq() + " does not follow " + (nextSequence() - 1));
		}
		List<Action> actions = new ArrayList<>();
		if (!this.chain.isEmpty()) {
			BatchRecord previous = this.chain.get(this.chain.size() - 1);
			List<SampleSlot> previousSlots = previous.samples().stream().map(BatchRecord.Entry::slot).toList();
			if (record.lost()) {
				previousSlots.forEach(this.deliveredSlots::remove);
				actions.add(new Action.Regenerate(previousSlots));
			}
			if (!previous.samples().isEmpty()) {
				actions.add(new Action.Drop(previous.samples()));
			}
		}
		this.chain.add(record);
		List<BatchRecord.Entry> superseded = new ArrayList<>();
		for (BatchRecord.Entry sample : record.samples()) {
			this.deliveredSlots.add(sample.slot());
			BatchRecord.Entry ownSample = this.ready.remove(sample.slot());
			if (ownSample != null && !ownSample.id().equals(sample.id())) {
				superseded.add(ownSample);
			}
		}
		if (!superseded.isEmpty()) {
			actions.add(new Action.Drop(superseded));
		}
		actions.add(new Action.Close(record.samples().stream().map(BatchRecord.Entry::slot).toList()));
		return actions;
	}

	/**
	 * Decides the response to a fetch.
	 * @param seq the sequence number of the requested batch
	 * @param lostBefore whether the trainer declares the previous batch lost because it
	 * did not receive it; false acknowledges that batch
	 * @param maxSamples the maximum number of samples that the trainer accepts
	 * @param newestVersion the trainer's newest weight version
	 * @param bound the staleness bound in force
	 * @param token a unique token for a new record
	 * @return the actions to carry out; exactly one of them is a response or a proposal
	 */
	public List<Action> fetch(long seq, boolean lostBefore, int maxSamples, long newestVersion, StalenessBound bound,
			String token) {
		List<Action> actions = new ArrayList<>();
		if (seq < nextSequence()) {
			actions.add(respondFromRecord(seq, newestVersion, bound));
			return actions;
		}
		if (isComplete()) {
			actions.add(new Action.Complete());
			return actions;
		}
		if (seq > nextSequence()) {
			actions.add(new Action.OutOfOrder(nextSequence()));
			return actions;
		}
		if (lostBefore && !this.chain.isEmpty() && !this.chain.get(this.chain.size() - 1).samples().isEmpty()) {
			actions.add(propose(token, List.of(), true, false));
			return actions;
		}
		if (this.deliveredSlots.size() == this.slots) {
			actions.add(propose(token, List.of(), false, true));
			return actions;
		}
		discardStale(newestVersion, bound, actions);
		List<BatchRecord.Entry> samples = new ArrayList<>();
		long bytes = 0;
		for (BatchRecord.Entry sample : this.ready.values()) {
			bytes += sample.bytes();
			if (samples.size() == Math.min(maxSamples, MAX_BATCH_SAMPLES)
					|| (!samples.isEmpty() && bytes > MAX_BATCH_BYTES)) {
				break;
			}
			samples.add(sample);
		}
		actions.add(samples.isEmpty() ? new Action.Pending() : propose(token, samples, false, false));
		return actions;
	}

	private Action respondFromRecord(long seq, long newestVersion, StalenessBound bound) {
		BatchRecord record = this.chain.get((int) seq);
		if (record.last()) {
			return new Action.Complete();
		}
		if (seq + 1 < nextSequence() && this.chain.get((int) seq + 1).lost()) {
			return new Action.Gone(seq);
		}
		List<BatchRecord.Entry> samples = new ArrayList<>();
		List<BatchRecord.Entry> expired = new ArrayList<>();
		record.samples()
			.forEach((sample) -> (bound.isWithin(sample.oldest(), newestVersion) ? samples : expired).add(sample));
		return new Action.Serve(record, samples, expired);
	}

	private void discardStale(long newestVersion, StalenessBound bound, List<Action> actions) {
		List<BatchRecord.Entry> staleSamples = this.ready.values()
			.stream()
			.filter((sample) -> !bound.isWithin(sample.oldest(), newestVersion))
			.toList();
		if (!staleSamples.isEmpty()) {
			staleSamples.forEach((sample) -> this.ready.remove(sample.slot()));
			actions.add(new Action.Drop(staleSamples));
			actions.add(new Action.Regenerate(staleSamples.stream().map(BatchRecord.Entry::slot).toList()));
		}
	}

	private Action propose(String token, List<BatchRecord.Entry> samples, boolean lost, boolean last) {
		return new Action.Propose(new BatchRecord(nextSequence(), this.ownership, token, samples, lost, last));
	}

	/**
	 * An action that the owner of a step carries out for its delivery.
	 */
	public sealed interface Action {

		/**
		 * Creates a record with a conditional write, then applies the record that the
		 * store holds.
		 *
		 * @param record the record
		 */
		record Propose(BatchRecord record) implements Action {
		}

		/**
		 * Responds with a batch.
		 *
		 * @param record the record of the batch
		 * @param samples the samples to send
		 * @param expired samples that are withheld because they have exceeded the
		 * staleness bound since the record was created
		 */
		record Serve(BatchRecord record, List<BatchRecord.Entry> samples,
				List<BatchRecord.Entry> expired) implements Action {
		}

		/** Responds that no sample is ready. */
		record Pending() implements Action {
		}

		/** Responds that the step is complete. */
		record Complete() implements Action {
		}

		/**
		 * Responds that the trainer has declared the batch lost.
		 *
		 * @param seq the sequence number of the batch
		 */
		record Gone(long seq) implements Action {
		}

		/**
		 * Responds that an earlier batch than the requested one has not been fetched.
		 *
		 * @param nextSequence the sequence number of the next batch
		 */
		record OutOfOrder(long nextSequence) implements Action {
		}

		/**
		 * Discards samples at their holders.
		 *
		 * @param samples the samples
		 */
		record Drop(Collection<BatchRecord.Entry> samples) implements Action {
		}

		/**
		 * Generates new samples for slots.
		 *
		 * @param slots the slots
		 */
		record Regenerate(Collection<SampleSlot> slots) implements Action {
		}

		/**
		 * Stops generating samples for slots.
		 *
		 * @param slots the slots
		 */
		record Close(Collection<SampleSlot> slots) implements Action {
		}

	}

}
