package org.bamboorelay.core.process;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.bamboorelay.core.time.Clock;

/**
 * Decides which endpoints load a new weight version next. Where an engine holds several
 * models, the endpoints are divided among the models, so that each one loads the versions
 * of its own model only. Few load at a time, those with the least work first. It answers
 * for one process that is in charge of the orders.
 * <p>
 * Thread-safe; guarded by its own lock.
 */
public final class WeightSwaps {

	/** An order without an effect is given again after this time, in milliseconds. */
	private static final long RETRY_MILLIS = 2_500;

	/**
	 * The most endpoints that load at once, as a share of all: the others serve
	 * meanwhile, and the weight store makes more of them slow.
	 */
	private static final double SHARE_AT_ONCE = 0.2;

	/** Endpoints that may load at once however few there are. */
	private static final int MIN_AT_ONCE = 2;

	private final Clock clock;

	private final Map<String, Long> targets = new HashMap<>();

	private final Map<String, Running> running = new HashMap<>();

	private final Map<String, String> assigned = new HashMap<>();

	private WeightSwaps(Clock clock) {
		this.clock = Objects.requireNonNull(clock, "clock");
	}

	/**
	 * Creates the decision.
	 * @param clock the monotonic clock of the process
	 * @return the decision
	 */
	public static WeightSwaps of(Clock clock) {
		return new WeightSwaps(clock);
	}

	/**
	 * Takes the newest version of a model.
	 * @param model the model
	 * @param version the version
	 */
	public synchronized void target(String model, long version) {
		this.targets.merge(model, version, Math::max);
	}

	/**
	 * Returns the orders to give now.
	 * @param table the endpoints
	 * @return the orders; each one counts as running until the endpoint holds the version
	 */
	public synchronized List<Swap> next(EndpointTable table) {
		long now = this.clock.millis();
		Map<String, List<EndpointTable.ModelHolder>> holders = new HashMap<>();
		table.models().forEach((model) -> holders.put(model, table.holders(model)));
		assign(holders);
		settle(holders, now);
		List<Swap> candidates = new ArrayList<>();
		holders.forEach((model, list) -> {
			long target = this.targets.getOrDefault(model, 0L);
			list.stream()
				.filter((holder) -> holder.version() < target && model.equals(this.assigned.get(holder.id()))
						&& !this.running.containsKey(holder.id()))
				.forEach((holder) -> candidates.add(new Swap(holder, model, target)));
		});
		candidates.sort(Comparator.comparingLong((Swap swap) -> swap.holder().version() - swap.version())
			.thenComparingInt((swap) -> swap.holder().running())
			.thenComparing((swap) -> swap.holder().id()));
		List<Swap> orders = new ArrayList<>();
		for (Swap swap : candidates) {
			if (this.running.size() >= Math.max(MIN_AT_ONCE, (int) (SHARE_AT_ONCE * this.assigned.size()))) {
				break;
			}
			this.running.put(swap.holder().id(), new Running(swap.model(), swap.version(), now));
			orders.add(swap);
		}
		return orders;
	}

	/**
	 * Notes that an order was not accepted, so that another endpoint may go first.
	 * @param id the endpoint
	 */
	public synchronized void refused(String id) {
		this.running.remove(id);
	}

	/**
	 * Returns the model that each endpoint loads the versions of.
	 * @return the model by endpoint
	 */
	public synchronized Map<String, String> assigned() {
		return Map.copyOf(this.assigned);
	}

	/**
	 * Returns the endpoints that load at present.
	 * @return the endpoints
	 */
	public synchronized Set<String> loading() {
		return Set.copyOf(this.running.keySet());
	}

	// Keeps what endpoints do now, and gives free ones to the model with the fewest.
	private void assign(Map<String, List<EndpointTable.ModelHolder>> holders) {
		Map<String, EndpointTable.ModelHolder> all = new HashMap<>();
		holders.values().forEach((list) -> list.forEach((holder) -> all.putIfAbsent(holder.id(), holder)));
		this.assigned.keySet().retainAll(all.keySet());
		List<EndpointTable.ModelHolder> free = new ArrayList<>(all.values());
		free.removeIf((holder) -> this.assigned.containsKey(holder.id()));
		free.sort(Comparator.comparing(EndpointTable.ModelHolder::domain).thenComparing(EndpointTable.ModelHolder::id));
		Map<String, Integer> counts = new HashMap<>();
		this.assigned.values().forEach((model) -> counts.merge(model, 1, Integer::sum));
		for (EndpointTable.ModelHolder holder : free) {
			String best = holders.keySet()
				.stream()
				.filter((model) -> holder.versions().containsKey(model))
				.min(Comparator.<String>comparingInt((model) -> counts.getOrDefault(model, 0))
					.thenComparingLong(
							(model) -> this.targets.getOrDefault(model, 0L) - holder.versions().getOrDefault(model, 0L))
					.thenComparing(Comparator.naturalOrder()))
				.orElse(null);
			if (best != null) {
				this.assigned.put(holder.id(), best);
				counts.merge(best, 1, Integer::sum);
			}
		}
	}

	private void settle(Map<String, List<EndpointTable.ModelHolder>> holders, long now) {
		Set<String> present = new HashSet<>();
		holders.forEach((model, list) -> list.forEach((holder) -> {
			present.add(holder.id());
			Running swap = this.running.get(holder.id());
			if (swap != null && swap.model().equals(model)
					&& (holder.version() >= swap.version() || now - swap.sinceMillis() > RETRY_MILLIS)) {
				this.running.remove(holder.id());
			}
		}));
		this.running.keySet().retainAll(present);
	}

	/**
	 * An order to load a version.
	 *
	 * @param holder the endpoint
	 * @param model the model
	 * @param version the version
	 */
	public record Swap(EndpointTable.ModelHolder holder, String model, long version) {
	}

	private record Running(String model, long version, long sinceMillis) {
	}

}
