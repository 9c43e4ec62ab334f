package org.bamboorelay.host.process;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.core.process.EndpointAutoscaler;
import org.bamboorelay.core.process.EndpointTable;
import org.bamboorelay.core.process.LeaseState;
import org.bamboorelay.core.process.StoreOperation;
import org.bamboorelay.core.process.WeightLoadScheduler;
import org.bamboorelay.core.store.StoreFailure;
import org.bamboorelay.core.store.StoredObject;
import org.bamboorelay.core.store.WatchableStore;
import org.bamboorelay.core.time.Clock;
import org.bamboorelay.core.version.CoreJson;
import org.bamboorelay.core.version.ServiceRule;
import org.bamboorelay.host.connection.PlatformCalls;
import org.bamboorelay.runtime.connection.HttpFailure;
import org.bamboorelay.runtime.process.Counters;

/**
 * Performs the duties of the deployment while this host holds their lease: usage reports,
 * weight updates, scaling and store cleanup. Each call is sent only while the lease is
 * held, which is checked immediately before.
 * <p>
 * One thread runs the loop; weight orders run on other threads.
 */
public final class DutyLoop implements Runnable {

	/** The key of the lease in the store. */
	public static final String LEASE_KEY = "leases/duties";

	/** The kind of the objects that fix the counts of a usage window. */
	static final String WINDOWS_KIND = "usage-windows";

	/** Interval between two iterations at the holder of the lease, in milliseconds. */
	private static final long LOOP_INTERVAL_MILLIS = 40;

	/**
	 * Interval between two iterations at a host without a lease operation to perform, in
	 * milliseconds.
	 */
	private static final long IDLE_LOOP_INTERVAL_MILLIS = 200;

	/**
	 * Delay after the end of a window to receive the last counts of other hosts, in
	 * milliseconds; they share them twice a second.
	 */
	private static final long WINDOW_SETTLE_MILLIS = 2_500;

	/** Delay before a report is retried, in milliseconds. */
	private static final long REPORT_RETRY_DELAY_MILLIS = 400;

	/** Interval between two scaling decisions, in milliseconds. */
	private static final long SCALING_INTERVAL_MILLIS = 500;

	/** Interval between two cleanups of the store, in milliseconds. */
	private static final long CLEANUP_INTERVAL_MILLIS = 120_000;

	/** Interval at which an engine that loads weights is polled, in milliseconds. */
	private static final long SWAP_POLL_INTERVAL_MILLIS = 150;

	/** Maximum time for which a load is polled, in milliseconds. */
	private static final long SWAP_TIMEOUT_MILLIS = 2_500;

	private static final int STATUS_ACCEPTED = 202;

	private static final int STATUS_OK = 200;

	private final HostSettings settings;

	private final LeaseState lease;

	private final WatchableStore store;

	private final PlatformCalls calls;

	private final EndpointTable table;

	private final WeightLoadScheduler weightLoadScheduler;

	private final UsageMeter usage;

	private final ExecutorService executor;

	private final Counters counters;

	private final EventLog log;

	private final EndpointAutoscaler autoscaler = EndpointAutoscaler.of(Clock.monotonic());

	private final Map<String, Map<String, Integer>> demandByHost = new ConcurrentHashMap<>();

	private final Supplier<Map<String, Integer>> ownDemand;

	private final Supplier<Map<String, List<Long>>> ownWork;

	private final SpotOrders spotOrders;

	private final Consumer<PeerMessage> publisher;

	private final StoreCleanup cleanup;

	private long nextCleanupMillis;

	private long nextScalingMillis;

	private final Set<Long> reportedWindows = new HashSet<>();

	private final Map<Long, Long> retryAtMillis = new TreeMap<>();

	private final AtomicInteger callsInFlight = new AtomicInteger();

	private volatile boolean closed;

	private boolean leaseHeld;

	/**
	 * Creates the loop.
	 * @param settings the settings of the process
	 * @param lease the lease of the duties
	 * @param store the platform's store
	 * @param calls sends the calls of duties
	 * @param table the table of endpoints
	 * @param weightLoadScheduler decides which endpoints load which weights
	 * @param usage the usage counts
	 * @param ownDemand supplies the number of items that run or wait at this host, by
	 * service
	 * @param ownWork supplies the work of these items that is due within each of the
	 * coming seconds, by service
	 * @param publisher sends a message to all other hosts without blocking
	 * @param executor the threads that execute weight orders
	 * @param counters the metrics of the process
	 * @param log the log of the process
	 */
	public DutyLoop(HostSettings settings, LeaseState lease, WatchableStore store, PlatformCalls calls,
			EndpointTable table, WeightLoadScheduler weightLoadScheduler, UsageMeter usage,
			Supplier<Map<String, Integer>> ownDemand, Supplier<Map<String, List<Long>>> ownWork,
			Consumer<PeerMessage> publisher, ExecutorService executor, Counters counters, EventLog log) {
		this.publisher = Objects.requireNonNull(publisher, "publisher");
		this.ownDemand = Objects.requireNonNull(ownDemand, "ownDemand");
		this.settings = Objects.requireNonNull(settings, "settings");
		this.lease = Objects.requireNonNull(lease, "lease");
		this.store = Objects.requireNonNull(store, "store");
		this.cleanup = new StoreCleanup(store, settings.statusMillis(), settings.usageWindowMillis(), log);
		this.calls = Objects.requireNonNull(calls, "calls");
		this.table = Objects.requireNonNull(table, "table");
		this.weightLoadScheduler = Objects.requireNonNull(weightLoadScheduler, "weightLoadScheduler");
		this.usage = Objects.requireNonNull(usage, "usage");
		this.executor = Objects.requireNonNull(executor, "executor");
		this.counters = Objects.requireNonNull(counters, "counters");
		this.log = Objects.requireNonNull(log, "log");
		this.ownWork = Objects.requireNonNull(ownWork, "ownWork");
		this.spotOrders = new SpotOrders(Clock.monotonic(), table, counters, log);
	}

	/**
	 * Updates the demand that another host reported.
	 * @param host the host
	 * @param demand the number of items that run or wait there, by service
	 * @param work the work of these items that is due within each of the coming seconds,
	 * by service
	 */
	public void updateDemand(String host, Map<String, Integer> demand, Map<String, List<Long>> work) {
		this.demandByHost.put(host, Map.copyOf(demand));
		this.spotOrders.update(host, demand, work);
	}

	@Override
	public void run() {
		while (!this.closed) {
			LoopGuard.run(this.log, "duties", this::runIteration);
		}
	}

	private void runIteration() {
		boolean leaseAdvanced = advanceLease();
		boolean now = this.lease.isHeld();
		if (now != this.leaseHeld) {
			this.leaseHeld = now;
			this.log.info(now ? "duties-taken" : "duties-lost", "fencing", this.lease.fencing());
		}
		if (now) {
			orderWeights();
			reportUsage(System.currentTimeMillis());
			orderEndpoints();
			cleanUp(System.currentTimeMillis());
		}
		pause((now || leaseAdvanced) ? LOOP_INTERVAL_MILLIS : IDLE_LOOP_INTERVAL_MILLIS);
	}

	/**
	 * Ends the loop, and releases the lease once no call of a duty is in flight: the next
	 * holder acts at once, and receivers do not compare fencing tokens. If a call does
	 * not complete in time, the lease is left to expire.
	 * @param timeoutMillis the maximum wait, in milliseconds
	 */
	public void shutDown(long timeoutMillis) {
		this.closed = true;
		long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
		while (this.callsInFlight.get() > 0 && System.nanoTime() < deadlineNanos) {
			pause(LOOP_INTERVAL_MILLIS);
		}
		if (this.callsInFlight.get() > 0) {
			this.log.warn("lease-not-released", "reason", "calls-on-their-way", "calls", this.callsInFlight.get());
			return;
		}
		this.lease.release();
		while (!this.lease.isReleased() && System.nanoTime() < deadlineNanos) {
			advanceLease();
			pause(LOOP_INTERVAL_MILLIS);
		}
	}

	// Performs a call of a duty and counts it while it is in flight. No call starts once
	// the loop is ending.
	private <T> Either<HttpFailure, T> performCall(Supplier<Either<HttpFailure, T>> call) {
		this.callsInFlight.incrementAndGet();
		try {
			return this.closed ? Either.left(new HttpFailure.NotSent("this host is shutting down")) : call.get();
		}
		finally {
			this.callsInFlight.decrementAndGet();
		}
	}

	private PlatformCalls.DutyHolder dutyHolder(long fencing) {
		return new PlatformCalls.DutyHolder(this.settings.host(), fencing, () -> this.lease.isHeld(fencing));
	}

	private synchronized boolean advanceLease() {
		StoreOperation leaseOperation = this.lease.next();
		if (leaseOperation == null) {
			return false;
		}
		this.lease.onResult(leaseOperation, leaseOperation.perform(this.store));
		return true;
	}

	private void orderWeights() {
		Map<String, String> before = this.weightLoadScheduler.assignedModels();
		List<WeightLoadScheduler.Swap> orders = this.weightLoadScheduler.nextOrders(this.table);
		this.weightLoadScheduler.assignedModels().forEach((endpoint, model) -> {
			if (!model.equals(before.getOrDefault(endpoint, model))) {
				this.log.info("engine-reassigned", "endpoint", endpoint, "from", before.get(endpoint), "to", model);
			}
		});
		for (WeightLoadScheduler.Swap swap : orders) {
			long fencing = this.lease.fencing();
			this.executor.execute(() -> {
				if (!loadWeights(swap, fencing)) {
					this.weightLoadScheduler.onRefused(swap.holder().id());
				}
			});
		}
	}

	// Returns whether the endpoint has the version when the poll ends.
	private boolean loadWeights(WeightLoadScheduler.Swap swap, long fencing) {
		EndpointTable.ModelHolder holder = swap.holder();
		Either<HttpFailure, PlatformCalls.EngineState> state = this.calls.engineState(holder.address());
		state.forEach((known) -> this.table.onLeavingAnnounced(holder.id(), holder.startedAtMillis(), known.leaving()));
		if (state.isLeft() || state.get().busy() || state.get().leaving() || !this.lease.isHeld(fencing)) {
			return false;
		}
		if (state.get().versions().getOrDefault(swap.model(), 0L) >= swap.version()) {
			this.table.version(holder.id(), swap.model(), swap.version());
			return true;
		}
		Either<HttpFailure, Integer> response = performCall(() -> this.calls.orderWeights(dutyHolder(fencing),
				holder.address(), holder.id(), swap.model(), swap.version(), state.get().ordersAccepted()));
		this.log.info("weights-ordered", "endpoint", holder.id(), "model", swap.model(), "version", swap.version(),
				"held", holder.version(), "running", holder.running(), "fencing", fencing, "outcome",
				response.fold(HttpFailure::code, String::valueOf));
		if (response.isRight() && response.get() != STATUS_ACCEPTED && response.get() != STATUS_OK) {
			return false;
		}
		publishLoad(new PeerMessage.WeightLoad(holder.id(), swap.model(), 0, true));
		long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SWAP_TIMEOUT_MILLIS);
		while (System.nanoTime() < deadlineNanos) {
			pause(SWAP_POLL_INTERVAL_MILLIS);
			Either<HttpFailure, PlatformCalls.EngineState> now = this.calls.engineState(holder.address());
			if (now.isRight() && now.get().versions().getOrDefault(swap.model(), 0L) >= swap.version()) {
				publishLoad(new PeerMessage.WeightLoad(holder.id(), swap.model(), swap.version(), false));
				return true;
			}
		}
		publishLoad(new PeerMessage.WeightLoad(holder.id(), swap.model(), 0, false));
		return false;
	}

	private void publishLoad(PeerMessage.WeightLoad load) {
		this.table.onWeightLoad(load.endpoint(), load.model(), load.version(), load.inProgress());
		this.publisher.accept(load);
	}

	private void cleanUp(long now) {
		if (this.nextCleanupMillis == 0) {
			this.nextCleanupMillis = now + CLEANUP_INTERVAL_MILLIS;
		}
		if (now >= this.nextCleanupMillis) {
			this.nextCleanupMillis = now + CLEANUP_INTERVAL_MILLIS;
			this.executor.execute(() -> this.cleanup.run(now));
		}
	}

	private void orderEndpoints() {
		long now = System.nanoTime() / 1_000_000L;
		if (now < this.nextScalingMillis) {
			return;
		}
		this.nextScalingMillis = now + SCALING_INTERVAL_MILLIS;
		updateDemand(this.settings.host(), this.ownDemand.get(), this.ownWork.get());
		for (ServiceRule rule : this.table.serviceRules()) {
			int demand = this.demandByHost.values().stream().mapToInt((map) -> map.getOrDefault(rule.name(), 0)).sum();
			Set<String> domains = new HashSet<>(this.settings.domains());
			domains.removeAll(this.table.disabledDomains());
			if (rule.spotScaling() != null) {
				this.spotOrders.order(rule, domains,
						(order) -> sendOrder(order.service(), order.domain(), order.spot(), order.count()));
				continue;
			}
			for (EndpointAutoscaler.Order order : this.autoscaler.nextOrders(rule, demand,
					this.table.slots(rule.name()), this.table.countByDomain(rule.name()), domains)) {
				if (this.lease.fencing() == 0) {
					return;
				}
				Either<HttpFailure, PlatformCalls.OrderReply> response = sendOrder(order.service(), order.domain(),
						false, order.count());
				this.log.info("endpoints-ordered", "service", order.service(), "domain", order.domain(), "count",
						order.count(), "demand", demand, "outcome",
						response.fold(HttpFailure::code, (reply) -> String.valueOf(reply.status())));
			}
		}
	}

	private Either<HttpFailure, PlatformCalls.OrderReply> sendOrder(String service, String domain, boolean spot,
			int count) {
		long fencing = this.lease.fencing();
		if (fencing == 0) {
			return Either.left(new HttpFailure.NotSent("this host does not hold the duties"));
		}
		return performCall(() -> this.calls.orderEndpoints(dutyHolder(fencing), service, domain, spot, count));
	}

	private void reportUsage(long now) {
		long windowMillis = this.settings.usageWindowMillis();
		long newest = (now - WINDOW_SETTLE_MILLIS) / windowMillis - 1;
		long oldest = (now - this.settings.usageLateMillis()) / windowMillis;
		for (long window = oldest; window <= newest; window++) {
			if (this.reportedWindows.contains(window) || now < this.retryAtMillis.getOrDefault(window, 0L)) {
				continue;
			}
			this.retryAtMillis.put(window, now + REPORT_RETRY_DELAY_MILLIS);
			reportWindow(window);
		}
		this.reportedWindows.removeIf((window) -> window < oldest - 100);
		this.retryAtMillis.keySet().removeIf((window) -> window < oldest);
	}

	private void reportWindow(long window) {
		long fencing = this.lease.fencing();
		WindowFigures figures = new WindowFigures(new TreeMap<>(this.usage.total(window)));
		String key = WINDOWS_KIND + "/" + window;
		Either<StoreFailure, Long> created = this.store.create(key, CoreJson.bytes(figures));
		if (created.isLeft()) {
			// The window may also exist because the response to an earlier attempt was
			// lost. The stored counts are the ones that are reported.
			Either<StoreFailure, Option<StoredObject>> read = this.store.read(key);
			if (read.isLeft() || read.get().isEmpty()) {
				return;
			}
			figures = CoreJson.read(read.get().get().body(), WindowFigures.class).getOrElse((WindowFigures) null);
			if (figures == null) {
				this.log.warn("usage-window-unreadable", "window", window);
				return;
			}
		}
		if (!this.lease.isHeld(fencing) || fencing == 0) {
			return;
		}
		Map<String, Long> counts = figures.counts();
		Either<HttpFailure, Integer> sent = performCall(
				() -> this.calls.reportUsage(dutyHolder(fencing), window, counts));
		this.log.info("usage-reported", "window", window, "fencing", fencing, "counts", figures.counts(), "outcome",
				sent.fold(HttpFailure::code, String::valueOf));
		if (sent.isRight() && sent.get() == STATUS_OK) {
			this.reportedWindows.add(window);
			this.counters.counter("usage_windows_reported_total").inc();
		}
	}

	private static void pause(long millis) {
		try {
			TimeUnit.MILLISECONDS.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * The counts of a usage window, fixed in the store before they are first reported.
	 *
	 * @param counts the number of requests by workspace
	 */
	record WindowFigures(Map<String, Long> counts) {
	}

}
