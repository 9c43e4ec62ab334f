package org.bamboorelay.core.scenario;

import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

import io.vavr.control.Option;
import org.bamboorelay.core.connection.PeerMessage.UsageCount;
import org.bamboorelay.core.process.LeaseState;
import org.bamboorelay.core.process.OrderLog;
import org.bamboorelay.core.process.OrderLog.OrderIntent;
import org.bamboorelay.core.process.StoreOperation;
import org.bamboorelay.core.process.StoreStateMachine;
import org.bamboorelay.core.process.UsageParts;
import org.bamboorelay.core.process.UsageWindows;
import org.bamboorelay.core.process.UsageWindows.WindowRecord;

/**
 * A control process: leases, orders and usage reports. The process can be frozen or
 * killed before and after each call to the store or the platform.
 */
final class ControlNode {

	/** The number of start orders that each domain needs. */
	static final int START_ORDERS_PER_DOMAIN = 3;

	static final long WINDOW_MILLIS = 5_000;

	static final long GRACE_MILLIS = 1_000;

	private static final long STEP_INTERVAL_MILLIS = 100;

	private static final long USAGE_PULL_INTERVAL_MILLIS = 1_000;

	final LeaseState domainLease;

	final LeaseState usageLease;

	private final Simulation simulation;

	private final SimulatedProcess process;

	private final String name;

	private final OrderLog log;

	private final UsageParts parts;

	private final UsageWindows windows;

	private final Set<String> confirmed = new HashSet<>();

	/** State machines with a store operation in progress. */
	private final Set<StoreStateMachine> inProgress = new HashSet<>();

	private boolean orderInProgress;

	private boolean reportInProgress;

	ControlNode(Simulation simulation, SimulatedProcess process) {
		this.simulation = simulation;
		this.process = process;
		this.name = process.name();
		Random random = simulation.random;
		this.domainLease = lease("leases/" + process.domain);
		this.usageLease = lease("leases/usage");
		this.log = OrderLog.of(process.domain, this.name, simulation.loop.clock, this.domainLease::isHeld,
				random::nextDouble);
		this.parts = UsageParts.of(process.domain, this.name, simulation.loop.clock, this.domainLease::isHeld,
				random::nextDouble);
		this.windows = UsageWindows.of(this.name, simulation.loop.clock, this.usageLease::isHeld, random::nextDouble);
		simulation.loop.every(STEP_INTERVAL_MILLIS, process, () -> {
			List.of(this.domainLease, this.usageLease, this.log, this.parts, this.windows).forEach(this::advance);
			placeOrders();
			report();
		});
		simulation.loop.every(USAGE_PULL_INTERVAL_MILLIS, process, this::pullUsage);
	}

	private LeaseState lease(String key) {
		return LeaseState.of(key, this.name, this.simulation.loop.clock, this::timing,
				this.simulation.random::nextDouble);
	}

	private LeaseState.Timing timing() {
		LeaseState.Timing timing = LeaseState.Timing.standard(this.simulation.platformChecksFencing);
		return (this.simulation.mutation != Mutation.EARLY_TAKEOVER) ? timing
				: new LeaseState.Timing(timing.durationMillis(), timing.renewIntervalMillis(),
						timing.renewIntervalMillis(), timing.pollIntervalMillis());
	}

	private void advance(StoreStateMachine decision) {
		if (this.inProgress.contains(decision)) {
			return;
		}
		StoreOperation step = decision.next();
		if (step != null) {
			this.inProgress.add(decision);
			this.simulation.network.store(this.process, step, (result) -> {
				this.inProgress.remove(decision);
				decision.onResult(step, result);
				advance(decision);
			});
		}
	}

	private void placeOrders() {
		long fencing = this.domainLease.fencing();
		if (fencing == 0 || this.orderInProgress) {
			return;
		}
		this.log.beginTerm(fencing);
		if (!this.log.isSealed()) {
			return;
		}
		Set<String> known = new HashSet<>(this.simulation.platform.acceptedOrders(this.process.domain));
		this.log.openIntents().forEach((intent) -> known.add(intent.orderId()));
		if (known.size() < START_ORDERS_PER_DOMAIN) {
			this.log.add("start", Simulation.SERVICE, "steady", null);
		}
		for (OrderIntent intent : this.log.sendableIntents()) {
			if (!this.confirmed.contains(intent.orderId())) {
				this.orderInProgress = true;
				send(intent, fencing);
				return;
			}
		}
	}

	private void send(OrderIntent intent, long fencing) {
		// The lease is checked before the last byte is sent; the order then arrives,
		// and the response follows.
		this.simulation.loop.after(2, this.process, () -> {
			if (!this.domainLease.isHeld(fencing) || !this.simulation.network.reachesPlatform(this.process)) {
				this.orderInProgress = false;
				return;
			}
			this.simulation.loop.after(this.simulation.network.latency(), this.process, () -> {
				boolean accepted = this.simulation.platform.order(this, intent, fencing);
				this.simulation.loop.after(this.simulation.network.latency(), this.process, () -> {
					this.orderInProgress = false;
					if (accepted) {
						this.confirmed.add(intent.orderId());
						this.log.complete(intent.orderId());
					}
				});
			});
		});
	}

	private void pullUsage() {
		if (this.domainLease.fencing() > 0) {
			this.parts.beginTerm(this.domainLease.fencing());
		}
		this.parts.onTick(this.simulation.loop.now(), WINDOW_MILLIS, GRACE_MILLIS);
		for (SimulatedProcess peer : this.simulation.processes) {
			if (!peer.domain.equals(this.process.domain)) {
				continue;
			}
			if (peer.isRunning(this.simulation.loop.now()) && this.simulation.network.connects(this.process, peer)) {
				this.parts.onCounters(peer.host, this.simulation.usage.counters(peer));
			}
			else {
				this.parts.onNoAnswer(peer.host);
			}
		}
	}

	private void report() {
		long fencing = this.usageLease.fencing();
		if (fencing == 0 || this.reportInProgress) {
			return;
		}
		this.windows.beginTerm(fencing);
		this.windows.onTick(this.simulation.loop.now(), this.simulation.domains, WINDOW_MILLIS, GRACE_MILLIS);
		Option<WindowRecord> due = this.windows.sendable();
		if (due.isEmpty()) {
			return;
		}
		this.reportInProgress = true;
		this.simulation.loop.after(2, this.process, () -> {
			if (!this.usageLease.isHeld(fencing) || !this.simulation.network.reachesPlatform(this.process)) {
				this.reportInProgress = false;
				return;
			}
			this.simulation.loop.after(this.simulation.network.latency(), this.process, () -> {
				boolean confirmed = this.simulation.platform.report(this, reportedRecord(due.get()));
				this.simulation.loop.after(this.simulation.network.latency(), this.process, () -> {
					this.reportInProgress = false;
					if (confirmed) {
						this.windows.sent(due.get().window());
					}
				});
			});
		});
	}

	private WindowRecord reportedRecord(WindowRecord frozen) {
		if (this.simulation.mutation != Mutation.LIVE_COUNTERS) {
			return frozen;
		}
		List<UsageCount> live = this.simulation.processes.stream()
			.flatMap((peer) -> this.simulation.usage.counters(peer).counts().stream())
			.toList();
		return new WindowRecord(frozen.token(), frozen.fencing(), frozen.window(), frozen.end(), live,
				frozen.corrections(), frozen.gaps(), frozen.next());
	}

	String name() {
		return this.name;
	}

	SimulatedProcess process() {
		return this.process;
	}

}
