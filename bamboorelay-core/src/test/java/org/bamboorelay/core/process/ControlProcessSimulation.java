package org.bamboorelay.core.process;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.bamboorelay.core.connection.PeerMessage.UsageCount;
import org.bamboorelay.core.connection.PeerMessage.UsageCounters;
import org.bamboorelay.core.process.OrderLog.OrderIntent;
import org.bamboorelay.core.process.UsageWindows.WindowRecord;
import org.bamboorelay.core.store.FakeObjectStore;
import org.bamboorelay.core.store.StoreFailure;
import org.bamboorelay.core.store.StoredObject;
import org.bamboorelay.core.time.ManualClock;
import org.bamboorelay.core.version.CoreJson;
import org.bamboorelay.core.version.FailureDomain;
import org.bamboorelay.core.version.HostId;
import org.bamboorelay.core.version.ServiceId;
import org.bamboorelay.core.version.WorkspaceId;
import org.jspecify.annotations.Nullable;

/**
 * Simulates the control processes of one domain with a fake store and a fake platform.
 * The processes advance by single steps, so that a process can be frozen or killed
 * between any two of them.
 */
final class ControlProcessSimulation {

	static final FailureDomain DOMAIN = FailureDomain.of("gt-centro-a");

	static final int WANTED_ENDPOINTS = 3;

	static final long WINDOW_MILLIS = 10_000;

	static final long GRACE_MILLIS = 2_000;

	private static final ServiceId SERVICE = ServiceId.of("modelo-huerto");

	static final int THREADS_PER_PROCESS = 6;

	final ManualClock clock = ManualClock.of(1_000_000);

	final FakeObjectStore store = new FakeObjectStore(this.clock);

	final List<ControlProcess> controlProcesses = new ArrayList<>();

	final Map<String, EntryProcess> entryProcesses = new TreeMap<>();

	/** Ids of the orders that took effect, with the number of arrivals of each. */
	final Map<String, Integer> effectiveOrders = new LinkedHashMap<>();

	final Map<Long, WindowRecord> reports = new TreeMap<>();

	final List<String> violations = new ArrayList<>();

	final Random random;

	final boolean fencedReceiver;

	/** Length of new windows, in milliseconds. */
	long windowMillis = WINDOW_MILLIS;

	int ordersAfterLeaseEnd;

	int reportsAfterLeaseEnd;

	/** All incarnations of entry processes, including dead ones. */
	private final List<EntryProcess> allEntryProcesses = new ArrayList<>();

	/** Incarnations that occur in any checkpoint in the store. */
	private final Set<String> checkpointedIncarnations = new HashSet<>();

	private long highestFencing;

	private int processCount;

	ControlProcessSimulation(long seed, int controlProcessCount, boolean fencedReceiver) {
		this.random = new Random(seed);
		this.fencedReceiver = fencedReceiver;
		for (int i = 0; i < controlProcessCount; i++) {
			this.controlProcesses.add(new ControlProcess());
		}
		startEntryProcess("gt-a-1");
		startEntryProcess("gt-a-2");
		this.store.onWritten((object) -> {
			if (object.key().startsWith("usage/parts/") && !object.key().endsWith("latest")) {
				CoreJson.read(object.body(), UsageParts.Part.class)
					.forEach((part) -> this.checkpointedIncarnations.addAll(part.readings().keySet()));
			}
		});
	}

	/** Kills a control process and starts a new one in its place. */
	void kill(int index) {
		this.controlProcesses.set(index, new ControlProcess());
	}

	void killEntryProcess(String host) {
		EntryProcess dead = this.entryProcesses.get(host);
		dead.known = this.checkpointedIncarnations.contains(dead.incarnation);
		dead.dead = true;
		startEntryProcess(host);
	}

	private void startEntryProcess(String host) {
		EntryProcess entry = new EntryProcess(host);
		this.entryProcesses.put(host, entry);
		this.allEntryProcesses.add(entry);
	}

	/** Runs all control processes in turn for a given time. */
	void runFor(long millis, int stepMillis) {
		long until = this.clock.millis() + millis;
		while (this.clock.millis() < until) {
			this.controlProcesses.forEach(ControlProcess::step);
			this.clock.advance(stepMillis);
			checkInvariants();
		}
	}

	void checkInvariants() {
		if (this.controlProcesses.stream().filter((process) -> process.domainLease.isHeld()).count() > 1) {
			this.violations.add("invariant 7: two holders of the domain lease");
		}
		if (this.controlProcesses.stream().filter((process) -> process.usageLease.isHeld()).count() > 1) {
			this.violations.add("invariant 8: two holders of the usage lease");
		}
		if (this.effectiveOrders.size() > WANTED_ENDPOINTS) {
			this.violations.add("invariant 7: orders that took effect: " + this.effectiveOrders.keySet());
		}
	}

	long reportedRequests() {
		return this.reports.values()
			.stream()
			.mapToLong((report) -> requests(report.figures())
					+ report.corrections().stream().mapToLong((correction) -> requests(correction.counts())).sum())
			.sum();
	}

	long servedRequests() {
		return this.allEntryProcesses.stream().mapToLong((entry) -> entry.requests).sum();
	}

	long gaps() {
		return this.reports.values().stream().mapToLong((report) -> report.gaps().size()).sum();
	}

	/**
	 * Compares the reported requests of each incarnation with those that it served. Each
	 * incarnation uses a workspace of its own, so that each count can be traced to it.
	 * Returns a description of each difference.
	 */
	List<String> usageDiscrepancies() {
		Map<String, Long> reportedRequests = new TreeMap<>();
		Set<String> gaps = new HashSet<>();
		this.reports.values().forEach((report) -> {
			List<UsageCount> counts = new ArrayList<>(report.figures());
			report.corrections().forEach((correction) -> counts.addAll(correction.counts()));
			counts.forEach((count) -> reportedRequests.merge(count.workspace().value(), count.requests(), Long::sum));
			report.gaps().forEach((gap) -> gaps.add(gap.source()));
		});
		List<String> discrepancies = new ArrayList<>();
		for (EntryProcess entry : this.allEntryProcesses) {
			long sum = reportedRequests.getOrDefault(entry.incarnation, 0L);
			boolean lost = entry.dead && (gaps.contains(entry.incarnation) || !entry.known);
			if (sum > entry.requests || (sum < entry.requests && !lost)) {
				discrepancies.add(entry.incarnation + " served " + entry.requests + ", reported " + sum);
			}
		}
		return discrepancies;
	}

	private static long requests(List<UsageCount> counts) {
		return counts.stream().mapToLong(UsageCount::requests).sum();
	}

	private void receive(ControlProcess sender, OrderIntent intent, long fencing) {
		if (this.fencedReceiver && fencing < this.highestFencing) {
			return;
		}
		this.highestFencing = Math.max(this.highestFencing, fencing);
		if (!sender.domainLease.isHeld()
				&& this.controlProcesses.stream().anyMatch((other) -> other != sender && other.domainLease.isHeld())) {
			this.ordersAfterLeaseEnd++;
		}
		this.effectiveOrders.merge(intent.orderId(), 1, Integer::sum);
	}

	private void receive(ControlProcess sender, WindowRecord record) {
		if (!sender.usageLease.isHeld()
				&& this.controlProcesses.stream().anyMatch((other) -> other != sender && other.usageLease.isHeld())) {
			this.reportsAfterLeaseEnd++;
		}
		WindowRecord previous = this.reports.putIfAbsent(record.window(), record);
		if (previous != null && !previous.equals(record)) {
			this.violations.add("invariant 8: window " + record.window() + " was reported with different counts");
		}
	}

	/** An entry process with cumulative counters. */
	final class EntryProcess {

		final HostId host;

		final String incarnation = "entry-" + (++ControlProcessSimulation.this.processCount);

		long requests;

		boolean reachable = true;

		boolean dead;

		/** Whether it occurred in a checkpoint when it died. */
		boolean known;

		EntryProcess(String host) {
			this.host = HostId.of(host);
		}

		UsageCounters counters() {
			return new UsageCounters(this.incarnation, false, List
				.of(new UsageCount(WorkspaceId.of(this.incarnation), SERVICE, this.requests, this.requests * 10)));
		}

	}

	/**
	 * A control process. Each call of {@link #step()} performs one action, after which
	 * the process can be frozen.
	 */
	final class ControlProcess {

		private final String name = "control-" + (++ControlProcessSimulation.this.processCount);

		final LeaseState domainLease = lease("leases/" + DOMAIN);

		final LeaseState usageLease = lease("leases/usage");

		final OrderLog log = OrderLog.of(DOMAIN, this.name, ControlProcessSimulation.this.clock,
				this.domainLease::isHeld, ControlProcessSimulation.this.random::nextDouble);

		final UsageParts parts = UsageParts.of(DOMAIN, this.name, ControlProcessSimulation.this.clock,
				this.domainLease::isHeld, ControlProcessSimulation.this.random::nextDouble);

		final UsageWindows windows = UsageWindows.of(this.name, ControlProcessSimulation.this.clock,
				this.usageLease::isHeld, ControlProcessSimulation.this.random::nextDouble);

		final Set<String> answeredOrders = new HashSet<>();

		private final @Nullable Runnable[] continuations = new Runnable[THREADS_PER_PROCESS];

		private int currentThread;

		private LeaseState lease(String key) {
			return LeaseState.of(key, this.name, ControlProcessSimulation.this.clock,
					() -> LeaseState.Timing.standard(ControlProcessSimulation.this.fencedReceiver),
					ControlProcessSimulation.this.random::nextDouble);
		}

		/** Performs one action of the next thread of the process. */
		void step() {
			this.currentThread = (this.currentThread + 1) % this.continuations.length;
			Runnable continuation = this.continuations[this.currentThread];
			this.continuations[this.currentThread] = null;
			if (continuation != null) {
				continuation.run();
				return;
			}
			switch (this.currentThread) {
				case 0 -> performNextOperation(this.domainLease);
				case 1 -> performNextOperation(this.usageLease);
				case 2 -> sendOrders();
				case 3 -> readCounters();
				case 4 -> performNextOperation(this.parts);
				default -> report();
			}
		}

		private void continueWith(Runnable next) {
			this.continuations[this.currentThread] = next;
		}

		private void performNextOperation(StoreStateMachine stateMachine) {
			StoreOperation step = stateMachine.next();
			if (step != null) {
				continueWith(() -> {
					Either<StoreFailure, Option<StoredObject>> result = step
						.perform(ControlProcessSimulation.this.store);
					continueWith(() -> stateMachine.onResult(step, result));
				});
			}
		}

		private void sendOrders() {
			long fencing = this.domainLease.fencing();
			if (fencing == 0) {
				return;
			}
			this.log.beginTerm(fencing);
			if (this.log.isSealed()) {
				Set<String> known = new HashSet<>(ControlProcessSimulation.this.effectiveOrders.keySet());
				this.log.openIntents().forEach((intent) -> known.add(intent.orderId()));
				if (known.size() < WANTED_ENDPOINTS) {
					this.log.add("start", SERVICE, "steady", null);
				}
				for (OrderIntent intent : this.log.sendableIntents()) {
					if (!this.answeredOrders.contains(intent.orderId())) {
						// First the lease check before the last byte, then the arrival.
						continueWith(() -> {
							if (this.domainLease.isHeld(fencing)) {
								continueWith(() -> {
									receive(this, intent, fencing);
									this.answeredOrders.add(intent.orderId());
									continueWith(() -> this.log.complete(intent.orderId()));
								});
							}
						});
						return;
					}
				}
			}
			performNextOperation(this.log);
		}

		private void readCounters() {
			if (this.domainLease.fencing() > 0) {
				this.parts.beginTerm(this.domainLease.fencing());
			}
			this.parts.onTick(ControlProcessSimulation.this.clock.millis(), ControlProcessSimulation.this.windowMillis,
					GRACE_MILLIS);
			ControlProcessSimulation.this.entryProcesses.values().forEach((entry) -> {
				if (entry.reachable) {
					this.parts.onCounters(entry.host, entry.counters());
				}
				else {
					this.parts.onNoAnswer(entry.host);
				}
			});
		}

		private void report() {
			long fencing = this.usageLease.fencing();
			if (fencing == 0) {
				return;
			}
			this.windows.beginTerm(fencing);
			this.windows.onTick(ControlProcessSimulation.this.clock.millis(), List.of(DOMAIN),
					ControlProcessSimulation.this.windowMillis, GRACE_MILLIS);
			Option<WindowRecord> due = this.windows.sendable();
			if (due.isEmpty()) {
				performNextOperation(this.windows);
				return;
			}
			continueWith(() -> {
				if (this.usageLease.isHeld(fencing)) {
					continueWith(() -> {
						receive(this, due.get());
						continueWith(() -> this.windows.sent(due.get().window()));
					});
				}
			});
		}

	}

}
