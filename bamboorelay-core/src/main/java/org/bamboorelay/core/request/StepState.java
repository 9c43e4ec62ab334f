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
 * Schedules the samples of a step: decides which attempts start, which are cancelled, and
 * which endpoints a retry avoids.
 * <p>
 * Not thread-safe; each step has one instance, guarded by the lock of its runner.
 */
public final class StepState {

	/**
	 * Fraction of a group that must be done before its other samples can be stragglers.
	 */
	private static final double STRAGGLER_DONE_SHARE = 0.8;

	/** A straggler has run longer than this multiple of the median of its group. */
	private static final long STRAGGLER_MEDIAN_FACTOR = 2;

	/**
	 * Maximum number of endpoints that a slot avoids. Avoiding more can leave a small
	 * service without any endpoint.
	 */
	private static final int MAX_EXCLUDED_ENDPOINTS = 2;

	private static final long INITIAL_RETRY_DELAY_MILLIS = 50;

	private static final long MAX_RETRY_DELAY_MILLIS = 1_000;

	private static final int MAX_RETRY_DELAY_DOUBLINGS = 5;

	private final StepPlan plan;

	private final Settings settings;

	private final Map<SampleSlot, SlotState> slots = new LinkedHashMap<>();

	private final Map<Long, Attempt> running = new LinkedHashMap<>();

	private final TreeSet<Integer> waiting = new TreeSet<>();

	private final List<SampleSlot> startOrder;

	private final Map<SampleSlot, Integer> startRank = new HashMap<>();

	private final Map<Integer, List<Long>> durationsByGroup = new HashMap<>();

	private long nextAttempt = 1;

	private StalenessBound bound;

	private long newestVersion;

	private int remainingResumes;

	private boolean stopped;

	/**
	 * Whether an endpoint has been seen whose weights are within the staleness bound of
	 * the newest version.
	 */
	private boolean currentWeightsSeen;

	private StepState(StepPlan plan, Settings settings) {
		this.plan = plan;
		this.settings = settings;
		this.bound = settings.bound();
		this.remainingResumes = settings.resumeBudget();
		this.startOrder = plan.startOrder();
		for (SampleSlot slot : this.startOrder) {
			this.startRank.put(slot, this.slots.size());
			this.waiting.add(this.slots.size());
			this.slots.put(slot, new SlotState());
		}
	}

	/**
	 * Creates the state of a step that has not started.
	 * @param plan the samples of the step
	 * @param settings the limits and the straggler policy
	 * @return the state
	 */
	public static StepState of(StepPlan plan, Settings settings) {
		return new StepState(Objects.requireNonNull(plan, "plan"), Objects.requireNonNull(settings, "settings"));
	}

	/**
	 * Returns the number of running attempts.
	 * @return the number of attempts
	 */
	public int running() {
		return this.running.size();
	}

	/**
	 * Handles an event.
	 * @param event the event
	 * @return the actions to carry out, in order
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
				attempt.oldestVersion = labelled.oldestVersion();
				// A label without tokens gives no information about the weights.
				this.currentWeightsSeen |= attempt.oldestVersion != Long.MAX_VALUE
						&& this.bound.isWithin(attempt.oldestVersion, this.newestVersion);
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
			this.currentWeightsSeen &= version.newestVersion() <= this.newestVersion;
			this.newestVersion = Math.max(this.newestVersion, version.newestVersion());
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
		if (!this.bound.isWithin(finished.oldestVersion(), this.newestVersion)) {
			retry(attempt, RetryReason.TOO_OLD, false, actions);
			return;
		}
		SampleSlot slot = attempt.slot;
		this.durationsByGroup.computeIfAbsent(slot.group(), (group) -> new ArrayList<>())
			.add(finished.nowMillis() - attempt.startedMillis);
		close(slot, actions);
		actions.add(new Action.Keep(attempt.id, slot));
	}

	private void fail(Event.Failed failed, List<Action> actions) {
		Attempt attempt = this.running.remove(failed.attempt());
		if (attempt != null) {
			retry(attempt, failed.reason(), failed.resumable(), actions);
		}
	}

	private void retry(Attempt attempt, RetryReason reason, boolean resumable, List<Action> actions) {
		SlotState slot = state(attempt.slot);
		// Another endpoint has current weights, so the delay does not have to grow.
		slot.failures = (reason == RetryReason.TOO_OLD && this.currentWeightsSeen) ? 1 : slot.failures + 1;
		actions.add(new Action.CountRetry(reason));
		if (attempt.endpoint == null) {
			slot.excluded.clear();
		}
		else {
			exclude(slot, attempt.endpoint);
		}
		boolean usable = resumable && this.bound.isWithin(attempt.oldestVersion, this.newestVersion);
		slot.resumedAttempt = usable ? attempt.id : Action.Start.FROM_SCRATCH;
		if (!slot.done && hasNoAttempt(attempt.slot)) {
			this.waiting.add(startRankOf(attempt.slot));
		}
	}

	private void cancelIfTooOld(Attempt attempt, List<Action> actions) {
		if (this.running.containsKey(attempt.id) && !this.bound.isWithin(attempt.oldestVersion, this.newestVersion)) {
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
			List<Long> done = this.durationsByGroup.getOrDefault(attempt.slot.group(), List.of());
			if (this.remainingResumes == 0 || this.running.size() >= this.settings.maxRunning()) {
				return;
			}
			if (attempt.endpoint == null || state(attempt.slot).resumed
					|| done.size() < STRAGGLER_DONE_SHARE * this.plan.samplesPerGroup()) {
				continue;
			}
			if (nowMillis - attempt.startedMillis > STRAGGLER_MEDIAN_FACTOR * median(done)) {
				SlotState slot = state(attempt.slot);
				this.remainingResumes--;
				slot.resumed = true;
				exclude(slot, attempt.endpoint);
				actions.add(new Action.CountRetry(RetryReason.STRAGGLER));
				actions.add(start(attempt.slot, attempt.id, 0));
			}
		}
	}

	private void close(SampleSlot slot, List<Action> actions) {
		state(slot).done = true;
		this.waiting.remove(startRankOf(slot));
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
			state.resumedAttempt = Action.Start.FROM_SCRATCH;
			this.waiting.add(startRankOf(slot));
		}
	}

	private void startWaiting(List<Action> actions) {
		while (!this.stopped && !this.waiting.isEmpty() && this.running.size() < this.settings.maxRunning()) {
			SampleSlot slot = this.startOrder.get(Objects.requireNonNull(this.waiting.pollFirst()));
			SlotState state = state(slot);
			long delay = (state.failures == 0) ? 0 : Math.min(MAX_RETRY_DELAY_MILLIS,
					INITIAL_RETRY_DELAY_MILLIS << Math.min(state.failures - 1, MAX_RETRY_DELAY_DOUBLINGS));
			actions.add(start(slot, state.resumedAttempt, delay));
		}
	}

	private Action.Start start(SampleSlot slot, long resumedAttempt, long delayMillis) {
		Attempt attempt = new Attempt(this.nextAttempt++, slot);
		this.running.put(attempt.id, attempt);
		return new Action.Start(attempt.id, slot, resumedAttempt, List.copyOf(state(slot).excluded), delayMillis);
	}

	private void exclude(SlotState slot, EndpointId endpoint) {
		slot.excluded.remove(endpoint);
		slot.excluded.add(endpoint);
		if (slot.excluded.size() > MAX_EXCLUDED_ENDPOINTS) {
			slot.excluded.remove(0);
		}
	}

	private boolean hasNoAttempt(SampleSlot slot) {
		return this.running.values().stream().noneMatch((attempt) -> attempt.slot.equals(slot));
	}

	private SlotState state(SampleSlot slot) {
		SlotState state = this.slots.get(slot);
		if (state == null) {
			throw new IllegalArgumentException(slot + " is not a slot of the step");
		}
		return state;
	}

	private int startRankOf(SampleSlot slot) {
		return Objects.requireNonNull(this.startRank.get(slot));
	}

	private static long median(Collection<Long> values) {
		long[] sorted = values.stream().mapToLong(Long::longValue).toArray();
		Arrays.sort(sorted);
		return sorted[sorted.length / 2];
	}

	/**
	 * The limits and the straggler policy of a step.
	 *
	 * @param bound the staleness bound at the start
	 * @param maxRunning the maximum number of concurrent attempts
	 * @param resumeStragglers whether stragglers are resumed on other endpoints; false
	 * for the baseline policy {@code wait}
	 * @param resumeBudget the maximum number of stragglers that are resumed
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
	 * An event that affects a step.
	 */
	public sealed interface Event {

		/**
		 * An attempt was assigned to an endpoint.
		 *
		 * @param attempt the attempt
		 * @param endpoint the endpoint
		 * @param nowMillis the time, in milliseconds
		 */
		record Started(long attempt, EndpointId endpoint, long nowMillis) implements Event {
		}

		/**
		 * The label of an attempt changed.
		 *
		 * @param attempt the attempt
		 * @param oldestVersion lowest version of its spans
		 */
		record Labelled(long attempt, long oldestVersion) implements Event {
		}

		/**
		 * An attempt generated its complete sample.
		 *
		 * @param attempt the attempt
		 * @param oldestVersion lowest version of its spans
		 * @param nowMillis the time, in milliseconds
		 */
		record Finished(long attempt, long oldestVersion, long nowMillis) implements Event {
		}

		/**
		 * An attempt ended without a complete sample.
		 *
		 * @param attempt the attempt
		 * @param reason the reason for the retry
		 * @param resumable whether the text generated so far can be resumed
		 */
		record Failed(long attempt, RetryReason reason, boolean resumable) implements Event {
		}

		/**
		 * The trainer published new weights, or the staleness bound was reconfigured.
		 *
		 * @param newestVersion the newest version number
		 * @param bound the staleness bound in force
		 */
		record NewVersion(long newestVersion, StalenessBound bound) implements Event {
		}

		/**
		 * A timer tick, on which stragglers are detected.
		 *
		 * @param nowMillis the time, in milliseconds
		 */
		record Tick(long nowMillis) implements Event {
		}

		/**
		 * A batch record contains samples for slots.
		 *
		 * @param slots the slots
		 */
		record Delivered(Collection<SampleSlot> slots) implements Event {
		}

		/**
		 * The finished samples of slots were lost or exceeded the staleness bound.
		 *
		 * @param slots the slots
		 */
		record Reopened(Collection<SampleSlot> slots) implements Event {
		}

		/** The step was stopped on this host. */
		record Stopped() implements Event {
		}

	}

	/**
	 * An action that the runner of a step carries out.
	 */
	public sealed interface Action {

		/**
		 * Starts an attempt.
		 *
		 * @param attempt the new attempt
		 * @param slot its slot
		 * @param resumedAttempt the attempt whose text is resumed, or
		 * {@link #FROM_SCRATCH}
		 * @param excluded the endpoints to avoid
		 * @param delayMillis the delay before the start, in milliseconds
		 */
		record Start(long attempt, SampleSlot slot, long resumedAttempt, List<EndpointId> excluded,
				long delayMillis) implements Action {

			/** Indicates that an attempt starts without text. */
			public static final long FROM_SCRATCH = 0;

		}

		/**
		 * Cancels an attempt, whose result is ignored from now on.
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
		 * @param reason the reason for the retry
		 */
		record CountRetry(RetryReason reason) implements Action {
		}

	}

	private static final class SlotState {

		private final List<EndpointId> excluded = new ArrayList<>();

		private boolean done;

		private boolean resumed;

		private int failures;

		private long resumedAttempt = Action.Start.FROM_SCRATCH;

	}

	private static final class Attempt {

		private final long id;

		private final SampleSlot slot;

		private @Nullable EndpointId endpoint;

		private long startedMillis;

		private long oldestVersion = Long.MAX_VALUE;

		private Attempt(long id, SampleSlot slot) {
			this.id = id;
			this.slot = slot;
		}

	}

}
