package org.bamboorelay.core.request;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeSet;

import org.bamboorelay.core.failure.RetryReason;
import org.bamboorelay.core.version.EndpointId;
import org.jspecify.annotations.Nullable;

/**
 * Decides which samples of a step run, and where a sample runs again.
 * <p>
 * Not thread-safe; each step has one, under the lock of its runner.
 */
public final class StepState {

	/** Share of a group that is done before its other samples can be stragglers. */
	private static final double STRAGGLER_DONE_SHARE = 0.8;

	/** A straggler has run this many times the median of its group. */
	private static final long STRAGGLER_MEDIANS = 2;

	/**
	 * The endpoints that a slot avoids at most; avoiding more can leave a small service
	 * without any.
	 */
	private static final int MAX_EXCLUDED = 2;

	private static final long FIRST_DELAY_MILLIS = 50;

	private static final long MAX_DELAY_MILLIS = 1_000;

	private static final int MAX_DELAY_DOUBLINGS = 5;

	private final StepPlan plan;

	private final Settings settings;

	private final Map<SampleSlot, SlotState> slots = new LinkedHashMap<>();

	private final Map<Long, Attempt> running = new LinkedHashMap<>();

	private final TreeSet<Integer> waiting = new TreeSet<>();

	private final List<SampleSlot> order;

	private final Map<SampleSlot, Integer> rank = new HashMap<>();

	private final Map<Integer, List<Long>> durations = new HashMap<>();

	private long nextAttempt = 1;

	private StalenessBound bound;

	private long newest;

	private int resumesLeft;

	private boolean stopped;

	/**
	 * Whether an endpoint was seen that has weights within the bound of the newest
	 * version.
	 */
	private boolean freshSeen;

	private StepState(StepPlan plan, Settings settings) {
		this.plan = plan;
		this.settings = settings;
		this.bound = settings.bound();
		this.resumesLeft = settings.resumeBudget();
		this.order = plan.order();
		for (SampleSlot slot : this.order) {
			this.rank.put(slot, this.slots.size());
			this.waiting.add(this.slots.size());
			this.slots.put(slot, new SlotState());
		}
	}

	/**
	 * Creates the state of a step of which nothing runs yet.
	 * @param plan the samples
	 * @param settings limits and policy
	 * @return the state
	 */
	public static StepState of(StepPlan plan, Settings settings) {
		return new StepState(Objects.requireNonNull(plan, "plan"), Objects.requireNonNull(settings, "settings"));
	}

	/**
	 * Returns the number of attempts that run.
	 * @return the number of attempts
	 */
	public int running() {
		return this.running.size();
	}

	/**
	 * Takes an event.
	 * @param event what happened
	 * @return what is to be done, in order
	 */
	public List<Action> on(Event event) {
		List<Action> actions = new ArrayList<>();
		if (event instanceof Event.Started started) {
			Attempt attempt = this.running.get(started.attempt());
			if (attempt != null) {
				attempt.endpoint = started.endpoint();
				attempt.startedMillis = started.nowMillis();
			}
		}
		else if (event instanceof Event.Labelled labelled) {
			Attempt attempt = this.running.get(labelled.attempt());
			if (attempt != null) {
				attempt.oldest = labelled.oldest();
				// Without a token yet the label says nothing.
				this.freshSeen |= attempt.oldest != Long.MAX_VALUE && this.bound.isWithin(attempt.oldest, this.newest);
				cancelIfTooOld(attempt, actions);
			}
		}
		else if (event instanceof Event.Finished finished) {
			finish(finished, actions);
		}
		else if (event instanceof Event.Failed failed) {
			fail(failed, actions);
		}
		else if (event instanceof Event.NewVersion version) {
			this.freshSeen &= version.newest() <= this.newest;
			this.newest = Math.max(this.newest, version.newest());
			this.bound = version.bound();
			List.copyOf(this.running.values()).forEach((attempt) -> cancelIfTooOld(attempt, actions));
		}
		else if (event instanceof Event.Tick tick) {
			resumeStragglers(tick.nowMillis(), actions);
		}
		else if (event instanceof Event.Delivered delivered) {
			delivered.slots().forEach((slot) -> close(slot, actions));
		}
		else if (event instanceof Event.Reopened reopened) {
			reopened.slots().forEach(this::reopen);
		}
		else if (event instanceof Event.Stopped) {
			this.stopped = true;
			this.running.values().forEach((attempt) -> actions.add(new Action.Cancel(attempt.id)));
			this.running.clear();
		}
		startWaiting(actions);
		return actions;
	}

	private void finish(Event.Finished finished, List<Action> actions) {
		Attempt attempt = this.running.remove(finished.attempt());
		if (attempt == null) {
			return;
		}
		if (!this.bound.isWithin(finished.oldest(), this.newest)) {
			retry(attempt, RetryReason.TOO_OLD, false, actions);
			return;
		}
		SampleSlot slot = attempt.slot;
		this.durations.computeIfAbsent(slot.group(), (group) -> new ArrayList<>())
			.add(finished.nowMillis() - attempt.startedMillis);
		close(slot, actions);
		actions.add(new Action.Keep(attempt.id, slot));
	}

	private void fail(Event.Failed failed, List<Action> actions) {
		Attempt attempt = this.running.remove(failed.attempt());
		if (attempt != null) {
			retry(attempt, failed.reason(), failed.keepText(), actions);
		}
	}

	private void retry(Attempt attempt, RetryReason reason, boolean keepText, List<Action> actions) {
		SlotState slot = state(attempt.slot);
		// Another endpoint has newer weights, so there is nothing to wait for.
		slot.failures = (reason == RetryReason.TOO_OLD && this.freshSeen) ? 1 : slot.failures + 1;
		actions.add(new Action.Count(reason));
		if (attempt.endpoint == null) {
			slot.excluded.clear();
		}
		else {
			exclude(slot, attempt.endpoint);
		}
		boolean usable = keepText && this.bound.isWithin(attempt.oldest, this.newest);
		slot.resumeOf = usable ? attempt.id : Action.Start.FROM_SCRATCH;
		if (!slot.done && isIdle(attempt.slot)) {
			this.waiting.add(rankOf(attempt.slot));
		}
	}

	private void cancelIfTooOld(Attempt attempt, List<Action> actions) {
		if (this.running.containsKey(attempt.id) && !this.bound.isWithin(attempt.oldest, this.newest)) {
			this.running.remove(attempt.id);
			actions.add(new Action.Cancel(attempt.id));
			retry(attempt, RetryReason.TOO_OLD, false, actions);
		}
	}

	private void resumeStragglers(long nowMillis, List<Action> actions) {
		if (!this.settings.resumeStragglers() || this.stopped) {
			return;
		}
		for (Attempt attempt : List.copyOf(this.running.values())) {
			List<Long> done = this.durations.getOrDefault(attempt.slot.group(), List.of());
			if (this.resumesLeft == 0 || this.running.size() >= this.settings.maxRunning()) {
				return;
			}
			if (attempt.endpoint == null || state(attempt.slot).resumed
					|| done.size() < STRAGGLER_DONE_SHARE * this.plan.samplesPerGroup()) {
				continue;
			}
			if (nowMillis - attempt.startedMillis > STRAGGLER_MEDIANS * median(done)) {
				SlotState slot = state(attempt.slot);
				this.resumesLeft--;
				slot.resumed = true;
				exclude(slot, attempt.endpoint);
				actions.add(new Action.Count(RetryReason.STRAGGLER));
				actions.add(start(attempt.slot, attempt.id, 0));
			}
		}
	}

	private void close(SampleSlot slot, List<Action> actions) {
		state(slot).done = true;
		this.waiting.remove(rankOf(slot));
		for (Attempt attempt : List.copyOf(this.running.values())) {
			if (attempt.slot.equals(slot)) {
				this.running.remove(attempt.id);
				actions.add(new Action.Cancel(attempt.id));
			}
		}
	}

	private void reopen(SampleSlot slot) {
		SlotState state = state(slot);
		if (state.done) {
			state.done = false;
			state.resumed = false;
			state.resumeOf = Action.Start.FROM_SCRATCH;
			this.waiting.add(rankOf(slot));
		}
	}

	private void startWaiting(List<Action> actions) {
		while (!this.stopped && !this.waiting.isEmpty() && this.running.size() < this.settings.maxRunning()) {
			SampleSlot slot = this.order.get(Objects.requireNonNull(this.waiting.pollFirst()));
			SlotState state = state(slot);
			long delay = (state.failures == 0) ? 0 : Math.min(MAX_DELAY_MILLIS,
					FIRST_DELAY_MILLIS << Math.min(state.failures - 1, MAX_DELAY_DOUBLINGS));
			actions.add(start(slot, state.resumeOf, delay));
		}
	}

	private Action.Start start(SampleSlot slot, long resumeOf, long delayMillis) {
		Attempt attempt = new Attempt(this.nextAttempt++, slot);
		this.running.put(attempt.id, attempt);
		return new Action.Start(attempt.id, slot, resumeOf, List.copyOf(state(slot).excluded), delayMillis);
	}

	private void exclude(SlotState slot, EndpointId endpoint) {
		slot.excluded.remove(endpoint);
		slot.excluded.add(endpoint);
		if (slot.excluded.size() > MAX_EXCLUDED) {
			slot.excluded.remove(0);
		}
	}

	private boolean isIdle(SampleSlot slot) {
		return this.running.values().stream().noneMatch((attempt) -> attempt.slot.equals(slot));
	}

	private SlotState state(SampleSlot slot) {
		SlotState state = this.slots.get(slot);
		if (state == null) {
			throw new IllegalArgumentException(slot + " is not part of the step");
		}
		return state;
	}

	private int rankOf(SampleSlot slot) {
		return Objects.requireNonNull(this.rank.get(slot));
	}

	private static long median(Collection<Long> values) {
		long[] sorted = values.stream().mapToLong(Long::longValue).toArray();
		Arrays.sort(sorted);
		return sorted[sorted.length / 2];
	}

	/**
	 * Limits and policy of a step.
	 *
	 * @param bound the staleness bound at the start
	 * @param maxRunning the most attempts that run at once
	 * @param resumeStragglers whether stragglers are resumed elsewhere; false for the
	 * baseline {@code wait}
	 * @param resumeBudget the most stragglers that are resumed
	 */
	public record Settings(StalenessBound bound, int maxRunning, boolean resumeStragglers, int resumeBudget) {

		public Settings {
			Objects.requireNonNull(bound, "bound");
			if (maxRunning <= 0 || resumeBudget < 0) {
				throw new IllegalArgumentException("maxRunning must be positive and resumeBudget not negative: "
						+ maxRunning + ", " + resumeBudget);
			}
		}

	}

	/**
	 * What happened to a step.
	 */
	public sealed interface Event {

		/**
		 * An attempt got an endpoint.
		 *
		 * @param attempt the attempt
		 * @param endpoint the endpoint
		 * @param nowMillis the time, in milliseconds
		 */
		record Started(long attempt, EndpointId endpoint, long nowMillis) implements Event {
		}

		/**
		 * The oldest span of an attempt changed.
		 *
		 * @param attempt the attempt
		 * @param oldest lowest version of its spans
		 */
		record Labelled(long attempt, long oldest) implements Event {
		}

		/**
		 * An attempt generated its whole sample.
		 *
		 * @param attempt the attempt
		 * @param oldest lowest version of its spans
		 * @param nowMillis the time, in milliseconds
		 */
		record Finished(long attempt, long oldest, long nowMillis) implements Event {
		}

		/**
		 * An attempt ended without a whole sample.
		 *
		 * @param attempt the attempt
		 * @param reason why it is made again
		 * @param keepText whether the text so far can be resumed
		 */
		record Failed(long attempt, RetryReason reason, boolean keepText) implements Event {
		}

		/**
		 * The trainer has new weights, or operators changed the bound.
		 *
		 * @param newest the number of the version
		 * @param bound the staleness bound in force
		 */
		record NewVersion(long newest, StalenessBound bound) implements Event {
		}

		/**
		 * Time passed.
		 *
		 * @param nowMillis the time, in milliseconds
		 */
		record Tick(long nowMillis) implements Event {
		}

		/**
		 * A batch record holds samples for slots.
		 *
		 * @param slots the slots
		 */
		record Delivered(Collection<SampleSlot> slots) implements Event {
		}

		/**
		 * The finished samples of slots were lost or passed the bound.
		 *
		 * @param slots the slots
		 */
		record Reopened(Collection<SampleSlot> slots) implements Event {
		}

		/** The step is stopped on this host. */
		record Stopped() implements Event {
		}

	}

	/**
	 * What is to be done for a step.
	 */
	public sealed interface Action {

		/**
		 * Starts an attempt.
		 *
		 * @param attempt the new attempt
		 * @param slot its slot
		 * @param resumeOf the attempt whose text so far is resumed, or
		 * {@link #FROM_SCRATCH}
		 * @param excluded endpoints to avoid
		 * @param delayMillis the wait before the start, in milliseconds
		 */
		record Start(long attempt, SampleSlot slot, long resumeOf, List<EndpointId> excluded,
				long delayMillis) implements Action {

			/** Value of {@code resumeOf} for an attempt that starts without text. */
			public static final long FROM_SCRATCH = 0;

		}

		/**
		 * Cancels an attempt; its result is ignored.
		 *
		 * @param attempt the attempt
		 */
		record Cancel(long attempt) implements Action {
		}

		/**
		 * Keeps the sample of an attempt for delivery.
		 *
		 * @param attempt the attempt
		 * @param slot its slot
		 */
		record Keep(long attempt, SampleSlot slot) implements Action {
		}

		/**
		 * Counts a retry.
		 *
		 * @param reason why
		 */
		record Count(RetryReason reason) implements Action {
		}

	}

	private static final class SlotState {

		private final List<EndpointId> excluded = new ArrayList<>();

		private boolean done;

		private boolean resumed;

		private int failures;

		private long resumeOf = Action.Start.FROM_SCRATCH;

	}

	private static final class Attempt {

		private final long id;

		private final SampleSlot slot;

		private @Nullable EndpointId endpoint;

		private long startedMillis;

		private long oldest = Long.MAX_VALUE;

		private Attempt(long id, SampleSlot slot) {
			this.id = id;
			this.slot = slot;
		}

	}

}
