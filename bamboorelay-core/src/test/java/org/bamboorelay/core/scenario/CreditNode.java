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
 * Credit handling of an entry process: the ledger of the endpoints that it owns, and the
 * messages by which hosts grant each other credits (section 4.5 of the design document).
 */
final class CreditNode {

	private static final long TICK_INTERVAL_MILLIS = 100;

	private static final long EXCHANGE_INTERVAL_MILLIS = 1_000;

	/**
	 * Maximum time from request to receipt of a grant; later grants are released unused
	 * (section 12 of the design document).
	 */
	private static final long MAX_GRANT_AGE_MILLIS = 1_000;

	private static final int MAX_FAILED_POLLS = 3;

	private final Simulation simulation;

	private final SimulatedProcess process;

	private final EntryNode entry;

	private final CreditLedger ledger;

	private final OwnerSelection ownerSelection;

	private final Map<EndpointId, KnownEndpoint> knownEndpoints = new TreeMap<>();

	/** The number of free credits last announced by each peer. */
	private final Map<SimulatedProcess, Integer> free = new LinkedHashMap<>();

	private final List<EndpointRequest> endpointRequests = new ArrayList<>();

	/**
	 * The sequence number of the latest endpoint list received; negative if none.
	 */
	private long lastListSequence = -1;

	private long lastCreditId;

	CreditNode(Simulation simulation, SimulatedProcess process) {
		this.simulation = simulation;
		this.process = process;
		this.entry = simulation.entries.get(process);
		Random random = new Random(simulation.endpoints.random.nextLong());
		this.lastCreditId = random.nextLong() >>> 2;
		this.ledger = CreditLedger.of(EndpointSelection.of(random), () -> ++this.lastCreditId);
		this.ledger.policies(simulation.mutation != Mutation.NO_RAMP, true);
		this.ownerSelection = OwnerSelection.of(random);
		simulation.loop.every(TICK_INTERVAL_MILLIS, process, this::tick);
		simulation.loop.every(EXCHANGE_INTERVAL_MILLIS, process, this::renewCredits);
		simulation.loop.every(EXCHANGE_INTERVAL_MILLIS, process, this::pollEndpoints);
	}

	/**
	 * Returns the number of free credits to announce to peers, or null if no owned
	 * endpoint accepts new requests.
	 */
	@Nullable Integer freeCredits() {
		this.ledger.expire(this.simulation.loop.now());
		boolean accepting = this.knownEndpoints.entrySet()
			.stream()
			.anyMatch((entry) -> entry.getValue().owned && isAccepting(entry.getValue()));
		return accepting ? this.ledger.free(true) : null;
	}

	void onFreeCredits(SimulatedProcess from, @Nullable Integer credits) {
		if (credits == null) {
			this.free.remove(from);
		}
		else {
			this.free.put(from, credits);
		}
	}

	void onEndpointList(long sequence, List<FakeEndpoints.ListEntry> listed) {
		if (sequence <= this.lastListSequence) {
			return;
		}
		this.lastListSequence = sequence;
		Set<EndpointId> present = new HashSet<>();
		listed.forEach((info) -> {
			present.add(info.endpoint());
			this.knownEndpoints.computeIfAbsent(info.endpoint(), (unused) -> new KnownEndpoint()).listedLeaving = info
				.leaving();
		});
		this.knownEndpoints.keySet().retainAll(present);
	}

	/**
	 * Sends a request to an endpoint with a free credit, of this host's ledger or else of
	 * a peer's. The request is dropped if there is none.
	 */
	void request() {
		long now = this.simulation.loop.now();
		Option<CreditLedger.GrantedCredit> loan = this.ledger.grant(query(), now);
		if (loan.isDefined()) {
			dispatch(this.process, loan.get());
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
			SimulatedProcess owner = process(chosen);
			this.free.merge(owner, -1, Integer::sum);
			this.entry.send(owner, () -> this.simulation.credits.get(owner).grantTo(this, now));
		}
	}

	private static EndpointSelection.Query query() {
		return new EndpointSelection.Query(true, true, 0, 1, List.of());
	}

	private void grantTo(CreditNode requester, long requestedAtMillis) {
		this.ledger.grant(query(), this.simulation.loop.now())
			.peek((loan) -> this.entry.send(requester.process,
					() -> requester.onGrant(this.process, loan, requestedAtMillis)));
	}

	private void onGrant(SimulatedProcess owner, CreditLedger.GrantedCredit loan, long requestedAtMillis) {
		KnownEndpoint endpoint = this.knownEndpoints.get(loan.endpoint());
		if (this.simulation.loop.now() - requestedAtMillis > MAX_GRANT_AGE_MILLIS
				|| (endpoint != null && !isAccepting(endpoint))) {
			releaseCredit(owner, loan.endpoint(), loan.credit(), Outcome.UNUSED, 0);
			return;
		}
		dispatch(owner, loan);
	}

	private void dispatch(SimulatedProcess owner, CreditLedger.GrantedCredit loan) {
		EndpointRequest endpointRequest = new EndpointRequest(loan.endpoint(), owner, loan.credit());
		this.endpointRequests.add(endpointRequest);
		FakeEndpoints.Engine engine = this.simulation.endpoints.engine(loan.endpoint());
		this.simulation.loop.after(this.simulation.network.latency(), () -> {
			if (endpointRequest.isSenderKilled()) {
				return;
			}
			if (engine != null && !this.simulation.network.reachesEndpoints(this.process, engine.domain)) {
				endpointRequest.end(Outcome.FAILED, 0, Network.TIMEOUT_MILLIS);
			}
			else if (engine == null || !engine.admit(endpointRequest)) {
				endpointRequest.onInterrupted();
			}
		});
	}

	private void releaseCredit(SimulatedProcess owner, EndpointId endpoint, long credit, Outcome outcome,
			long firstByteMillis) {
		if (owner == this.process) {
			this.simulation.observe(new Observation.CreditReleased(this.process.name(), endpoint, firstByteMillis));
			this.ledger.release(credit, outcome, firstByteMillis, this.simulation.loop.now());
			this.simulation.journal.trace(() -> this.process + " gets back a credit of " + endpoint + ", outcome "
					+ outcome + " with first byte after " + firstByteMillis + " ms, concurrency limit "
					+ this.ledger.concurrencyLimit(endpoint) + ", outstanding " + this.ledger.outstanding(endpoint));
		}
		else {
			this.entry.send(owner, () -> this.simulation.credits.get(owner)
				.releaseCredit(owner, endpoint, credit, outcome, firstByteMillis));
		}
	}

	private void tick() {
		long now = this.simulation.loop.now();
		Set<HostId> live = this.entry.membership.live();
		List<HostId> hosts = this.simulation.processes.stream()
			.filter((peer) -> peer.domain.equals(this.process.domain) && live.contains(peer.host))
			.map((peer) -> peer.host)
			.toList();
		this.free.keySet().removeIf((peer) -> !live.contains(peer.host));
		this.ledger.ownedEndpoints()
			.stream()
			.filter((owned) -> !this.knownEndpoints.containsKey(owned))
			.forEach(this.ledger::removeEndpoint);
		this.knownEndpoints.forEach((id, endpoint) -> {
			endpoint.owner = process(RendezvousHash.owner(id.value(), hosts));
			endpoint.owned = endpoint.owner == this.process;
			if (endpoint.owned) {
				this.ledger.addEndpoint(id, false, FakeEndpoints.CAPACITY, now);
				this.ledger.accepting(id, isAccepting(endpoint));
			}
			else {
				this.ledger.removeEndpoint(id);
				endpoint.reportsLeaving = false;
				endpoint.failedPolls = 0;
			}
		});
		this.ledger.expire(now);
	}

	private boolean isAccepting(KnownEndpoint endpoint) {
		boolean leaving = (endpoint.listedLeaving || endpoint.reportsLeaving)
				&& this.simulation.mutation != Mutation.LEAVING_IGNORED;
		return isInService(this.process.domain) && !leaving && endpoint.failedPolls < MAX_FAILED_POLLS;
	}

	private boolean isInService(FailureDomain domain) {
		return this.simulation.mutation == Mutation.DOMAIN_STATE_IGNORED
				|| this.entry.configuration.current().exists((present) -> present.isInService(domain));
	}

	private SimulatedProcess process(HostId host) {
		return this.simulation.processes.stream().filter((peer) -> peer.host.equals(host)).findFirst().orElseThrow();
	}

	private void pollEndpoints() {
		for (EndpointId id : new TreeSet<>(this.ledger.ownedEndpoints())) {
			this.simulation.loop.after(this.simulation.network.latency(), () -> {
				FakeEndpoints.Engine engine = this.simulation.endpoints.engine(id);
				FakeEndpoints.Report report = (engine != null) ? engine.report() : null;
				deliver(this.simulation.network.latency(), this.process.incarnation, () -> onReport(id, report));
			});
		}
	}

	private void onReport(EndpointId id, FakeEndpoints.@Nullable Report report) {
		KnownEndpoint endpoint = this.knownEndpoints.get(id);
		if (endpoint == null) {
			return;
		}
		endpoint.failedPolls = (report != null) ? 0 : endpoint.failedPolls + 1;
		if (report != null) {
			endpoint.reportsLeaving = report.leaving();
			this.ledger.onLoadReport(id, report.incarnation(), report.warm(), FakeEndpoints.CAPACITY, report.running(),
					this.simulation.loop.now());
		}
		this.ledger.accepting(id, isAccepting(endpoint));
	}

	/** Delivers a message from an endpoint unless this process was restarted. */
	private void deliver(long delayMillis, int incarnation, Runnable action) {
		if (this.process.incarnation == incarnation && this.simulation.credits.get(this.process) == this) {
			this.simulation.loop.after(delayMillis, this.process, action);
		}
	}

	/**
	 * Renews the credits in use, and registers those of endpoints that have a new owner
	 * with that owner.
	 */
	private void renewCredits() {
		Map<SimulatedProcess, List<HeldCredit>> renewals = new LinkedHashMap<>();
		Map<SimulatedProcess, List<HeldCredit>> adoptions = new LinkedHashMap<>();
		for (EndpointRequest endpointRequest : this.endpointRequests) {
			KnownEndpoint endpoint = this.knownEndpoints.get(endpointRequest.endpoint);
			boolean moved = endpoint != null && endpoint.owner != null && endpoint.owner != endpointRequest.owner;
			HeldCredit held = new HeldCredit(endpointRequest, endpointRequest.credit, !moved);
			renewals.computeIfAbsent(endpointRequest.owner, (unused) -> new ArrayList<>()).add(held);
			if (moved) {
				adoptions.computeIfAbsent(endpoint.owner, (unused) -> new ArrayList<>()).add(held);
			}
		}
		renewals.forEach((owner, held) -> this.entry.send(owner, () -> {
			CreditNode grantor = this.simulation.credits.get(owner);
			List<HeldCredit> unknown = held.stream()
				.filter((one) -> !grantor.ledger.renew(one.credit, this.simulation.loop.now()) && one.adoptable)
				.toList();
			if (!unknown.isEmpty()) {
				grantor.entry.send(this.process, () -> adopt(owner, unknown));
			}
		}));
		adoptions.forEach(this::adopt);
	}

	private void adopt(SimulatedProcess owner, List<HeldCredit> candidates) {
		List<HeldCredit> running = candidates.stream().filter((one) -> !one.endpointRequest.ended).toList();
		this.entry.send(owner, () -> {
			CreditNode grantor = this.simulation.credits.get(owner);
			running.forEach((one) -> grantor.ledger.adopt(one.endpointRequest.endpoint, this.simulation.loop.now())
				.peek((credit) -> grantor.entry.send(this.process, () -> {
					if (one.endpointRequest.ended) {
						releaseCredit(owner, one.endpointRequest.endpoint, credit, Outcome.UNUSED, 0);
					}
					else {
						one.endpointRequest.owner = owner;
						one.endpointRequest.credit = credit;
					}
				})));
		});
	}

	private record HeldCredit(EndpointRequest endpointRequest, long credit, boolean adoptable) {
	}

	private static final class KnownEndpoint {

		private @Nullable SimulatedProcess owner;

		private boolean owned;

		private boolean listedLeaving;

		private boolean reportsLeaving;

		private int failedPolls;

	}

	/** A request that runs on an endpoint, and the credit that it uses. */
	final class EndpointRequest {

		private final EndpointId endpoint;

		private final int incarnation = CreditNode.this.process.incarnation;

		private final String grantor;

		private SimulatedProcess owner;

		private long credit;

		private boolean ended;

		private EndpointRequest(EndpointId endpoint, SimulatedProcess owner, long credit) {
			this.endpoint = endpoint;
			this.owner = owner;
			this.grantor = owner.name();
			this.credit = credit;
		}

		String grantor() {
			return this.grantor;
		}

		SimulatedProcess client() {
			return CreditNode.this.process;
		}

		/** Returns whether the process that sent the request was killed. */
		boolean isSenderKilled() {
			return !client().alive || client().incarnation != this.incarnation;
		}

		void onResponse(long firstByteMillis) {
			FakeEndpoints.Engine engine = CreditNode.this.simulation.endpoints.engine(this.endpoint);
			boolean arrives = engine != null
					&& CreditNode.this.simulation.network.reachesEndpoints(client(), engine.domain);
			end(arrives ? Outcome.OK : Outcome.FAILED, firstByteMillis,
					arrives ? CreditNode.this.simulation.network.latency() : Network.TIMEOUT_MILLIS);
		}

		void onInterrupted() {
			end(Outcome.FAILED, 0, CreditNode.this.simulation.network.latency());
		}

		private void end(Outcome outcome, long firstByteMillis, long delayMillis) {
			deliver(delayMillis, this.incarnation, () -> {
				this.ended = true;
				CreditNode.this.endpointRequests.remove(this);
				releaseCredit(this.owner, this.endpoint, this.credit, outcome, firstByteMillis);
			});
		}

	}

}
