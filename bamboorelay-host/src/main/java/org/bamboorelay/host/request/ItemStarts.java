package org.bamboorelay.host.request;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.ToIntFunction;

import io.vavr.control.Option;
import org.bamboorelay.core.connection.PeerMessage.TrainerLoad;
import org.bamboorelay.core.process.EndpointRequirements;
import org.bamboorelay.core.process.EndpointTable;
import org.bamboorelay.core.process.EngineShares;
import org.bamboorelay.core.request.DueTime;
import org.bamboorelay.core.request.SubmissionItem;
import org.bamboorelay.core.request.SubmissionState;
import org.bamboorelay.core.time.Clock;
import org.bamboorelay.host.process.EventLog;

/**
 * Applies {@link EngineShares} to the submissions that this host runs: in which order
 * they start items, and how many each may start.
 * <p>
 * Thread-safe; guarded by its own lock.
 */
final class ItemStarts {

	/** Weight of the newest measurement in the average time per unit of length. */
	private static final double PACE_EWMA_WEIGHT = 0.1;

	/**
	 * Time without contention after which a trainer no longer counts as held to its
	 * share, in milliseconds.
	 */
	private static final long SHARE_HOLD_MILLIS = 1_000;

	private final EngineShares shares;

	private final boolean enabled;

	private final Clock clock;

	private final EventLog log;

	private final Map<String, Long> resultDueMillis = new ConcurrentHashMap<>();

	private final Map<EngineShares.Trainer, Long> heldAtMillis = new HashMap<>();

	private Map<String, Map<EngineShares.Trainer, Integer>> startable = Map.of();

	private List<TrainerLoad> loads = List.of();

	private double millisPerUnit;

	/**
	 * Creates an instance.
	 * @param shares divides the slots
	 * @param enabled whether slots are shared; otherwise each submission may start items
	 * at any time, the oldest submission first
	 * @param clock the monotonic clock of the process
	 * @param log the log of the process
	 */
	ItemStarts(EngineShares shares, boolean enabled, Clock clock, EventLog log) {
		this.shares = Objects.requireNonNull(shares, "shares");
		this.enabled = enabled;
		this.clock = Objects.requireNonNull(clock, "clock");
		this.log = Objects.requireNonNull(log, "log");
	}

	/**
	 * Records the time after which the results of a submission are due.
	 * @param id the submission
	 * @param millis the time after its acceptance, in milliseconds; a very large value if
	 * they are not due at any time
	 */
	void onActivated(String id, long millis) {
		if (this.enabled) {
			this.resultDueMillis.put(id, millis);
		}
	}

	/**
	 * Returns the submissions in the order in which they start items, and divides the
	 * slots among them.
	 * @param submissions all submissions of this host
	 * @param slots returns the number of slots for requirements
	 * @param hostCount the number of hosts, including this one
	 * @param nowMillis the current wall-clock time, in milliseconds
	 * @return the submissions of trainers that may start the most items first, of each
	 * trainer those that can be in time first, and among these the oldest first
	 */
	synchronized List<ActiveSubmission> startOrder(Collection<ActiveSubmission> submissions,
			ToIntFunction<EndpointRequirements> slots, int hostCount, long nowMillis) {
		if (!this.enabled) {
			return submissions.stream()
				.sorted(Comparator.comparingLong((running) -> running.state().acceptedMillis()))
				.toList();
		}
		Map<ActiveSubmission, SubmissionState.Counts> counts = new HashMap<>();
		Map<String, Map<EngineShares.Trainer, TrainerLoad>> byService = new HashMap<>();
		Map<String, Integer> slotsByService = new HashMap<>();
		for (ActiveSubmission running : submissions) {
			DueTime due = due(running);
			SubmissionState.Counts count = running.state().counts(due, nowMillis);
			counts.put(running, count);
			running.requirements().forEach((requirements) -> {
				String service = requirements.service();
				EngineShares.Trainer trainer = trainer(running);
				long dueInMillis = (count.inTime() && due != DueTime.NONE) ? Math.max(0, due.millis() - nowMillis) : -1;
				byService.computeIfAbsent(service, (unused) -> new HashMap<>())
					.merge(trainer, new TrainerLoad(service, trainer.workspace(), trainer.model(), count.waiting(),
							count.running(), dueInMillis), ItemStarts::sum);
				if (count.waiting() > 0) {
					slotsByService.computeIfAbsent(service, (unused) -> slots.applyAsInt(requirements));
				}
			});
		}
		this.resultDueMillis.keySet()
			.retainAll(submissions.stream().map((running) -> running.state().submission().id()).toList());
		this.loads = byService.values().stream().flatMap((map) -> map.values().stream()).toList();
		this.shares.own(this.loads);
		this.startable = new HashMap<>();
		slotsByService
			.forEach((service, count) -> this.startable.put(service, this.shares.startable(service, count, hostCount)));
		// An item that ran before keeps its slot in the share when it is migrated.
		counts.forEach((running, count) -> running.service()
			.flatMap((service) -> Option.of(this.startable.get(service)))
			.forEach((byTrainer) -> byTrainer.computeIfPresent(trainer(running),
					(trainer, limit) -> (limit == Integer.MAX_VALUE) ? limit : limit + count.interrupted())));
		logHeld();
		List<ActiveSubmission> order = new ArrayList<>(submissions);
		order.sort(Comparator.comparingInt((ActiveSubmission running) -> -startable(running))
			.thenComparing((running) -> !counts.get(running).inTime())
			.thenComparingLong((running) -> running.state().acceptedMillis()));
		return order;
	}

	/**
	 * Returns whether a submission may start an item, according to the share of its
	 * trainer or because a slot stays free.
	 * @param running the submission
	 * @param requirements the requirements of its items
	 * @param table the table of endpoints
	 * @return whether it may start an item if it gets a slot
	 */
	synchronized boolean mayStart(ActiveSubmission running, EndpointRequirements requirements, EndpointTable table) {
		return !this.enabled || startable(running) > 0
				|| this.shares.mayBorrow(requirements.service(), table.availableCount(requirements) > 0);
	}

	/**
	 * Records that a submission started an item.
	 * @param running the submission
	 */
	synchronized void onStarted(ActiveSubmission running) {
		running.service()
			.flatMap((service) -> Option.of(this.startable.get(service)))
			.forEach((byTrainer) -> byTrainer.computeIfPresent(trainer(running),
					(trainer, count) -> (count == Integer.MAX_VALUE) ? count : count - 1));
	}

	/**
	 * Records how long a run took that generated the whole text of an item.
	 * @param item the item
	 * @param runMillis the time, in milliseconds
	 */
	synchronized void onGenerated(SubmissionItem item, long runMillis) {
		if (item.expectedUnits() > 0) {
			double sample = (double) runMillis / item.expectedUnits();
			this.millisPerUnit = (this.millisPerUnit == 0) ? sample
					: this.millisPerUnit + PACE_EWMA_WEIGHT * (sample - this.millisPerUnit);
		}
	}

	/**
	 * Returns when the results of a submission are due.
	 * @param running the submission
	 * @return the due time, with the pace that this host observed
	 */
	synchronized DueTime due(ActiveSubmission running) {
		if (!this.enabled) {
			return DueTime.NONE;
		}
		long millis = this.resultDueMillis.getOrDefault(running.state().submission().id(), Long.MAX_VALUE);
		return DueTime.of(running.state().acceptedMillis(), millis, this.millisPerUnit);
	}

	/**
	 * Returns the items of the trainers of this host.
	 * @return the figures of the last pass
	 */
	synchronized List<TrainerLoad> loads() {
		return this.loads;
	}

	/**
	 * Records the figures of another host.
	 * @param host the host
	 * @param peerLoads its figures
	 */
	void peer(String host, List<TrainerLoad> peerLoads) {
		this.shares.peer(host, peerLoads);
	}

	private int startable(ActiveSubmission running) {
		return running.service()
			.map((service) -> this.startable.getOrDefault(service, Map.of())
				.getOrDefault(trainer(running), Integer.MAX_VALUE))
			.getOrElse(0);
	}

	private void logHeld() {
		long now = this.clock.millis();
		Set<EngineShares.Trainer> held = this.shares.heldTrainers();
		held.forEach((trainer) -> {
			if (this.heldAtMillis.put(trainer, now) == null) {
				this.log.info("trainer-held-to-share", "workspace", trainer.workspace(), "model", trainer.model());
			}
		});
		this.heldAtMillis.entrySet().removeIf((entry) -> {
			boolean ended = now - entry.getValue() >= SHARE_HOLD_MILLIS;
			if (ended) {
				this.log.info("trainer-share-unlimited", "workspace", entry.getKey().workspace(), "model",
						entry.getKey().model());
			}
			return ended;
		});
	}

	private static TrainerLoad sum(TrainerLoad one, TrainerLoad two) {
		long due = (one.dueInMillis() < 0 || two.dueInMillis() < 0) ? Math.max(one.dueInMillis(), two.dueInMillis())
				: Math.min(one.dueInMillis(), two.dueInMillis());
		return new TrainerLoad(one.service(), one.workspace(), one.model(), one.waiting() + two.waiting(),
				one.running() + two.running(), due);
	}

	private static EngineShares.Trainer trainer(ActiveSubmission running) {
		String model = running.state().submission().model();
		return new EngineShares.Trainer(running.state().submission().workspace(), (model != null) ? model : "");
	}

}
