package org.bamboorelay.core.process;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;

import org.bamboorelay.core.connection.PeerMessage.TrainerLoad;
import org.bamboorelay.core.time.Clock;

/**
 * Divides the slots of engines among trainers and hosts while more items wait than there
 * are slots. Each trainer gets an equal share, or less if it needs less. The slots that
 * are left are lent in proportion to the items that wait, first to trainers whose items
 * can still be in time. The share of a trainer is divided among the hosts that run its
 * submissions in proportion to its items there. All hosts compute the same division from
 * the figures that they report to each other.
 * <p>
 * Thread-safe; guarded by its own lock.
 */
public final class EngineShares {

	/**
	 * Age from which the figures of a silent host are ignored, in milliseconds; its share
	 * then goes to the others.
	 */
	private static final long SILENCE_MILLIS = 1_200;

	/**
	 * Time for which a slot must stay free before a trainer may exceed its share, in
	 * milliseconds: a few passes of the hosts that may still use the slot within their
	 * shares.
	 */
	private static final long LEND_DELAY_MILLIS = 60;

	/**
	 * Minimum time between two slots that are lent because they stay free, in
	 * milliseconds; the interval of the passes in which hosts start items.
	 */
	private static final long LEND_INTERVAL_MILLIS = 20;

	private static final double ROUNDING = 1e-9;

	private final Clock clock;

	private final Map<String, Report> reports = new HashMap<>();

	private final Map<String, FreeSlot> freeSlots = new HashMap<>();

	private final Map<String, Map<Trainer, Double>> lastParts = new HashMap<>();

	private final Set<Trainer> held = new HashSet<>();

	private List<TrainerLoad> own = List.of();

	private EngineShares(Clock clock) {
		this.clock = Objects.requireNonNull(clock, "clock");
	}

	/**
	 * Creates an instance without figures of other hosts.
	 * @param clock the monotonic clock of the process
	 * @return the instance
	 */
	public static EngineShares create(Clock clock) {
		return new EngineShares(clock);
	}

	/**
	 * Sets the figures of this host.
	 * @param loads the items of each trainer
	 */
	public synchronized void own(List<TrainerLoad> loads) {
		this.own = List.copyOf(loads);
		this.held.removeIf((trainer) -> loads.stream().noneMatch((load) -> Trainer.of(load).equals(trainer)));
	}

	/**
	 * Records the figures that another host reports.
	 * @param host the host
	 * @param loads the items of each trainer
	 */
	public synchronized void peer(String host, List<TrainerLoad> loads) {
		this.reports.put(host, new Report(List.copyOf(loads), this.clock.millis()));
	}

	/**
	 * Returns how many more items each trainer may start at this host.
	 * @param service the service
	 * @param slots the slots of all its endpoints
	 * @param hostCount the number of live hosts, including this one
	 * @return the number by trainer; {@link Integer#MAX_VALUE} for a trainer that is not
	 * limited
	 */
	public synchronized Map<Trainer, Integer> startable(String service, int slots, int hostCount) {
		if (slots < 0 || hostCount < 1) {
			throw new IllegalArgumentException(
					"slots must not be negative and hostCount must be positive: " + slots + ", " + hostCount);
		}
		Map<Trainer, Double> parts = parts(service, slots, hostCount);
		Map<Trainer, Integer> startable = new HashMap<>();
		for (TrainerLoad load : this.own) {
			if (load.service().equals(service)) {
				Trainer trainer = Trainer.of(load);
				Double part = parts.get(trainer);
				int limit = (part != null) ? Math.max(0, (int) Math.ceil(part - ROUNDING) - load.running())
						: Integer.MAX_VALUE;
				startable.put(trainer, limit);
				if (limit < load.waiting()) {
					this.held.add(trainer);
				}
				else {
					this.held.remove(trainer);
				}
			}
		}
		return startable;
	}

	/**
	 * Returns whether items may start beyond the share of their trainer, because a slot
	 * stays free that no host uses within its share.
	 * @param service the service
	 * @param slotFree whether a slot is free now
	 * @return whether one item may start
	 */
	public synchronized boolean mayBorrow(String service, boolean slotFree) {
		if (!slotFree) {
			this.freeSlots.remove(service);
			return false;
		}
		long now = this.clock.millis();
		FreeSlot last = this.freeSlots.get(service);
		boolean stayedFree = last != null && now - last.seenMillis() <= LEND_DELAY_MILLIS;
		long sinceMillis = stayedFree ? last.sinceMillis() : now;
		boolean lent = now - sinceMillis >= LEND_DELAY_MILLIS;
		this.freeSlots.put(service,
				new FreeSlot(lent ? now - LEND_DELAY_MILLIS + LEND_INTERVAL_MILLIS : sinceMillis, now));
		return lent;
	}

	/**
	 * Returns the trainers that are held to their share at this host.
	 * @return the trainers that have more items waiting than they may start
	 */
	public synchronized Set<Trainer> heldTrainers() {
		return Set.copyOf(this.held);
	}

	// Returns the slots of this host by trainer; a trainer without a value is not
	// limited.
	private Map<Trainer, Double> parts(String service, int slots, int hostCount) {
		long now = this.clock.millis();
		Map<Trainer, Need> needs = new TreeMap<>();
		boolean heard = false;
		for (Report report : this.reports.values()) {
			if (now - report.atMillis() < SILENCE_MILLIS) {
				heard = true;
				report.loads().forEach((load) -> add(needs, service, load, false));
			}
		}
		this.own.forEach((load) -> add(needs, service, load, true));
		if (!heard && hostCount > 1) {
			Map<Trainer, Double> last = this.lastParts.get(service);
			return (last != null) ? last : equalParts(needs, (double) slots / hostCount);
		}
		double demand = needs.values().stream().mapToInt(Need::total).sum();
		Map<Trainer, Double> parts = new HashMap<>();
		if (demand > slots) {
			divide(needs, slots);
			needs.forEach((trainer, need) -> parts.put(trainer, need.share * need.own / need.total()));
		}
		this.lastParts.put(service, parts);
		return parts;
	}

	// The parts at a host that restarted and has heard no other host yet.
	private static Map<Trainer, Double> equalParts(Map<Trainer, Need> needs, double slots) {
		Map<Trainer, Double> parts = new HashMap<>();
		needs.keySet().forEach((trainer) -> parts.put(trainer, Math.max(1, slots / needs.size())));
		return parts;
	}

	private static void divide(Map<Trainer, Need> needs, int slots) {
		double equalShare = (double) slots / needs.size();
		needs.values().forEach((need) -> need.share = Math.min(need.total(), equalShare));
		double left = slots - needs.values().stream().mapToDouble((need) -> need.share).sum();
		left -= lend(needs, left, (need) -> need.inTime);
		lend(needs, left, (need) -> true);
	}

	// Lends slots in proportion to the unmet needs, and returns how many were lent.
	private static double lend(Map<Trainer, Need> needs, double slots, Predicate<Need> borrower) {
		double unmet = needs.values().stream().filter(borrower).mapToDouble(Need::unmet).sum();
		double lent = Math.min(slots, unmet);
		if (unmet > ROUNDING) {
			needs.values().stream().filter(borrower).forEach((need) -> need.share += lent * need.unmet() / unmet);
		}
		return lent;
	}

	private static void add(Map<Trainer, Need> needs, String service, TrainerLoad load, boolean own) {
		if (load.service().equals(service) && load.waiting() + load.running() > 0) {
			Need need = needs.computeIfAbsent(Trainer.of(load), (unused) -> new Need());
			need.all += load.waiting() + load.running();
			need.own += own ? load.waiting() + load.running() : 0;
			need.inTime |= load.dueInMillis() >= 0 && load.waiting() > 0;
		}
	}

	/**
	 * A trainer, as far as it can be told from its submissions.
	 *
	 * @param workspace its workspace; empty for none
	 * @param model the model that it trains; empty for none
	 */
	public record Trainer(String workspace, String model) implements Comparable<Trainer> {

		public Trainer {
			Objects.requireNonNull(workspace, "workspace");
			Objects.requireNonNull(model, "model");
		}

		private static Trainer of(TrainerLoad load) {
			return new Trainer(load.workspace(), load.model());
		}

		@Override
		public int compareTo(Trainer other) {
			int byWorkspace = this.workspace.compareTo(other.workspace);
			return (byWorkspace != 0) ? byWorkspace : this.model.compareTo(other.model);
		}

	}

	private record FreeSlot(long sinceMillis, long seenMillis) {
	}

	private record Report(List<TrainerLoad> loads, long atMillis) {
	}

	private static final class Need {

		private int all;

		private int own;

		private boolean inTime;

		private double share;

		private int total() {
			return this.all;
		}

		private double unmet() {
			return Math.max(0, this.all - this.share);
		}

	}

}
