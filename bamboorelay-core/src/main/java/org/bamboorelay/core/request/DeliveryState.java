package org.bamboorelay.core.request;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides which samples of a step go into which batch.
 * <p>
 * The records of a step form a chain: record n is created conditionally, and only by a
 * host that has applied records 0 to n-1. It names no slot that one of them delivers. So
 * by induction over n no slot is delivered twice, whichever host creates a record: a
 * former owner that was frozen either loses the creation of record n and applies the
 * winner's, or wins it, and then the new owner applies the former owner's. The ownership
 * number in a record only tells a former owner to stop.
 * <p>
 * The record n+1 also decides the fate of batch n. It either acknowledges the batch or
 * says that it was lost. Only the trainer knows whether it received the batch, so only
 * its fetch of batch n+1 decides this. A host that does not reach the holders may be cut
 * off, while another one serves the batch.
 * <p>
 * Not thread-safe; each step has one, under the lock of its runner.
 */
public final class DeliveryState {

	/** Largest batch, in bytes of JSON; it fits a frame of the peer link. */
	public static final int MAX_BATCH_BYTES = 3_000_000;

	/**
	 * Most samples in a batch. A record takes at most about 500 bytes for a sample, and
	 * the store takes 1 MB.
	 */
	public static final int MAX_BATCH_SAMPLES = 1_024;

	private final int slots;

	private final long ownership;

	private final List<BatchRecord> chain = new ArrayList<>();

	private final Set<SampleSlot> delivered = new HashSet<>();

	private final Map<SampleSlot, BatchRecord.Entry> ready = new LinkedHashMap<>();

	private DeliveryState(int slots, long ownership) {
		this.slots = slots;
		this.ownership = ownership;
	}

	/**
	 * Creates the state of a step without records.
	 * @param slots the number of samples in the step
	 * @param ownership this host's ownership number of the step
	 * @return the state
	 */
	public static DeliveryState of(int slots, long ownership) {
		if (slots <= 0) {
			throw new IllegalArgumentException("slots must be positive: " + slots);
		}
		return new DeliveryState(slots, ownership);
	}

	/**
	 * Returns the place of the next record.
	 * @return the sequence number
	 */
	public long next() {
		return this.chain.size();
	}

	/**
	 * Tells whether the last record ends the step.
	 * @return whether the step is complete
	 */
	public boolean isComplete() {
		return !this.chain.isEmpty() && this.chain.get(this.chain.size() - 1).last();
	}

	/**
	 * Returns the slots that records deliver.
	 * @return the slots
	 */
	public Set<SampleSlot> delivered() {
		return Set.copyOf(this.delivered);
	}

	/**
	 * Adds a sample that two hosts hold.
	 * @param sample the sample
	 * @return what is to be done
	 */
	public List<Action> ready(BatchRecord.Entry sample) {
		if (this.delivered.contains(sample.slot()) || this.ready.containsKey(sample.slot())) {
			return List.of(new Action.Drop(List.of(sample)));
		}
		this.ready.put(sample.slot(), sample);
		return List.of();
	}

	/**
	 * Applies the record that the store holds at the next place, whoever made it.
	 * @param record the record
	 * @return what is to be done
	 */
	public List<Action> recorded(BatchRecord record) {
		if (record.seq() != next()) {
			throw new IllegalArgumentException("record " + record.seq() + " does not follow " + (next() - 1));
		}
		List<Action> actions = new ArrayList<>();
		if (!this.chain.isEmpty()) {
			BatchRecord before = this.chain.get(this.chain.size() - 1);
			List<SampleSlot> slotsBefore = before.samples().stream().map(BatchRecord.Entry::slot).toList();
			if (record.lost()) {
				slotsBefore.forEach(this.delivered::remove);
				actions.add(new Action.Regenerate(slotsBefore));
			}
			if (!before.samples().isEmpty()) {
				actions.add(new Action.Drop(before.samples()));
			}
		}
		this.chain.add(record);
		List<BatchRecord.Entry> superseded = new ArrayList<>();
		for (BatchRecord.Entry sample : record.samples()) {
			this.delivered.add(sample.slot());
			BatchRecord.Entry own = this.ready.remove(sample.slot());
			if (own != null && !own.id().equals(sample.id())) {
				superseded.add(own);
			}
		}
		if (!superseded.isEmpty()) {
			actions.add(new Action.Drop(superseded));
		}
		actions.add(new Action.Close(record.samples().stream().map(BatchRecord.Entry::slot).toList()));
		return actions;
	}

	/**
	 * Decides how a fetch is answered.
	 * @param seq the batch that is asked for
	 * @param lostBefore whether the trainer gives up the batch before, which it did not
	 * receive; false acknowledges that batch
	 * @param max the most samples that the trainer takes
	 * @param newest the trainer's newest version
	 * @param bound the staleness bound in force
	 * @param token unique token for a new record
	 * @return what is to be done; exactly one action is an answer or a proposal
	 */
	public List<Action> fetch(long seq, boolean lostBefore, int max, long newest, StalenessBound bound, String token) {
		List<Action> actions = new ArrayList<>();
		if (seq < next()) {
			actions.add(answer(seq, newest, bound));
			return actions;
		}
		if (isComplete()) {
			actions.add(new Action.Complete());
			return actions;
		}
		if (seq > next()) {
			actions.add(new Action.OutOfOrder(next()));
			return actions;
		}
		if (lostBefore && !this.chain.isEmpty() && !this.chain.get(this.chain.size() - 1).samples().isEmpty()) {
			actions.add(propose(token, List.of(), true, false));
			return actions;
		}
		if (this.delivered.size() == this.slots) {
			actions.add(propose(token, List.of(), false, true));
			return actions;
		}
		discardOld(newest, bound, actions);
		List<BatchRecord.Entry> samples = new ArrayList<>();
		long bytes = 0;
		for (BatchRecord.Entry sample : this.ready.values()) {
			bytes += sample.bytes();
			if (samples.size() == Math.min(max, MAX_BATCH_SAMPLES) || (!samples.isEmpty() && bytes > MAX_BATCH_BYTES)) {
				break;
			}
			samples.add(sample);
		}
		actions.add(samples.isEmpty() ? new Action.Pending() : propose(token, samples, false, false));
		return actions;
	}

	private Action answer(long seq, long newest, StalenessBound bound) {
		BatchRecord record = this.chain.get((int) seq);
		if (record.last()) {
			return new Action.Complete();
		}
		if (seq + 1 < next() && this.chain.get((int) seq + 1).lost()) {
			return new Action.Gone(seq);
		}
		List<BatchRecord.Entry> samples = new ArrayList<>();
		List<BatchRecord.Entry> expired = new ArrayList<>();
		record.samples().forEach((sample) -> (bound.isWithin(sample.oldest(), newest) ? samples : expired).add(sample));
		return new Action.Serve(record, samples, expired);
	}

	private void discardOld(long newest, StalenessBound bound, List<Action> actions) {
		List<BatchRecord.Entry> old = this.ready.values()
			.stream()
			.filter((sample) -> !bound.isWithin(sample.oldest(), newest))
			.toList();
		if (!old.isEmpty()) {
			old.forEach((sample) -> this.ready.remove(sample.slot()));
			actions.add(new Action.Drop(old));
			actions.add(new Action.Regenerate(old.stream().map(BatchRecord.Entry::slot).toList()));
		}
	}

	private Action propose(String token, List<BatchRecord.Entry> samples, boolean lost, boolean last) {
		return new Action.Propose(new BatchRecord(next(), this.ownership, token, samples, lost, last));
	}

	/**
	 * What is to be done for the delivery of a step.
	 */
	public sealed interface Action {

		/**
		 * Creates a record conditionally, and applies what the store then holds.
		 *
		 * @param record the record
		 */
		record Propose(BatchRecord record) implements Action {
		}

		/**
		 * Answers with a batch.
		 *
		 * @param record the record of the batch
		 * @param samples the samples to send
		 * @param expired samples that passed the bound since the record, withheld
		 */
		record Serve(BatchRecord record, List<BatchRecord.Entry> samples,
				List<BatchRecord.Entry> expired) implements Action {
		}

		/** Answers that no sample is ready. */
		record Pending() implements Action {
		}

		/** Answers that the step is complete. */
		record Complete() implements Action {
		}

		/**
		 * Answers that the trainer gave the batch up.
		 *
		 * @param seq the batch
		 */
		record Gone(long seq) implements Action {
		}

		/**
		 * Answers that a batch before the one asked for was not fetched.
		 *
		 * @param next the next batch
		 */
		record OutOfOrder(long next) implements Action {
		}

		/**
		 * Drops samples at their holders.
		 *
		 * @param samples the samples
		 */
		record Drop(Collection<BatchRecord.Entry> samples) implements Action {
		}

		/**
		 * Generates samples for slots again.
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
