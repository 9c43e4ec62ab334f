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
 * Decides which endpoints load a new weight version next. If an engine holds several
 * models, the endpoints are divided among the models by their demand, and each endpoint
 * loads the versions of its assigned model only. The number of concurrent loads is
 * limited; endpoints with the oldest version are ordered first, then those with the
 * fewest requests. Only the process that holds the order duty uses this class.
 * <p>
 * Thread-safe; guarded by its own lock.
 */
public final class WeightLoadScheduler {

	/** Time after which an order that had no effect may be repeated, in milliseconds. */
	private static final long ORDER_RETRY_MILLIS = 2_500;

	/**
	 * Maximum share of the endpoints that load concurrently. The others serve requests
	 * meanwhile, and the weight store becomes slow with more concurrent loads.
	 */
	private static final double MAX_LOADING_SHARE = 0.2;

	/** Number of endpoints that may load concurrently even if the share allows fewer. */
	private static final int MIN_CONCURRENT_LOADS = 2;

	private final Clock clock;

	private final Map<String, Long> targetVersions = new HashMap<>();

	private final Map<String, SwapInProgress> inProgress = new HashMap<>();

	private final Map<String, String> assignedModels = new HashMap<>();

	private final ModelDemand demand;

	private WeightLoadScheduler(Clock clock) {
		this.clock = Objects.requireNonNull(clock, "clock");
		this.demand = ModelDemand.of(clock);
	}

	/**
	 * Creates a scheduler without target versions.
	 * @param clock the monotonic clock of the process
	 * @return the scheduler
	 */
	public static WeightLoadScheduler of(Clock clock) {
		return new WeightLoadScheduler(clock);
	}

	/**
	 * Sets the target version of a model. Versions older than the current target are
	 * ignored.
	 * @param model the model
	 * @param version the version
	 */
	public synchronized void targetVersion(String model, long version) {
		this.targetVersions.merge(model, version, Math::max);
	}

	/**
	 * Returns the orders to send now.
	 * @param table the endpoints
	 * @return the orders; each one is in progress until the endpoint reports the version
	 */
	public synchronized List<Swap> nextOrders(EndpointTable table) {
		long now = this.clock.millis();
		Map<String, List<EndpointTable.ModelHolder>> holders = new HashMap<>();
		table.models().forEach((model) -> holders.put(model, table.holders(model)));
		assign(holders);
		reassign(holders);
		removeFinished(holders, now);
		List<Swap> candidates = new ArrayList<>();
		holders.forEach((model, list) -> {
			long targetVersion = this.targetVersions.getOrDefault(model, 0L);
			list.stream()
				.filter((holder) -> holder.version() < targetVersion
						&& model.equals(this.assignedModels.get(holder.id()))
						&& !this.inProgress.containsKey(holder.id()))
				.forEach((holder) -> candidates.add(new Swap(holder, model, targetVersion)));
		});
		candidates.sort(Comparator.comparingLong((Swap swap) -> swap.holder().version() - swap.version())
			.thenComparingInt((swap) -> swap.holder().running())
			.thenComparing((swap) -> swap.holder().id()));
		List<Swap> orders = new ArrayList<>();
		for (Swap swap : candidates) {
			if (this.inProgress.size() >= Math.max(MIN_CONCURRENT_LOADS,
					(int) (MAX_LOADING_SHARE * this.assignedModels.size()))) {
				break;
			}
			this.inProgress.put(swap.holder().id(), new SwapInProgress(swap.model(), swap.version(), now));
			orders.add(swap);
		}
		return orders;
	}

	/**
	 * Records that an order was refused, so that another endpoint may be ordered instead.
	 * @param id the endpoint
	 */
	public synchronized void onRefused(String id) {
		this.inProgress.remove(id);
	}

	/**
	 * Returns the model whose versions each endpoint loads.
	 * @return the model by endpoint
	 */
	public synchronized Map<String, String> assignedModels() {
		return Map.copyOf(this.assignedModels);
	}

	/**
	 * Returns the endpoints that are loading weights.
	 * @return the endpoints
	 */
	public synchronized Set<String> loading() {
		return Set.copyOf(this.inProgress.keySet());
	}

	// Keeps the existing assignments and assigns each further endpoint to the model with
	// the fewest endpoints.
	private void assign(Map<String, List<EndpointTable.ModelHolder>> holders) {
		Map<String, EndpointTable.ModelHolder> holdersById = new HashMap<>();
		holders.values().forEach((list) -> list.forEach((holder) -> holdersById.putIfAbsent(holder.id(), holder)));
		this.assignedModels.keySet().retainAll(holdersById.keySet());
		List<EndpointTable.ModelHolder> unassigned = new ArrayList<>(holdersById.values());
		unassigned.removeIf((holder) -> this.assignedModels.containsKey(holder.id()));
		unassigned
			.sort(Comparator.comparing(EndpointTable.ModelHolder::domain).thenComparing(EndpointTable.ModelHolder::id));
		Map<String, Integer> counts = new HashMap<>();
		this.assignedModels.values().forEach((model) -> counts.merge(model, 1, Integer::sum));
		for (EndpointTable.ModelHolder holder : unassigned) {
			String best = holders.keySet()
				.stream()
				.filter((model) -> holder.versions().containsKey(model))
				.min(Comparator.<String>comparingInt((model) -> counts.getOrDefault(model, 0))
					.thenComparingLong((model) -> this.targetVersions.getOrDefault(model, 0L)
							- holder.versions().getOrDefault(model, 0L))
					.thenComparing(Comparator.naturalOrder()))
				.orElse(null);
			if (best != null) {
				this.assignedModels.put(holder.id(), best);
				counts.merge(best, 1, Integer::sum);
			}
		}
	}

	// Assigns an endpoint of the model with the least demand to the one with the most.
	private void reassign(Map<String, List<EndpointTable.ModelHolder>> holders) {
		Map<String, Integer> running = new HashMap<>();
		Map<String, Integer> endpoints = new HashMap<>();
		holders.forEach((model, list) -> list.stream()
			.filter((holder) -> model.equals(this.assignedModels.get(holder.id())))
			.forEach((holder) -> {
				running.merge(model, holder.running(), Integer::sum);
				endpoints.merge(model, 1, Integer::sum);
			}));
		ModelDemand.Change change = this.demand.next(running, endpoints);
		if (change == null) {
			return;
		}
		holders.get(change.from())
			.stream()
			.filter((holder) -> change.from().equals(this.assignedModels.get(holder.id()))
					&& holder.versions().containsKey(change.to()) && !this.inProgress.containsKey(holder.id()))
			.min(Comparator.comparingInt(EndpointTable.ModelHolder::running)
				.thenComparing(EndpointTable.ModelHolder::id))
			.ifPresent((holder) -> this.assignedModels.put(holder.id(), change.to()));
	}

	private void removeFinished(Map<String, List<EndpointTable.ModelHolder>> holders, long now) {
		Set<String> presentIds = new HashSet<>();
		holders.forEach((model, list) -> list.forEach((holder) -> {
			presentIds.add(holder.id());
			SwapInProgress swap = this.inProgress.get(holder.id());
			if (swap != null && swap.model().equals(model)
					&& (holder.version() >= swap.version() || now - swap.startedAtMillis() > ORDER_RETRY_MILLIS)) {
				this.inProgress.remove(holder.id());
			}
		}));
		this.inProgress.keySet().retainAll(presentIds);
	}

	/**
	 * An order to load a weight version.
	 *
	 * @param holder the endpoint
	 * @param model the model
	 * @param version the version
	 */
	public record Swap(EndpointTable.ModelHolder holder, String model, long version) {
	}

	private record SwapInProgress(String model, long version, long startedAtMillis) {
	}

}
