package org.bamboorelay.core.scenario;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.bamboorelay.core.process.UsageWindows.WindowRecord;
import org.bamboorelay.core.request.SampleSlot;
import org.bamboorelay.core.version.FailureDomain;
import org.bamboorelay.core.version.KeyHash;
import org.bamboorelay.core.version.WorkspaceId;

/**
 * The checkers of the invariants.
 */
final class Checkers {

	private Checkers() {
	}

	static List<Checker> all(World world) {
		List<Checker> checkers = new ArrayList<>(CreditCheckers.all(world));
		checkers.addAll(List.of(new TrueLabels(world), new Staleness(world), new DeliveredOnce(world),
				new OwnWorkspace(world), new HiddenKeys(world), new Withdrawn(world), new Orders(world),
				new Usage(world), new InForce(world)));
		return checkers;
	}

	/** Returns the invariants that have a checker. */
	static Set<Invariant> invariants() {
		return all(null).stream().map((checker) -> checker.invariant).collect(Collectors.toSet());
	}

	private static final class TrueLabels extends Checker {

		TrueLabels(World world) {
			super(world, Invariant.TRUE_LABELS);
		}

		@Override
		void on(Fact fact) {
			if (fact instanceof Fact.Sample sample) {
				if (new HashSet<>(sample.truth()).size() > 1) {
					occurred();
				}
				require(sample.labelled().equals(sample.truth()), () -> "sample " + sample.id() + " is labelled "
						+ sample.labelled() + " and came from " + sample.truth());
			}
		}

	}

	private static final class Staleness extends Checker {

		Staleness(World world) {
			super(world, Invariant.STALENESS_BOUND);
		}

		@Override
		void on(Fact fact) {
			if (fact instanceof Fact.Sample sample) {
				long oldest = Collections.min(sample.truth());
				if (oldest < sample.trainerVersion()) {
					occurred();
				}
				require(oldest >= sample.trainerVersion() - sample.bound(), () -> "sample " + sample.id()
						+ " came from " + sample.truth() + " and its trainer has " + sample.trainerVersion());
			}
		}

	}

	private static final class DeliveredOnce extends Checker {

		private final Map<Integer, Map<SampleSlot, String>> delivered = new HashMap<>();

		DeliveredOnce(World world) {
			super(world, Invariant.DELIVERED_ONCE);
		}

		@Override
		void on(Fact fact) {
			if (fact instanceof Fact.Sample sample) {
				String before = of(sample.step()).put(sample.slot(), sample.id());
				require(before == null, () -> "slot " + sample.slot() + " of step " + sample.step() + " came as "
						+ before + " and as " + sample.id());
			}
			else if (fact instanceof Fact.Withheld withheld) {
				withheld.slots().forEach((slot) -> of(withheld.step()).putIfAbsent(slot, "withheld"));
			}
			else if (fact instanceof Fact.StepComplete complete) {
				occurred();
				require(of(complete.step()).size() == complete.slots(),
						() -> "step " + complete.step() + " is complete with " + of(complete.step()).keySet());
			}
		}

		private Map<SampleSlot, String> of(int step) {
			return this.delivered.computeIfAbsent(step, (unused) -> new HashMap<>());
		}

	}

	private static final class OwnWorkspace extends Checker {

		private final Map<String, WorkspaceId> last = new HashMap<>();

		OwnWorkspace(World world) {
			super(world, Invariant.OWN_WORKSPACE);
		}

		@Override
		void on(Fact fact) {
			if (fact instanceof Fact.Asked asked) {
				WorkspaceId owner = this.world.keys.workspace(asked.key());
				WorkspaceId before = this.last.put(asked.host().name() + "/" + asked.connection(), owner);
				if (asked.ran() && before != null && !before.equals(owner)) {
					occurred();
				}
			}
			else if (fact instanceof Fact.Ran ran) {
				require(ran.as().equals(this.world.keys.workspace(ran.key())), () -> ran.host() + " runs a request of "
						+ this.world.keys.workspace(ran.key()) + " for " + ran.as());
			}
		}

	}

	private static final class HiddenKeys extends Checker {

		HiddenKeys(World world) {
			super(world, Invariant.HIDDEN_KEYS);
		}

		@Override
		void on(Fact fact) {
			if (fact instanceof Fact.Sent sent) {
				if (sent.request().isExposed()) {
					occurred();
				}
				require(sent.seen().stream().noneMatch(sent.request()::isIn),
						() -> "an endpoint sees a caller's key in " + sent.seen());
			}
		}

	}

	private static final class Withdrawn extends Checker {

		Withdrawn(World world) {
			super(world, Invariant.WITHDRAWN_KEYS);
		}

		@Override
		void on(Fact fact) {
			if (fact instanceof Fact.Asked asked && isOver(asked.key())) {
				occurred();
			}
			else if (fact instanceof Fact.Ran ran) {
				require(!isOver(ran.key()), () -> ran.host() + " runs a request with key " + ran.key() + ", withdrawn "
						+ age(ran.key()) + " ms ago");
			}
			else if (fact instanceof Fact.Streamed streamed && isOver(streamed.key())) {
				// Section 6 of the design page: streams on a host that is cut off finish.
				long since = streamed.host().connectedSince;
				require(since < 0 || this.world.loop.now() - since <= Invariant.LIMIT_MILLIS,
						() -> streamed.host() + " passes on a stream with key " + streamed.key() + ", withdrawn "
								+ age(streamed.key()) + " ms ago");
			}
		}

		private long age(KeyHash key) {
			return this.world.loop.now() - this.world.keys.withdrawn.get(key);
		}

		private boolean isOver(KeyHash key) {
			return this.world.keys.withdrawn.containsKey(key) && age(key) > Invariant.LIMIT_MILLIS;
		}

	}

	private static final class Orders extends Checker {

		private final Map<FailureDomain, ControlNode> holders = new HashMap<>();

		private final Map<FailureDomain, Integer> held = new HashMap<>();

		private final Map<String, Set<String>> effective = new HashMap<>();

		Orders(World world) {
			super(world, Invariant.ONE_ORDERING_HOLDER);
		}

		@Override
		void on(Fact fact) {
			if (fact instanceof Fact.Order order) {
				Set<String> ids = this.effective.computeIfAbsent(order.domain(), (unused) -> new HashSet<>());
				ids.add(order.orderId());
				require(ids.size() <= ControlNode.WANTED,
						() -> "more orders took effect in " + order.domain() + " than were needed: " + ids);
			}
		}

		@Override
		void afterStep() {
			for (FailureDomain domain : this.world.domains) {
				ControlNode holder = null;
				for (ControlNode control : this.world.controls(domain)) {
					if (control.process().alive && control.domainLease.isHeld()) {
						ControlNode other = holder;
						require(other == null,
								() -> other.name() + " and " + control.name() + " both hold the lease of " + domain);
						holder = control;
					}
				}
				if (holder != null && this.holders.put(domain, holder) != holder) {
					took(domain, holder);
				}
			}
		}

		private void took(FailureDomain domain, ControlNode holder) {
			if (this.held.merge(domain, 1, Integer::sum) > 1) {
				occurred();
			}
			this.world.journal.trace(() -> holder.name() + " takes the lease of " + domain);
		}

	}

	private static final class Usage extends Checker {

		private final Map<Long, WindowRecord> reports = new HashMap<>();

		Usage(World world) {
			super(world, Invariant.ONE_USAGE_REPORT);
		}

		@Override
		void on(Fact fact) {
			if (fact instanceof Fact.Report report) {
				WindowRecord window = report.window();
				WindowRecord before = this.reports.putIfAbsent(window.window(), window);
				if (before != null) {
					occurred();
					require(before.equals(window),
							() -> "window " + window.window() + " was reported as " + before + " and as " + window);
				}
			}
		}

		@Override
		void afterStep() {
			ControlNode holder = null;
			for (ControlNode control : this.world.controls.values()) {
				if (control.process().alive && control.usageLease.isHeld()) {
					ControlNode other = holder;
					require(other == null,
							() -> other.name() + " and " + control.name() + " both hold the usage lease");
					holder = control;
				}
			}
		}

	}

	private static final class InForce extends Checker {

		private final Map<String, Long> versions = new HashMap<>();

		private final Deque<long[]> accepted = new ArrayDeque<>();

		private long due = 1;

		InForce(World world) {
			super(world, Invariant.CONFIGURATION_IN_FORCE);
		}

		@Override
		void on(Fact fact) {
			if (fact instanceof Fact.InForce change) {
				Long before = this.versions.put(change.host().name(), change.version());
				if (before != null) {
					occurred();
				}
				require(before == null || before <= change.version(),
						() -> change.host() + " went back from version " + before + " to " + change.version());
			}
		}

		@Override
		void afterStep() {
			Operators operators = this.world.operators;
			if (operators == null) {
				return;
			}
			if (this.accepted.isEmpty() || this.accepted.peekLast()[0] < operators.accepted) {
				this.accepted.addLast(new long[] { operators.accepted, operators.acceptedAt });
			}
			long latest = this.world.loop.now() - Invariant.LIMIT_MILLIS;
			while (this.accepted.size() > 1 && this.accepted.peekFirst()[1] < latest) {
				this.due = Math.max(this.due, this.accepted.removeFirst()[0]);
			}
			if (this.accepted.peekFirst()[1] < latest) {
				this.due = Math.max(this.due, this.accepted.peekFirst()[0]);
			}
			if (this.due == 1) {
				return;
			}
			for (EntryNode entry : this.world.entries.values()) {
				SimProcess process = entry.process();
				if (process.connectedSince >= 0 && process.connectedSince < latest
						&& process.isRunning(this.world.loop.now())) {
					require(entry.inForce() >= this.due, () -> process + " has version " + entry.inForce()
							+ " in force, and version " + this.due + " was accepted over 5 s ago");
				}
			}
		}

	}

}
