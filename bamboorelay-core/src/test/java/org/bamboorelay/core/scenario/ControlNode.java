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
import org.bamboorelay.core.process.StoreDecision;
import org.bamboorelay.core.process.StoreStep;
import org.bamboorelay.core.process.UsageParts;
import org.bamboorelay.core.process.UsageWindows;
import org.bamboorelay.core.process.UsageWindows.WindowRecord;

/**
 * The control duties of one process: leases, orders and usage. A freeze or kill can come
 * before and after each call of the store and the platform.
 */
final class ControlNode {

	/** Start orders that each domain needs. */
	static final int WANTED = 3;

	static final long WINDOW_MILLIS = 5_000;

	static final long GRACE_MILLIS = 1_000;

	private static final long STEP_MILLIS = 100;

	private static final long PULL_MILLIS = 1_000;

	final LeaseState domainLease;

	final LeaseState usageLease;

	private final World world;

	private final SimProcess process;

	private final String name;

	private final OrderLog log;

	private final UsageParts parts;

	private final UsageWindows windows;

	private final Set<String> answered = new HashSet<>();

	/** Decisions whose call of the store is under way. */
	private final Set<StoreDecision> calling = new HashSet<>();

	private boolean ordering;

	private boolean reporting;

	ControlNode(World world, SimProcess process) {
		this.world = world;
		this.process = process;
		this.name = process.name();
		Random random = world.random;
		this.domainLease = lease("leases/" + process.domain);
		this.usageLease = lease("leases/usage");
		this.log = OrderLog.of(process.domain, this.name, world.loop.clock, this.domainLease::isHeld,
				random::nextDouble);
		this.parts = UsageParts.of(process.domain, this.name, world.loop.clock, this.domainLease::isHeld,
				random::nextDouble);
		this.windows = UsageWindows.of(this.name, world.loop.clock, this.usageLease::isHeld, random::nextDouble);
		world.loop.every(STEP_MILLIS, process, () -> {
			List.of(this.domainLease, this.usageLease, this.log, this.parts, this.windows).forEach(this::drive);
			orders();
			report();
		});
		world.loop.every(PULL_MILLIS, process, this::pull);
	}

	private LeaseState lease(String key) {
		return LeaseState.of(key, this.name, this.world.loop.clock, this::terms, this.world.random::nextDouble);
	}

	private LeaseState.Terms terms() {
		LeaseState.Terms terms = LeaseState.Terms.standard(this.world.fencedReceiver);
		return (this.world.variant != Variant.EARLY_TAKEOVER) ? terms : new LeaseState.Terms(terms.lengthMillis(),
				terms.renewMillis(), terms.renewMillis(), terms.pollMillis());
	}

	private void drive(StoreDecision decision) {
		if (this.calling.contains(decision)) {
			return;
		}
		StoreStep step = decision.next();
		if (step != null) {
			this.calling.add(decision);
			this.world.network.store(this.process, step, (result) -> {
				this.calling.remove(decision);
				decision.onResult(step, result);
				drive(decision);
			});
		}
	}

	private void orders() {
		long fencing = this.domainLease.fencing();
		if (fencing == 0 || this.ordering) {
			return;
		}
		this.log.begin(fencing);
		if (!this.log.isSealed()) {
			return;
		}
		Set<String> known = new HashSet<>(this.world.platform.effective(this.process.domain));
		this.log.open().forEach((intent) -> known.add(intent.orderId()));
		if (known.size() < WANTED) {
			this.log.add("start", World.SERVICE, "steady", null);
		}
		for (OrderIntent intent : this.log.sendable()) {
			if (!this.answered.contains(intent.orderId())) {
				this.ordering = true;
				send(intent, fencing);
				return;
			}
		}
	}

	private void send(OrderIntent intent, long fencing) {
		// The check before the last byte, then the arrival, then the answer.
		this.world.loop.after(2, this.process, () -> {
			if (!this.domainLease.isHeld(fencing) || !this.world.network.reachesPlatform(this.process)) {
				this.ordering = false;
				return;
			}
			this.world.loop.after(this.world.network.latency(), this.process, () -> {
				boolean taken = this.world.platform.order(this, intent, fencing);
				this.world.loop.after(this.world.network.latency(), this.process, () -> {
					this.ordering = false;
					if (taken) {
						this.answered.add(intent.orderId());
						this.log.complete(intent.orderId());
					}
				});
			});
		});
	}

	private void pull() {
		if (this.domainLease.fencing() > 0) {
			this.parts.begin(this.domainLease.fencing());
		}
		this.parts.onTick(this.world.loop.now(), WINDOW_MILLIS, GRACE_MILLIS);
		for (SimProcess peer : this.world.processes) {
			if (!peer.domain.equals(this.process.domain)) {
				continue;
			}
			if (peer.isRunning(this.world.loop.now()) && this.world.network.connects(this.process, peer)) {
				this.parts.onCounters(peer.host, this.world.usage.counters(peer));
			}
			else {
				this.parts.onSilence(peer.host);
			}
		}
	}

	private void report() {
		long fencing = this.usageLease.fencing();
		if (fencing == 0 || this.reporting) {
			return;
		}
		this.windows.begin(fencing);
		this.windows.onTick(this.world.loop.now(), this.world.domains, WINDOW_MILLIS, GRACE_MILLIS);
		Option<WindowRecord> due = this.windows.sendable();
		if (due.isEmpty()) {
			return;
		}
		this.reporting = true;
		this.world.loop.after(2, this.process, () -> {
			if (!this.usageLease.isHeld(fencing) || !this.world.network.reachesPlatform(this.process)) {
				this.reporting = false;
				return;
			}
			this.world.loop.after(this.world.network.latency(), this.process, () -> {
				boolean answered = this.world.platform.report(this, figures(due.get()));
				this.world.loop.after(this.world.network.latency(), this.process, () -> {
					this.reporting = false;
					if (answered) {
						this.windows.sent(due.get().window());
					}
				});
			});
		});
	}

	private WindowRecord figures(WindowRecord frozen) {
		if (this.world.variant != Variant.LIVE_FIGURES) {
			return frozen;
		}
		List<UsageCount> live = this.world.processes.stream()
			.flatMap((peer) -> this.world.usage.counters(peer).counts().stream())
			.toList();
		return new WindowRecord(frozen.token(), frozen.fencing(), frozen.window(), frozen.end(), live,
				frozen.corrections(), frozen.gaps(), frozen.next());
	}

	String name() {
		return this.name;
	}

	SimProcess process() {
		return this.process;
	}

}
