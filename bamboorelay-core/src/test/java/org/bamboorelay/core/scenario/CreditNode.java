package org.bamboorelay.core.scenario;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import io.vavr.control.Option;
import org.bamboorelay.core.process.CreditLedger;
import org.bamboorelay.core.process.CreditLedger.Outcome;
import org.bamboorelay.core.process.EndpointSelection;
import org.bamboorelay.core.process.OwnerSelection;
import org.bamboorelay.core.process.RendezvousHash;
import org.bamboorelay.core.version.EndpointId;
import org.bamboorelay.core.version.FailureDomain;
import org.bamboorelay.core.version.HostId;
import org.jspecify.annotations.Nullable;

/**
 * The credits of an entry process: the ledger of the endpoints that it owns, and the
 * messages of section 4.5 of the design page with which hosts lend credits to each other.
 */
final class CreditNode {

	private static final long TICK_MILLIS = 100;

	private static final long SECOND_MILLIS = 1_000;

	/** A grant older than this is not used, by section 12 of the design page. */
	private static final long LATEST_GRANT_MILLIS = 1_000;

	private static final int FAILED_POLLS = 3;

	private final World world;

	private final SimProcess process;

	private final EntryNode entry;

	private final CreditLedger ledger;

	private final OwnerSelection ownerSelection;

	private final Map<EndpointId, Known> known = new TreeMap<>();

	private final Map<SimProcess, Integer> free = new LinkedHashMap<>();

	private final List<Work> held = new ArrayList<>();

	private long listedAt = -1;

	private long ids;

	CreditNode(World world, SimProcess process) {
		this.world = world;
		this.process = process;
		this.entry = world.entries.get(process);
		Random random = new Random(world.endpoints.random.nextLong());
		this.ids = random.nextLong() >>> 2;
		this.ledger = CreditLedger.of(EndpointSelection.of(random), () -> ++this.ids);
		this.ledger.policies(world.variant != Variant.NO_RAMP, true);
		this.ownerSelection = OwnerSelection.of(random);
		world.loop.every(TICK_MILLIS, process, this::tick);
		world.loop.every(SECOND_MILLIS, process, this::keep);
		world.loop.every(SECOND_MILLIS, process, this::poll);
	}

	/** Returns the free credits, or nothing where no owned endpoint takes new work. */
	@Nullable Integer digest() {
		this.ledger.expire(this.world.loop.now());
		boolean accepting = this.known.entrySet()
			.stream()
			.anyMatch((entry) -> entry.getValue().owned && isAccepting(entry.getValue()));
		return accepting ? this.ledger.free(true) : null;
	}

	void onDigest(SimProcess from, @Nullable Integer credits) {
		if (credits == null) {
			this.free.remove(from);
		}
		else {
			this.free.put(from, credits);
		}
	}

	void onList(long sequence, List<FakeEndpoints.Listed> listed) {
		if (sequence <= this.listedAt) {
			return;
		}
		this.listedAt = sequence;
		Set<EndpointId> present = new HashSet<>();
		listed.forEach((info) -> {
			present.add(info.endpoint());
			this.known.computeIfAbsent(info.endpoint(), (unused) -> new Known()).listedLeaving = info.leaving();
		});
		this.known.keySet().retainAll(present);
	}

	/** Sends a request to an endpoint where one has room. */
	void request() {
		long now = this.world.loop.now();
		Option<CreditLedger.Loan> loan = this.ledger.lend(query(), now);
		if (loan.isDefined()) {
			begin(this.process, loan.get());
			return;
		}
		List<OwnerSelection.Owner> owners = new ArrayList<>();
		this.free.forEach((owner, credits) -> {
			if (owner.domain.equals(this.process.domain) || isInService(owner.domain)) {
				owners.add(
						new OwnerSelection.Owner(owner.host, false, owner.domain.equals(this.process.domain), credits));
			}
		});
		HostId chosen = this.ownerSelection.choose(owners, 0);
		if (chosen != null) {
			SimProcess owner = process(chosen);
			this.free.merge(owner, -1, Integer::sum);
			this.entry.send(owner, () -> this.world.credits.get(owner).lendTo(this, now));
		}
	}

	private static EndpointSelection.Query query() {
		return new EndpointSelection.Query(true, true, 0, 1, List.of());
	}

	private void lendTo(CreditNode asker, long asked) {
		this.ledger.lend(query(), this.world.loop.now())
			.peek((loan) -> this.entry.send(asker.process, () -> asker.granted(this.process, loan, asked)));
	}

	private void granted(SimProcess owner, CreditLedger.Loan loan, long asked) {
		Known endpoint = this.known.get(loan.endpoint());
		if (this.world.loop.now() - asked > LATEST_GRANT_MILLIS || (endpoint != null && !isAccepting(endpoint))) {
			giveBack(owner, loan.endpoint(), loan.credit(), Outcome.UNUSED, 0);
			return;
		}
		begin(owner, loan);
	}

	private void begin(SimProcess owner, CreditLedger.Loan loan) {
		Work work = new Work(loan.endpoint(), owner, loan.credit());
		this.held.add(work);
		FakeEndpoints.Engine engine = this.world.endpoints.engine(loan.endpoint());
		this.world.loop.after(this.world.network.latency(), () -> {
			if (work.isGone()) {
				return;
			}
			if (engine != null && !this.world.network.reaches(this.process, engine.domain)) {
				work.end(Outcome.FAILED, 0, Network.TIMEOUT_MILLIS);
			}
			else if (engine == null || !engine.admit(work)) {
				work.onBroken();
			}
		});
	}

	private void giveBack(SimProcess owner, EndpointId endpoint, long credit, Outcome outcome, long firstByte) {
		if (owner == this.process) {
			this.world.emit(new Fact.Returned(this.process.name(), endpoint, firstByte));
			this.ledger.giveBack(credit, outcome, firstByte, this.world.loop.now());
			this.world.journal.trace(() -> this.process + " gets a credit of " + endpoint + " back, " + outcome
					+ " after " + firstByte + " ms, allowance " + this.ledger.allowance(endpoint) + ", lent "
					+ this.ledger.lent(endpoint));
		}
		else {
			this.entry.send(owner,
					() -> this.world.credits.get(owner).giveBack(owner, endpoint, credit, outcome, firstByte));
		}
	}

	private void tick() {
		long now = this.world.loop.now();
		Set<HostId> live = this.entry.membership.live();
		List<HostId> hosts = this.world.processes.stream()
			.filter((peer) -> peer.domain.equals(this.process.domain) && live.contains(peer.host))
			.map((peer) -> peer.host)
			.toList();
		this.free.keySet().removeIf((peer) -> !live.contains(peer.host));
		this.ledger.owned().stream().filter((owned) -> !this.known.containsKey(owned)).forEach(this.ledger::disown);
		this.known.forEach((id, endpoint) -> {
			endpoint.owner = process(RendezvousHash.owner(id.value(), hosts));
			endpoint.owned = endpoint.owner == this.process;
			if (endpoint.owned) {
				this.ledger.own(id, false, FakeEndpoints.CAPACITY, now);
				this.ledger.accepting(id, isAccepting(endpoint));
			}
			else {
				this.ledger.disown(id);
				endpoint.ownLeaving = false;
				endpoint.failedPolls = 0;
			}
		});
		this.ledger.expire(now);
	}

	private boolean isAccepting(Known endpoint) {
		boolean leaving = (endpoint.listedLeaving || endpoint.ownLeaving)
				&& this.world.variant != Variant.LEAVING_IGNORED;
		return isInService(this.process.domain) && !leaving && endpoint.failedPolls < FAILED_POLLS;
	}

	private boolean isInService(FailureDomain domain) {
		return this.world.variant == Variant.DOMAIN_STATE_IGNORED
				|| this.entry.configuration.current().exists((present) -> present.isInService(domain));
	}

	private SimProcess process(HostId host) {
		return this.world.processes.stream().filter((peer) -> peer.host.equals(host)).findFirst().orElseThrow();
	}

	private void poll() {
		for (EndpointId id : new TreeSet<>(this.ledger.owned())) {
			this.world.loop.after(this.world.network.latency(), () -> {
				FakeEndpoints.Engine engine = this.world.endpoints.engine(id);
				FakeEndpoints.Report report = (engine != null) ? engine.report() : null;
				deliver(this.world.network.latency(), this.process.incarnation, () -> polled(id, report));
			});
		}
	}

	private void polled(EndpointId id, FakeEndpoints.@Nullable Report report) {
		Known endpoint = this.known.get(id);
		if (endpoint == null) {
			return;
		}
		endpoint.failedPolls = (report != null) ? 0 : endpoint.failedPolls + 1;
		if (report != null) {
			endpoint.ownLeaving = report.leaving();
			this.ledger.reported(id, report.incarnation(), report.warm(), FakeEndpoints.CAPACITY, report.running(),
					this.world.loop.now());
		}
		this.ledger.accepting(id, isAccepting(endpoint));
	}

	/** Delivers what comes from an endpoint unless this process was started anew. */
	private void deliver(long delay, int incarnation, Runnable action) {
		if (this.process.incarnation == incarnation && this.world.credits.get(this.process) == this) {
			this.world.loop.after(delay, this.process, action);
		}
	}

	/** Renews held credits, and registers those whose endpoint has a new owner. */
	private void keep() {
		Map<SimProcess, List<Kept>> renewals = new LinkedHashMap<>();
		Map<SimProcess, List<Kept>> adoptions = new LinkedHashMap<>();
		for (Work work : this.held) {
			Known endpoint = this.known.get(work.endpoint);
			boolean moved = endpoint != null && endpoint.owner != null && endpoint.owner != work.owner;
			Kept kept = new Kept(work, work.credit, !moved);
			renewals.computeIfAbsent(work.owner, (unused) -> new ArrayList<>()).add(kept);
			if (moved) {
				adoptions.computeIfAbsent(endpoint.owner, (unused) -> new ArrayList<>()).add(kept);
			}
		}
		renewals.forEach((owner, kept) -> this.entry.send(owner, () -> {
			CreditNode lender = this.world.credits.get(owner);
			List<Kept> unknown = kept.stream()
				.filter((one) -> !lender.ledger.renew(one.credit, this.world.loop.now()) && one.adoptable)
				.toList();
			if (!unknown.isEmpty()) {
				lender.entry.send(this.process, () -> adopt(owner, unknown));
			}
		}));
		adoptions.forEach(this::adopt);
	}

	private void adopt(SimProcess owner, List<Kept> wanted) {
		List<Kept> running = wanted.stream().filter((one) -> !one.work.over).toList();
		this.entry.send(owner, () -> {
			CreditNode lender = this.world.credits.get(owner);
			running.forEach((one) -> lender.ledger.adopt(one.work.endpoint, this.world.loop.now())
				.peek((credit) -> lender.entry.send(this.process, () -> {
					if (one.work.over) {
						giveBack(owner, one.work.endpoint, credit, Outcome.UNUSED, 0);
					}
					else {
						one.work.owner = owner;
						one.work.credit = credit;
					}
				})));
		});
	}

	private record Kept(Work work, long credit, boolean adoptable) {
	}

	private static final class Known {

		private @Nullable SimProcess owner;

		private boolean owned;

		private boolean listedLeaving;

		private boolean ownLeaving;

		private int failedPolls;

	}

	/** A request at an endpoint and the credit that it holds. */
	final class Work {

		private final EndpointId endpoint;

		private final int incarnation = CreditNode.this.process.incarnation;

		private final String lender;

		private SimProcess owner;

		private long credit;

		private boolean over;

		private Work(EndpointId endpoint, SimProcess owner, long credit) {
			this.endpoint = endpoint;
			this.owner = owner;
			this.lender = owner.name();
			this.credit = credit;
		}

		String lender() {
			return this.lender;
		}

		SimProcess client() {
			return CreditNode.this.process;
		}

		/** Tells whether the process that sent the request is dead. */
		boolean isGone() {
			return !client().alive || client().incarnation != this.incarnation;
		}

		void onAnswer(long firstByte) {
			FakeEndpoints.Engine engine = CreditNode.this.world.endpoints.engine(this.endpoint);
			boolean arrives = engine != null && CreditNode.this.world.network.reaches(client(), engine.domain);
			end(arrives ? Outcome.OK : Outcome.FAILED, firstByte,
					arrives ? CreditNode.this.world.network.latency() : Network.TIMEOUT_MILLIS);
		}

		void onBroken() {
			end(Outcome.FAILED, 0, CreditNode.this.world.network.latency());
		}

		private void end(Outcome outcome, long firstByte, long delay) {
			deliver(delay, this.incarnation, () -> {
				this.over = true;
				CreditNode.this.held.remove(this);
				giveBack(this.owner, this.endpoint, this.credit, outcome, firstByte);
			});
		}

	}

}
