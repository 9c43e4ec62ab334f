package org.bamboorelay.host.process;

import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.bamboorelay.core.process.EndpointOrders;
import org.bamboorelay.core.process.EndpointTable;
import org.bamboorelay.core.process.LeaseState;
import org.bamboorelay.core.process.StoreStep;
import org.bamboorelay.core.process.WeightSwaps;
import org.bamboorelay.core.store.StoreFailure;
import org.bamboorelay.core.store.StoredObject;
import org.bamboorelay.core.store.WatchedStore;
import org.bamboorelay.core.time.Clock;
import org.bamboorelay.core.version.CoreJson;
import org.bamboorelay.core.version.ServiceRule;
import org.bamboorelay.host.connection.PlatformCalls;
import org.bamboorelay.runtime.connection.HttpFailure;
import org.bamboorelay.runtime.process.Counters;

/**
 * Takes turns at the duties of the deployment under one lease: usage reports and weights.
 * Each call goes out only while the lease runs, which is checked right before.
 * <p>
 * One thread runs the loop; weight orders run on others.
 */
public final class DutyLoop implements Runnable {

	/** The key of the lease. */
	public static final String LEASE_KEY = "leases/duties";

	/** The kind of the frozen figures of usage windows. */
	static final String WINDOWS_KIND = "usage-windows";

	/** How often duties are looked at by their holder, in milliseconds. */
	private static final long TICK_MILLIS = 40;

	/** How often a host without a step to take looks at the lease, in milliseconds. */
	private static final long IDLE_TICK_MILLIS = 200;

	/**
	 * Wait after the end of a window for the last figures of other hosts, in
	 * milliseconds; they pass them on twice a second.
	 */
	private static final long SETTLE_MILLIS = 2_500;

	/** Pause between two tries of a report, in milliseconds. */
	private static final long REPORT_RETRY_MILLIS = 400;

	/** How often the number of endpoints is looked at, in milliseconds. */
	private static final long SCALING_MILLIS = 500;

	/** How often the store is cleaned, in milliseconds. */
	private static final long CLEANUP_MILLIS = 120_000;

	/** How often an engine that loads weights is asked whether it is done. */
	private static final long SWAP_POLL_MILLIS = 150;

	/** The longest time that a load is followed, in milliseconds. */
	private static final long SWAP_LIMIT_MILLIS = 2_500;

	private static final int STATUS_ACCEPTED = 202;

	private static final int STATUS_OK = 200;

	private final HostSettings settings;

	private final LeaseState lease;

	private final WatchedStore store;

	private final PlatformCalls calls;

	private final EndpointTable table;

	private final WeightSwaps swaps;

	private final UsageMeter usage;

	private final ExecutorService threads;

	private final Counters counters;

	private final EventLog log;

	private final EndpointOrders orders = EndpointOrders.of(Clock.monotonic());

	private final Map<String, Map<String, Integer>> demands = new ConcurrentHashMap<>();

	private final Supplier<Map<String, Integer>> ownDemand;

	private final StoreCleanup cleanup;

	private long nextCleanup;

	private long nextScaling;

	private final Set<Long> reported = new HashSet<>();

	private final Map<Long, Long> retryAt = new TreeMap<>();

	private final AtomicInteger acting = new AtomicInteger();

	private volatile boolean closed;

	private boolean held;

	/**
	 * Creates the loop.
	 * @param settings the settings of the process
	 * @param lease the lease of the duties
	 * @param store the platform's store
	 * @param calls the calls of the duties
	 * @param table the endpoints
	 * @param swaps decides on weights
	 * @param usage the usage figures
	 * @param ownDemand items that run or wait at this host, by service
	 * @param threads runs weight orders
	 * @param counters the metrics of the process
	 * @param log the log of the process
	 */
	public DutyLoop(HostSettings settings, LeaseState lease, WatchedStore store, PlatformCalls calls,
			EndpointTable table, WeightSwaps swaps, UsageMeter usage, Supplier<Map<String, Integer>> ownDemand,
			ExecutorService threads, Counters counters, EventLog log) {
		this.ownDemand = Objects.requireNonNull(ownDemand, "ownDemand");
		this.settings = Objects.requireNonNull(settings, "settings");
		this.lease = Objects.requireNonNull(lease, "lease");
		this.store = Objects.requireNonNull(store, "store");
		this.cleanup = new StoreCleanup(store, settings.statusMillis(), settings.usageWindowMillis(), log);
		this.calls = Objects.requireNonNull(calls, "calls");
		this.table = Objects.requireNonNull(table, "table");
		this.swaps = Objects.requireNonNull(swaps, "swaps");
		this.usage = Objects.requireNonNull(usage, "usage");
		this.threads = Objects.requireNonNull(threads, "threads");
		this.counters = Objects.requireNonNull(counters, "counters");
		this.log = Objects.requireNonNull(log, "log");
	}

	/**
	 * Takes the demand that another host tells of.
	 * @param host the host
	 * @param demand items that run or wait there, by service
	 */
	public void demand(String host, Map<String, Integer> demand) {
		this.demands.put(host, Map.copyOf(demand));
	}

	@Override
	public void run() {
		while (!this.closed) {
			Steps.run(this.log, "duties", this::step);
		}
	}

	private void step() {
		boolean stepped = drive();
		boolean now = this.lease.isHeld();
		if (now != this.held) {
			this.held = now;
			this.log.info(now ? "duties-taken" : "duties-lost", "fencing", this.lease.fencing());
		}
		if (now) {
			orderWeights();
			reportUsage(System.currentTimeMillis());
			orderEndpoints();
			cleanUp(System.currentTimeMillis());
		}
		pause((now || stepped) ? TICK_MILLIS : IDLE_TICK_MILLIS);
	}

	/**
	 * Ends the loop, and gives the lease back once no call of a duty is on its way: the
	 * next holder acts at once, and receivers do not compare fencing numbers. Where a
	 * call does not end in time, the lease is left to run out.
	 * @param millis the longest wait, in milliseconds
	 */
	public void leave(long millis) {
		this.closed = true;
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
		while (this.acting.get() > 0 && System.nanoTime() < end) {
			pause(TICK_MILLIS);
		}
		if (this.acting.get() > 0) {
			this.log.warn("lease-not-released", "reason", "calls-on-their-way", "calls", this.acting.get());
			return;
		}
		this.lease.release();
		while (!this.lease.isReleased() && System.nanoTime() < end) {
			drive();
			pause(TICK_MILLIS);
		}
	}

	// Counts a call of a duty while it is on its way. None begins once the loop ends.
	private Either<HttpFailure, Integer> act(Supplier<Either<HttpFailure, Integer>> call) {
		this.acting.incrementAndGet();
		try {
			return this.closed ? Either.left(new HttpFailure.NotSent("this host leaves")) : call.get();
		}
		finally {
			this.acting.decrementAndGet();
		}
	}

	private PlatformCalls.DutySender sender(long fencing) {
		return new PlatformCalls.DutySender(this.settings.host(), fencing, () -> this.lease.isHeld(fencing));
	}

	private synchronized boolean drive() {
		StoreStep step = this.lease.next();
		if (step == null) {
			return false;
		}
		this.lease.onResult(step, step.perform(this.store));
		return true;
	}

	private void orderWeights() {
		for (WeightSwaps.Swap swap : this.swaps.next(this.table)) {
			long fencing = this.lease.fencing();
			this.threads.execute(() -> {
				if (!swap(swap, fencing)) {
					this.swaps.refused(swap.holder().id());
				}
			});
		}
	}

	// Returns whether the endpoint holds the version in the end.
	private boolean swap(WeightSwaps.Swap swap, long fencing) {
		EndpointTable.ModelHolder holder = swap.holder();
		Either<HttpFailure, PlatformCalls.EngineState> state = this.calls.engineState(holder.address());
		state.forEach((known) -> this.table.heard(holder.id(), holder.bornMillis(), known.leaving()));
		if (state.isLeft() || state.get().busy() || state.get().leaving() || !this.lease.isHeld(fencing)) {
			return false;
		}
		if (state.get().versions().getOrDefault(swap.model(), 0L) >= swap.version()) {
			this.table.version(holder.id(), swap.model(), swap.version());
			return true;
		}
		Either<HttpFailure, Integer> answer = act(() -> this.calls.orderWeights(sender(fencing), holder.address(),
				holder.id(), swap.model(), swap.version(), state.get().ordersAccepted()));
		this.log.info("weights-ordered", "endpoint", holder.id(), "model", swap.model(), "version", swap.version(),
				"held", holder.version(), "running", holder.running(), "fencing", fencing, "outcome",
				answer.fold(HttpFailure::code, String::valueOf));
		if (answer.isRight() && answer.get() != STATUS_ACCEPTED && answer.get() != STATUS_OK) {
			return false;
		}
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SWAP_LIMIT_MILLIS);
		while (System.nanoTime() < end) {
			pause(SWAP_POLL_MILLIS);
			Either<HttpFailure, PlatformCalls.EngineState> now = this.calls.engineState(holder.address());
			if (now.isRight() && now.get().versions().getOrDefault(swap.model(), 0L) >= swap.version()) {
				this.table.version(holder.id(), swap.model(), swap.version());
				return true;
			}
		}
		return false;
	}

	private void cleanUp(long now) {
		if (this.nextCleanup == 0) {
			this.nextCleanup = now + CLEANUP_MILLIS;
		}
		if (now >= this.nextCleanup) {
			this.nextCleanup = now + CLEANUP_MILLIS;
			this.threads.execute(() -> this.cleanup.run(now));
		}
	}

	private void orderEndpoints() {
		long now = System.nanoTime() / 1_000_000L;
		if (now < this.nextScaling) {
			return;
		}
		this.nextScaling = now + SCALING_MILLIS;
		this.demands.put(this.settings.host(), this.ownDemand.get());
		for (ServiceRule rule : this.table.serviceRules()) {
			int demand = this.demands.values().stream().mapToInt((map) -> map.getOrDefault(rule.name(), 0)).sum();
			Set<String> domains = new HashSet<>(this.settings.domains());
			domains.removeAll(this.table.closedDomains());
			for (EndpointOrders.Order order : this.orders.next(rule, demand, this.table.slots(rule.name()),
					this.table.countByDomain(rule.name()), domains)) {
				long fencing = this.lease.fencing();
				if (fencing == 0) {
					return;
				}
				Either<HttpFailure, Integer> answer = act(() -> this.calls.orderEndpoints(sender(fencing),
						order.service(), order.domain(), order.count()));
				this.log.info("endpoints-ordered", "service", order.service(), "domain", order.domain(), "count",
						order.count(), "demand", demand, "outcome", answer.fold(HttpFailure::code, String::valueOf));
			}
		}
	}

	private void reportUsage(long now) {
		long length = this.settings.usageWindowMillis();
		long newest = (now - SETTLE_MILLIS) / length - 1;
		long oldest = (now - this.settings.usageLateMillis()) / length;
		for (long window = oldest; window <= newest; window++) {
			if (this.reported.contains(window) || now < this.retryAt.getOrDefault(window, 0L)) {
				continue;
			}
			this.retryAt.put(window, now + REPORT_RETRY_MILLIS);
			report(window);
		}
		this.reported.removeIf((window) -> window < oldest - 100);
		this.retryAt.keySet().removeIf((window) -> window < oldest);
	}

	private void report(long window) {
		long fencing = this.lease.fencing();
		WindowFigures figures = new WindowFigures(new TreeMap<>(this.usage.total(window)));
		String key = WINDOWS_KIND + "/" + window;
		Either<StoreFailure, Long> frozen = this.store.create(key, CoreJson.bytes(figures));
		if (frozen.isLeft()) {
			// Also after a lost answer: what the store holds is what is sent.
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
		Either<HttpFailure, Integer> sent = act(() -> this.calls.reportUsage(sender(fencing), window, counts));
		this.log.info("usage-reported", "window", window, "fencing", fencing, "counts", figures.counts(), "outcome",
				sent.fold(HttpFailure::code, String::valueOf));
		if (sent.isRight() && sent.get() == STATUS_OK) {
			this.reported.add(window);
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
	 * The figures of a usage window, frozen before they are first sent.
	 *
	 * @param counts requests by workspace
	 */
	record WindowFigures(Map<String, Long> counts) {
	}

}
