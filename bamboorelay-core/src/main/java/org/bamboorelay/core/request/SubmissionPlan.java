package org.bamboorelay.core.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.jspecify.annotations.Nullable;

/**
 * State of the items of one submission at the host that runs it: which item starts next,
 * what each run generated, and when an item has a result. It answers for one submission;
 * which endpoints have room is for others to say.
 * <p>
 * Thread-safe; guarded by its own lock.
 */
public final class SubmissionPlan {

	/** Waits before an item starts again after a failed run, in milliseconds. */
	private static final long RETRY_MILLIS = 30;

	private final Submission submission;

	private final int maxAttempts;

	private final boolean singleVersion;

	private final long acceptedMillis;

	private final long giveUpMillis;

	private final List<Integer> order;

	private final Map<String, Item> items = new HashMap<>();

	private final List<ItemResult> results = new ArrayList<>();

	private boolean ended;

	private SubmissionPlan(Submission submission, int maxAttempts, boolean singleVersion, long acceptedMillis,
			long maxAgeMillis, List<Integer> order) {
		this.submission = submission;
		this.maxAttempts = maxAttempts;
		this.singleVersion = singleVersion;
		this.acceptedMillis = acceptedMillis;
		this.giveUpMillis = (maxAgeMillis > Long.MAX_VALUE / 2) ? Long.MAX_VALUE : acceptedMillis + maxAgeMillis;
		this.order = order;
		submission.items().forEach((item) -> this.items.put(item.id(), new Item(item)));
	}

	/**
	 * Creates the plan of a submission.
	 * @param submission the submission
	 * @param maxAttempts failed runs after which an item is given up
	 * @param singleVersion whether a text must come from one weight version
	 * @param acceptedMillis when the submission was first accepted, wall clock
	 * @param maxAgeMillis age of the submission at which items are given up
	 * @param order the order in which items start
	 * @param carried items that an earlier submission had too
	 * @return the plan
	 */
	public static SubmissionPlan of(Submission submission, int maxAttempts, boolean singleVersion, long acceptedMillis,
			long maxAgeMillis, ItemOrder order, Set<String> carried) {
		Objects.requireNonNull(submission, "submission");
		if (maxAttempts < 1) {
			throw new IllegalArgumentException("maxAttempts must be positive: " + maxAttempts);
		}
		return new SubmissionPlan(submission, maxAttempts, singleVersion, acceptedMillis, maxAgeMillis,
				order.of(submission, carried));
	}

	/**
	 * Returns the submission.
	 * @return the submission
	 */
	public Submission submission() {
		return this.submission;
	}

	/**
	 * Returns when the submission was first accepted.
	 * @return the time, wall clock in milliseconds
	 */
	public long acceptedMillis() {
		return this.acceptedMillis;
	}

	/**
	 * Takes the results that are listed already, by this host or by another one. Their
	 * items do not run again.
	 * @param listed the results
	 */
	public synchronized void listed(List<ItemResult> listed) {
		for (ItemResult result : listed) {
			Item item = this.items.get(result.id());
			if (item != null) {
				item.state = State.LISTED;
				this.results.removeIf((waiting) -> waiting.id().equals(result.id()));
			}
		}
	}

	/**
	 * Starts the next item.
	 * @param now the wall clock, in milliseconds
	 * @return the run, or null where no item waits
	 */
	public synchronized @Nullable Run start(long now) {
		if (this.ended) {
			return null;
		}
		for (int index : this.order) {
			Item item = this.items.get(this.submission.items().get(index).id());
			if (item != null && item.state == State.WAITING && now >= item.notBefore) {
				item.state = State.RUNNING;
				return new Run(item.item, item.text.lastEvent());
			}
		}
		return null;
	}

	/**
	 * Returns whether an item waits for a slot.
	 * @param now the wall clock, in milliseconds
	 * @return whether {@link #start} would return a run
	 */
	public synchronized boolean isWaiting(long now) {
		return !this.ended && this.items.values()
			.stream()
			.anyMatch((item) -> item.state == State.WAITING && now >= item.notBefore);
	}

	/**
	 * Takes an event of a run.
	 * @param id the item
	 * @param number the event's number
	 * @param data its data
	 * @param version the weight version that generated it
	 * @return false where the event does not continue the text, so that the run is to be
	 * broken off
	 */
	public synchronized boolean event(String id, long number, String data, long version) {
		Item item = item(id);
		return item.state == State.RUNNING && item.text.append(number, data, version);
	}

	/**
	 * Notes that a run ended with the last event of the text.
	 * @param id the item
	 * @return whether the text is to be scored; false where it may not be part of a
	 * sample, or has a result without a score
	 */
	public synchronized boolean generated(String id) {
		Item item = item(id);
		if (item.state != State.RUNNING) {
			return false;
		}
		if (item.text.lastEvent() == 0 || !item.text.isWithin(this.submission.minVersion(), this.singleVersion)) {
			item.text.clear();
			item.state = State.WAITING;
			return false;
		}
		if (item.item.score() == null) {
			finish(item, null);
			return false;
		}
		item.state = State.SCORING;
		return true;
	}

	/**
	 * Notes the score of a text.
	 * @param id the item
	 * @param score the score
	 */
	public synchronized void scored(String id, String score) {
		Item item = item(id);
		if (item.state == State.SCORING) {
			finish(item, score);
		}
	}

	/**
	 * Notes that the score call failed as often as it may.
	 * @param id the item
	 */
	public synchronized void scoreFailed(String id) {
		Item item = item(id);
		if (item.state == State.SCORING) {
			giveUp(item);
		}
	}

	/**
	 * Notes that a run ended early; what it generated is kept.
	 * @param id the item
	 * @param counted whether the endpoint said that the run failed
	 * @param now the wall clock, in milliseconds
	 */
	public synchronized void broken(String id, boolean counted, long now) {
		Item item = item(id);
		if (item.state != State.RUNNING) {
			return;
		}
		item.state = State.WAITING;
		item.notBefore = now + RETRY_MILLIS;
		if (!item.text.isWithin(this.submission.minVersion(), this.singleVersion)) {
			item.text.clear();
		}
		if (counted && ++item.failures >= this.maxAttempts) {
			giveUp(item);
		}
	}

	/**
	 * Notes that an item can never be done.
	 * @param id the item
	 */
	public synchronized void impossible(String id) {
		Item item = item(id);
		if (item.state == State.RUNNING) {
			giveUp(item);
		}
	}

	/**
	 * Gives up the items that are too old.
	 * @param now the wall clock, in milliseconds
	 */
	public synchronized void expire(long now) {
		if (this.ended || now < this.giveUpMillis) {
			return;
		}
		this.items.values()
			.stream()
			.filter((item) -> item.state == State.WAITING || item.state == State.RUNNING)
			.forEach(this::giveUp);
	}

	/**
	 * Ends the submission: nothing more starts.
	 */
	public synchronized void end() {
		this.ended = true;
	}

	/**
	 * Tells whether the submission was ended.
	 * @return whether {@link #end} was called
	 */
	public synchronized boolean isEnded() {
		return this.ended;
	}

	/**
	 * Returns the results that are not listed yet.
	 * @return the results, in the order in which they came
	 */
	public synchronized List<ItemResult> unlisted() {
		return List.copyOf(this.results);
	}

	/**
	 * Returns what a copy of the texts lacks.
	 * @param copied the last event of each item that the copy has; updated to what it has
	 * with the result
	 * @return the events that it lacks, of items without a listed result
	 */
	public synchronized List<TextPart> partsBeyond(Map<String, Long> copied) {
		List<TextPart> parts = new ArrayList<>();
		this.items.forEach((id, item) -> {
			long last = item.text.lastEvent();
			if (item.state != State.LISTED && last != copied.getOrDefault(id, 0L)) {
				parts.add(item.text.from(id, copied.getOrDefault(id, 0L)));
				copied.put(id, last);
			}
		});
		return parts;
	}

	/**
	 * Takes texts that another host generated, for items that have not begun here.
	 * @param parts whole texts as far as they go, one an item
	 */
	public synchronized void preload(List<TextPart> parts) {
		for (TextPart part : parts) {
			Item item = this.items.get(part.item());
			if (item != null && item.state == State.WAITING && item.text.lastEvent() == 0 && part.after() == 0) {
				item.text.merge(part);
				if (!item.text.isWithin(this.submission.minVersion(), this.singleVersion)) {
					item.text.clear();
				}
			}
		}
	}

	/**
	 * Returns how much of an item's text there is.
	 * @param id the item
	 * @return the number of the last event
	 */
	public synchronized long progress(String id) {
		return item(id).text.lastEvent();
	}

	/**
	 * Returns the items that run or wait.
	 * @return the number of items that have no whole text
	 */
	public synchronized int unfinished() {
		return (int) this.items.values()
			.stream()
			.filter((item) -> item.state == State.WAITING || item.state == State.RUNNING)
			.count();
	}

	/**
	 * Returns the items without a result, those included whose texts are being scored.
	 * @return the number of items
	 */
	public synchronized int pending() {
		return (int) this.items.values()
			.stream()
			.filter((item) -> item.state != State.FINISHED && item.state != State.LISTED)
			.count();
	}

	/**
	 * Tells whether an item is still to run or running.
	 * @param id the item
	 * @return whether its run may go on
	 */
	public synchronized boolean mayRun(String id) {
		return !this.ended && item(id).state == State.RUNNING;
	}

	private void finish(Item item, @Nullable String score) {
		item.state = State.FINISHED;
		this.results.add(new ItemResult(item.item.id(), true, item.text.output(), item.text.versions(), score));
	}

	private void giveUp(Item item) {
		item.state = State.FINISHED;
		this.results.add(ItemResult.givenUp(item.item.id()));
	}

	private Item item(String id) {
		Item item = this.items.get(id);
		if (item == null) {
			throw new IllegalArgumentException("no item \"" + id + "\" in submission " + this.submission.id());
		}
		return item;
	}

	/**
	 * A run of an item that is to be started.
	 *
	 * @param item the item
	 * @param after the number of the last event that is kept; 0 to begin anew
	 */
	public record Run(SubmissionItem item, long after) {
	}

	private enum State {

		WAITING, RUNNING, SCORING, FINISHED, LISTED

	}

	private static final class Item {

		private final SubmissionItem item;

		private final ItemText text = new ItemText();

		private State state = State.WAITING;

		private int failures;

		private long notBefore;

		private Item(SubmissionItem item) {
			this.item = item;
		}

	}

}
