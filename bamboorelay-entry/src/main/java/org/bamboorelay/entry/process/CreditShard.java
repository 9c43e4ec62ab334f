package org.bamboorelay.entry.process;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import java.util.random.RandomGenerator;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.core.failure.Refusal;
import org.bamboorelay.core.failure.RefusalReason;
import org.bamboorelay.core.process.CreditLedger;
import org.bamboorelay.core.process.EndpointSelection;
import org.bamboorelay.core.process.OutlierEjection;
import org.bamboorelay.core.process.OwnerSelection;
import org.bamboorelay.core.process.RendezvousHash;
import org.bamboorelay.core.request.AdmissionQueue;
import org.bamboorelay.core.time.Clock;
import org.bamboorelay.core.version.Configuration;
import org.bamboorelay.core.version.EndpointId;
import org.bamboorelay.core.version.FailureDomain;
import org.bamboorelay.core.version.HostId;
import org.bamboorelay.core.version.Inventory;
import org.bamboorelay.core.version.Rules;
import org.bamboorelay.core.version.ServiceId;
import org.bamboorelay.core.version.WorkspaceId;
import org.bamboorelay.entry.connection.PeerMesh;
import org.bamboorelay.entry.request.Credit;
import org.bamboorelay.entry.request.RouteRequest;
import org.bamboorelay.runtime.connection.PeerFailure;
import org.jspecify.annotations.Nullable;

/**
 * Admission and credits of one service at one host: the queue of waiting requests, the
 * ledger of the endpoints that this host owns, and what is known of other owners.
 * <p>
 * Thread-safe; all state is guarded by one lock, which is never held during a call to
 * another process.
 */
final class CreditShard {

	/**
	 * How long an owner that could not be reached is not asked again, in milliseconds.
	 */
	private static final long UNREACHABLE_PAUSE_MILLIS = 1_000;

	/** Retry-After where no endpoint exists that could serve, in milliseconds. */
	private static final long NO_ENDPOINT_RETRY_MILLIS = 2_000;

	/** Longest wait for the answer of an owner, in milliseconds. */
	private static final long ASK_TIMEOUT_MILLIS = 500;

	/**
	 * Age above which a grant is not used, in milliseconds, counted from the request for
	 * it. Leaves two renewals before the credit lapses at its owner.
	 */
	private static final long LATEST_GRANT_MILLIS = 1_000;

	/**
	 * How long a fresh process lets requests wait rather than refuse them for want of an
	 * endpoint, in milliseconds: endpoint lists and digests come once a second.
	 */
	private static final long LEARNING_MILLIS = 3_000;

	/**
	 * How long a full owner keeps its next free credit for a host that asked, in
	 * milliseconds: two pauses, so that the host can ask once more even when one of its
	 * questions is late.
	 */
	private static final long PROMISE_MILLIS = 2 * OwnerView.REFUSED_PAUSE_MILLIS;

	private static final String PROMISED = "promised";

	private static final String OPEN_ROUTES = "(open)";

	private final ReentrantLock lock = new ReentrantLock();

	private final ServiceId service;

	private final PeerMesh mesh;

	private final Clock clock;

	private final Returns returns;

	private final CreditLedger ledger;

	private final OutlierEjection ejection = OutlierEjection.create();

	private final OwnerSelection ownerSelection;

	private final AdmissionQueue queue;

	private final long startedMillis;

	private final Set<HeldCredit> held = new LinkedHashSet<>();

	private Map<EndpointId, KnownEndpoint> endpoints = Map.of();

	private Map<HostId, OwnerView> owners = Map.of();

	/**
	 * Owners in other failure domains, known by their digests only: a host is told the
	 * endpoints of its own domain, and an owner elsewhere chooses the endpoint itself.
	 */
	private final Map<HostId, OwnerView> farOwners = new LinkedHashMap<>();

	private Set<HostId> farHosts = Set.of();

	private int eligible;

	private int eligibleSteady;

	private boolean eligibleChanged;

	private long lapsedBefore;

	private boolean learning = true;

	/** Until when the next free credit is kept for another host, in milliseconds. */
	private long promisedUntil = Long.MIN_VALUE;

	CreditShard(ServiceId service, PeerMesh mesh, Clock clock, RandomGenerator random, CreditIds ids, Returns returns) {
		this.service = service;
		this.mesh = mesh;
		this.clock = clock;
		this.startedMillis = clock.millis();
		this.returns = returns;
		this.ledger = CreditLedger.of(EndpointSelection.of(random), ids::next);
		this.ownerSelection = OwnerSelection.of(random);
		this.queue = AdmissionQueue.of(new AdmissionQueue.Limits(1, 0, 0));
	}

	ServiceId service() {
		return this.service;
	}

	int waiting() {
		return locked(this.queue::size);
	}

	/**
	 * Takes the present configuration, endpoint list and membership.
	 * @param configuration the configuration
	 * @param infos the endpoints of the service
	 * @param hosts the live hosts of each failure domain
	 */
	void refresh(Configuration configuration, Collection<PeerMessage.EndpointInfo> infos,
			Map<FailureDomain, List<HostId>> hosts) {
		locked(() -> {
			long now = this.clock.millis();
			applyRules(configuration);
			int capacity = configuration.inventory()
				.service(this.service)
				.map(Inventory.ServiceEntry::endpointCapacity)
				.orElse(1);
			Map<EndpointId, KnownEndpoint> fresh = new LinkedHashMap<>();
			for (PeerMessage.EndpointInfo info : infos) {
				List<HostId> candidates = hosts.getOrDefault(info.domain(), List.of());
				HostId owner = candidates.isEmpty() ? null : RendezvousHash.owner(info.endpoint().value(), candidates);
				KnownEndpoint known = new KnownEndpoint(info, owner, configuration.isInService(info.domain()));
				KnownEndpoint before = this.endpoints.get(info.endpoint());
				if (before != null && !before.info.address().equals(info.address())) {
					this.ledger.disown(info.endpoint());
				}
				else if (before != null && this.mesh.self().equals(owner)) {
					// Only the owner polls, so what another host saw before is outdated.
					known.leavingItself = before.leavingItself;
					known.failedPolls = before.failedPolls;
				}
				fresh.put(info.endpoint(), known);
			}
			this.endpoints = fresh;
			this.farHosts = farHosts(configuration, hosts, this.mesh.domain(this.mesh.self()));
			this.ejection.retain(fresh.keySet());
			for (EndpointId owned : this.ledger.owned()) {
				KnownEndpoint known = fresh.get(owned);
				if (known == null || !this.mesh.self().equals(known.owner)) {
					this.ledger.disown(owned);
				}
			}
			for (KnownEndpoint known : fresh.values()) {
				if (this.mesh.self().equals(known.owner)) {
					this.ledger.own(known.info.endpoint(), known.info.cheap(), capacity, now);
				}
			}
			updateEligible();
			dispatch(now);
			return null;
		});
	}

	/**
	 * Admits a request and waits for its credit on the calling thread.
	 * @param request the request
	 * @param configuration the configuration in force
	 * @return the credit or the refusal
	 */
	Either<Refusal, Credit> acquire(RouteRequest request, Configuration configuration) {
		CreditWaiter waiter = new CreditWaiter(request);
		Option<Refusal> refused = locked(() -> enter(waiter, configuration));
		if (refused.isDefined()) {
			return Either.left(refused.get());
		}
		while (true) {
			CreditStep step;
			try {
				step = waiter.steps.take();
			}
			catch (InterruptedException ex) {
				abandon(waiter);
				Thread.currentThread().interrupt();
				return Either.left(Refusal.notRun(RefusalReason.DEADLINE, "the wait for an endpoint was interrupted"));
			}
			if (step.refusal() != null) {
				return Either.left(step.refusal());
			}
			if (step.credit() != null) {
				return Either.right(step.credit());
			}
			ask(waiter, step);
		}
	}

	PeerMessage lendTo(PeerMessage.CreditRequest request) {
		return locked(() -> {
			long now = this.clock.millis();
			EndpointSelection.Query query = new EndpointSelection.Query(request.interactive(), request.repeatable(),
					request.prefixHash(), Math.max(1, request.expectedTokens()), request.excluded());
			Option<CreditLedger.Loan> loan = this.ledger.lend(query, now);
			if (loan.isEmpty() && request.interactive() && this.queue.size() > 0 && !this.ledger.owned().isEmpty()) {
				// Otherwise the own queue takes every credit that comes back.
				this.promisedUntil = now + PROMISE_MILLIS;
				return new PeerMessage.CreditRefusal(PROMISED, OwnerView.REFUSED_PAUSE_MILLIS);
			}
			if (loan.isEmpty()) {
				return new PeerMessage.CreditRefusal(this.ledger.owned().isEmpty() ? "not-owner" : "no-room",
						OwnerView.REFUSED_PAUSE_MILLIS);
			}
			this.promisedUntil = Long.MIN_VALUE;
			KnownEndpoint known = this.endpoints.get(loan.get().endpoint());
			return new PeerMessage.CreditGrant(loan.get().credit(), known.info.endpoint(), known.info.address(),
					CreditLedger.CREDIT_MILLIS);
		});
	}

	void takeBack(PeerMessage.ReturnedCredit returned) {
		locked(() -> {
			long now = this.clock.millis();
			this.ledger.giveBack(returned.credit(), outcome(returned.outcome()), returned.firstByteMillis(), now);
			dispatch(now);
			return null;
		});
	}

	boolean renew(long credit) {
		return locked(() -> this.ledger.renew(credit, this.clock.millis()));
	}

	Option<Long> adopt(EndpointId endpoint) {
		return locked(() -> this.ledger.adopt(endpoint, this.clock.millis()));
	}

	boolean knows(EndpointId endpoint) {
		return locked(() -> this.endpoints.containsKey(endpoint));
	}

	/**
	 * Returns the free credits of the endpoints that this host owns.
	 * @return the digest, or nothing where none of them takes new work
	 */
	Option<PeerMessage.Digest> digest() {
		return locked(() -> {
			HostId self = this.mesh.self();
			boolean accepting = this.endpoints.values()
				.stream()
				.anyMatch((known) -> self.equals(known.owner) && known.accepting());
			if (!accepting) {
				return Option.none();
			}
			this.ledger.expire(this.clock.millis());
			return Option.some(new PeerMessage.Digest(this.service, this.ledger.free(true), this.ledger.free(false)));
		});
	}

	/**
	 * Takes what another host says of its free credits.
	 * @param host the host
	 * @param digest its digest, or nothing where it has no endpoint that takes new work
	 */
	void digestFrom(HostId host, Option<PeerMessage.Digest> digest) {
		locked(() -> {
			if (this.farHosts.contains(host)) {
				followFar(host, digest.isDefined());
			}
			OwnerView owner = this.owners.get(host);
			if (owner != null && digest.isDefined()) {
				owner.freeInteractive = digest.get().freeInteractive();
				owner.freeRollout = digest.get().freeRollout();
			}
			dispatch(this.clock.millis());
			return null;
		});
	}

	/**
	 * Lets credits lapse, refuses requests that waited too long, and serves others.
	 * @return the number of credits that lapsed since the tick before
	 */
	long tick() {
		return locked(() -> {
			long now = this.clock.millis();
			this.ledger.expire(now);
			long lapsed = this.ledger.lapsed() - this.lapsedBefore;
			this.lapsedBefore += lapsed;
			if (this.learning && now - this.startedMillis >= LEARNING_MILLIS) {
				this.learning = false;
				this.eligibleChanged = true;
			}
			if (this.queue.size() > 0) {
				dispatch(now);
				refuseExpired(now);
			}
			return lapsed;
		});
	}

	/**
	 * Returns the held credits by what has to be done to keep them.
	 * @param renewals credits to renew, by their owner
	 * @param adoptions credits to register again, by the new owner
	 */
	void collectHeld(Map<HostId, List<Keep>> renewals, Map<HostId, List<Keep>> adoptions) {
		locked(() -> {
			for (HeldCredit credit : this.held) {
				KnownEndpoint known = this.endpoints.get(credit.endpoint());
				HostId owner = (known != null) ? known.owner : null;
				boolean moved = owner != null && !owner.equals(credit.owner());
				Keep keep = new Keep(this, credit, credit.id(), !moved);
				// The former owner may still lend, as views of the membership differ, so
				// it is told until the new owner has adopted the request.
				renewals.computeIfAbsent(credit.owner(), (unused) -> new ArrayList<>()).add(keep);
				if (moved) {
					adoptions.computeIfAbsent(owner, (unused) -> new ArrayList<>()).add(keep);
				}
			}
			return null;
		});
	}

	/**
	 * Notes that a held credit has a new owner or id.
	 * @param credit the credit
	 * @param owner the owner that adopted it
	 * @param id its new id
	 */
	void adopted(HeldCredit credit, HostId owner, long id) {
		boolean running = locked(() -> {
			if (this.held.contains(credit)) {
				credit.movedTo(owner, id);
				return true;
			}
			return false;
		});
		if (!running) {
			giveBack(owner, new PeerMessage.ReturnedCredit(id, "unused", 0, 0, 0));
		}
	}

	boolean holds(HeldCredit credit) {
		return locked(() -> this.held.contains(credit));
	}

	Map<EndpointId, String> ownedAddresses() {
		return locked(() -> {
			Map<EndpointId, String> addresses = new HashMap<>();
			this.ledger.owned()
				.forEach((endpoint) -> addresses.put(endpoint, this.endpoints.get(endpoint).info.address()));
			return addresses;
		});
	}

	void reported(EndpointId endpoint, LoadReport report) {
		locked(() -> {
			KnownEndpoint known = this.endpoints.get(endpoint);
			if (known != null) {
				long now = this.clock.millis();
				boolean before = known.accepting();
				known.leavingItself = report.leaving();
				known.failedPolls = 0;
				this.ledger.reported(endpoint, report.incarnation(), report.warm(), report.capacity(), report.running(),
						now);
				if (before != known.accepting()) {
					updateEligible();
				}
				dispatch(now);
			}
			return null;
		});
	}

	void pollFailed(EndpointId endpoint) {
		locked(() -> {
			KnownEndpoint known = this.endpoints.get(endpoint);
			if (known != null && ++known.failedPolls == KnownEndpoint.FAILED_POLLS) {
				updateEligible();
				dispatch(this.clock.millis());
			}
			return null;
		});
	}

	List<EndpointStatus> status() {
		return locked(() -> {
			List<EndpointId> ejected = this.ejection.ejected(this.clock.millis());
			return this.endpoints.values()
				.stream()
				.map((known) -> new EndpointStatus(this.service, known.info.endpoint(), known.info.domain(),
						known.owner, known.accepting(), ejected.contains(known.info.endpoint()),
						this.ledger.allowance(known.info.endpoint()), this.ledger.lent(known.info.endpoint())))
				.toList();
		});
	}

	void ended(HeldCredit credit, Credit.Outcome outcome, long firstByteMillis, long tokens) {
		long now = this.clock.millis();
		PeerMessage.ReturnedCredit returned;
		HostId owner;
		this.lock.lock();
		try {
			this.held.remove(credit);
			owner = credit.owner();
			returned = new PeerMessage.ReturnedCredit(credit.id(), code(outcome), firstByteMillis,
					Math.max(0, now - credit.sinceMillis()), tokens);
			this.queue.served(credit.ticket(), tokens);
			if (outcome == Credit.Outcome.OK) {
				this.ejection.answered(credit.endpoint());
			}
			else if (outcome == Credit.Outcome.FAILED) {
				this.ejection.failed(credit.endpoint(), this.endpoints.size(), now);
			}
			OwnerView view = this.owners.get(owner);
			if (view != null) {
				view.freeInteractive = Math.max(0, view.freeInteractive) + 1;
				view.freeRollout = Math.max(0, view.freeRollout) + 1;
			}
		}
		finally {
			this.lock.unlock();
		}
		giveBack(owner, returned);
	}

	private void giveBack(HostId owner, PeerMessage.ReturnedCredit returned) {
		if (owner.equals(this.mesh.self())) {
			takeBack(returned);
		}
		else {
			this.returns.add(owner, returned);
			locked(() -> {
				dispatch(this.clock.millis());
				return null;
			});
		}
	}

	private Option<Refusal> enter(CreditWaiter waiter, Configuration configuration) {
		long now = this.clock.millis();
		if (!servable(waiter.request)) {
			return Option.some(noEndpoint());
		}
		WorkspaceId workspace = waiter.request.workspace();
		int weight = (workspace != null)
				? configuration.inventory().workspace(workspace).map(Inventory.WorkspaceEntry::weight).orElse(1) : 1;
		AdmissionQueue.Demand demand = new AdmissionQueue.Demand((workspace != null) ? workspace.value() : OPEN_ROUTES,
				weight, waiter.request.interactive(), waiter.request.expectedTokens(), waiter);
		Either<AdmissionQueue.Overload, AdmissionQueue.Admission> offered = this.queue.offer(demand, now);
		if (offered.isLeft()) {
			return Option.some(Refusal.notRun(RefusalReason.QUEUE_FULL, "too many requests wait for " + this.service)
				.withRetryAfter(offered.getLeft().retryAfterMillis()));
		}
		AdmissionQueue.Ticket evicted = offered.get().evicted();
		if (evicted != null) {
			refuse(List.of(evicted), RefusalReason.QUEUE_FULL, "too many requests wait for " + this.service,
					this.queue::retryAfterMillis);
		}
		waiter.ticket = offered.get().ticket();
		dispatch(now);
		return Option.none();
	}

	/**
	 * Serves waiting requests while there is room, at this host or as known elsewhere.
	 * @param now the time, in milliseconds
	 */
	private void dispatch(long now) {
		if (this.queue.size() == 0) {
			return;
		}
		if (this.eligibleChanged) {
			this.eligibleChanged = false;
			refuse(this.queue.removeIf((ticket) -> !servable(waiter(ticket).request)), RefusalReason.NO_ENDPOINT,
					noEndpoint().detail(), (demand) -> NO_ENDPOINT_RETRY_MILLIS);
		}
		Set<EndpointId> ejected = new HashSet<>(this.ejection.ejected(now));
		// Room does not grow during the loop, so one failure stands for all alike.
		boolean[] full = new boolean[4];
		Predicate<AdmissionQueue.Demand> servable = (demand) -> {
			CreditWaiter waiter = (CreditWaiter) demand.attachment();
			RouteRequest request = waiter.request;
			int kind = (request.interactive() ? 2 : 0) + (request.repeatable() ? 1 : 0);
			boolean known = full[kind];
			waiter.next = known ? null : route(request, ejected, now);
			full[kind] |= waiter.next == null && request.excluded().isEmpty();
			return waiter.next != null;
		};
		AdmissionQueue.Ticket ticket = this.queue.poll(servable, now);
		while (ticket != null) {
			CreditWaiter waiter = waiter(ticket);
			CreditStep next = waiter.next;
			if (next.loan() != null) {
				KnownEndpoint known = this.endpoints.get(next.loan().endpoint());
				HeldCredit credit = new HeldCredit(this, known.info.endpoint(), known.info.address(), ticket, now,
						this.mesh.self(), next.loan().credit());
				this.held.add(credit);
				next = CreditStep.of(credit);
			}
			waiter.steps.add(next);
			ticket = this.queue.poll(servable, now);
		}
	}

	private @Nullable CreditStep route(RouteRequest request, Set<EndpointId> ejected, long now) {
		Set<EndpointId> excluded = new HashSet<>(ejected);
		excluded.addAll(request.excluded());
		int kept = (now < this.promisedUntil) ? 1 : 0;
		if (this.ledger.free(request.interactive()) > kept) {
			Option<CreditLedger.Loan> loan = this.ledger.lend(new EndpointSelection.Query(request.interactive(),
					request.repeatable(), request.prefixHash(), request.expectedTokens(), excluded), now);
			if (loan.isDefined()) {
				return CreditStep.of(loan.get());
			}
		}
		List<OwnerSelection.Owner> choice = new ArrayList<>();
		for (OwnerView owner : this.owners.values()) {
			if (owner.host.equals(this.mesh.self()) || (!request.repeatable() && owner.steady == 0)) {
				continue;
			}
			owner.probe(now);
			if (owner.free(request.interactive()) > 0) {
				choice.add(new OwnerSelection.Owner(owner.host, false, owner.sameDomain,
						owner.free(request.interactive())));
			}
		}
		HostId host = this.ownerSelection.choose(choice, request.prefixHash());
		if (host == null) {
			return null;
		}
		OwnerView owner = this.owners.get(host);
		owner.freeInteractive--;
		owner.freeRollout--;
		owner.probeMillis = Math.max(owner.probeMillis, now + OwnerView.REFUSED_PAUSE_MILLIS);
		return CreditStep.ask(host,
				excluded.stream()
					.filter((endpoint) -> this.endpoints.containsKey(endpoint)
							&& host.equals(this.endpoints.get(endpoint).owner))
					.toList());
	}

	private void ask(CreditWaiter waiter, CreditStep step) {
		RouteRequest request = waiter.request;
		HostId host = step.host();
		long askedMillis = this.clock.millis();
		Either<PeerFailure, PeerMessage> answer = this.mesh.call(host,
				new PeerMessage.CreditRequest(request.service(), request.interactive(), request.repeatable(),
						request.prefixHash(), request.expectedTokens(), request.line(), step.excluded()),
				ASK_TIMEOUT_MILLIS);
		locked(() -> {
			long now = this.clock.millis();
			OwnerView owner = this.owners.get(host);
			if (answer.isRight() && answer.get() instanceof PeerMessage.CreditGrant grant) {
				granted(waiter, host, grant, askedMillis, now);
				if (owner != null) {
					owner.granted(request.interactive());
				}
			}
			else {
				long least = UNREACHABLE_PAUSE_MILLIS;
				boolean promised = false;
				if (answer.isRight() && answer.get() instanceof PeerMessage.CreditRefusal refusal) {
					least = refusal.retryAfterMillis();
					promised = refusal.reason().equals(PROMISED);
				}
				if (owner != null && promised) {
					owner.promised(now + least);
				}
				else if (owner != null) {
					owner.refused(request.interactive(), now, least);
				}
				putBack(waiter);
			}
			dispatch(now);
			// The time may have ended while the owner was asked.
			refuseExpired(now);
			return null;
		});
	}

	private void refuseExpired(long now) {
		refuse(this.queue.removeIf((ticket) -> ticket.deadlineMillis() <= now), RefusalReason.DEADLINE,
				"no endpoint had room in time", this.queue::retryAfterMillis);
	}

	private void putBack(CreditWaiter waiter) {
		if (servable(waiter.request)) {
			this.queue.putBack(waiter.ticket);
		}
		else {
			this.queue.served(waiter.ticket, 0);
			waiter.steps.add(CreditStep.of(noEndpoint()));
		}
	}

	private void granted(CreditWaiter waiter, HostId host, PeerMessage.CreditGrant grant, long askedMillis, long now) {
		KnownEndpoint known = this.endpoints.get(grant.endpoint());
		HeldCredit credit = new HeldCredit(this, grant.endpoint(), grant.address(), waiter.ticket, now, host,
				grant.credit());
		if (now - askedMillis > LATEST_GRANT_MILLIS || (known != null && !known.accepting())) {
			// The credit may lapse before its first renewal, or the endpoint or its
			// domain
			// left while the answer was on its way.
			this.returns.add(host, new PeerMessage.ReturnedCredit(grant.credit(), "unused", 0, 0, 0));
			putBack(waiter);
			return;
		}
		this.held.add(credit);
		waiter.steps.add(CreditStep.of(credit));
	}

	private void abandon(CreditWaiter waiter) {
		boolean waited = locked(() -> this.queue.remove(waiter.ticket));
		CreditStep step = waiter.steps.poll();
		if (!waited && step != null) {
			if (step.credit() != null) {
				step.credit().end(Credit.Outcome.UNUSED, 0, 0);
			}
			else {
				locked(() -> {
					this.queue.served(waiter.ticket, 0);
					return null;
				});
			}
		}
	}

	private boolean servable(RouteRequest request) {
		if (this.learning || !this.farOwners.isEmpty()) {
			return true;
		}
		int count = request.repeatable() ? this.eligible : this.eligibleSteady;
		for (EndpointId endpoint : Set.copyOf(request.excluded())) {
			KnownEndpoint known = this.endpoints.get(endpoint);
			if (known != null && known.accepting() && known.owner != null
					&& (request.repeatable() || !known.info.cheap())) {
				count--;
			}
		}
		return count > 0;
	}

	private static Set<HostId> farHosts(Configuration configuration, Map<FailureDomain, List<HostId>> hosts,
			FailureDomain here) {
		Set<HostId> far = new HashSet<>();
		hosts.forEach((domain, live) -> {
			if (!domain.equals(here) && configuration.isInService(domain)) {
				far.addAll(live);
			}
		});
		return far;
	}

	private void followFar(HostId host, boolean lends) {
		boolean known = this.farOwners.containsKey(host);
		if (lends == known) {
			return;
		}
		if (lends) {
			this.farOwners.put(host, new OwnerView(host, false));
		}
		else {
			this.farOwners.remove(host);
		}
		updateEligible();
	}

	private void updateEligible() {
		this.eligible = 0;
		this.eligibleSteady = 0;
		this.owners.values().forEach((owner) -> owner.steady = 0);
		Map<HostId, OwnerView> fresh = new LinkedHashMap<>();
		FailureDomain here = this.mesh.domain(this.mesh.self());
		for (KnownEndpoint known : this.endpoints.values()) {
			this.ledger.accepting(known.info.endpoint(), known.accepting());
			if (known.owner == null || !known.accepting()) {
				continue;
			}
			OwnerView owner = fresh.computeIfAbsent(known.owner, (host) -> {
				OwnerView before = this.owners.get(host);
				return (before != null) ? before : new OwnerView(host, here.equals(known.info.domain()));
			});
			this.eligible++;
			if (!known.info.cheap()) {
				this.eligibleSteady++;
				owner.steady++;
			}
		}
		this.farOwners.keySet().retainAll(this.farHosts);
		this.farOwners.forEach((host, owner) -> {
			// The owner itself keeps work that cannot be repeated off cheap endpoints.
			owner.steady = 1;
			fresh.putIfAbsent(host, owner);
		});
		this.owners = fresh;
		this.eligibleChanged = true;
	}

	private void applyRules(Configuration configuration) {
		this.ledger.policies(!"no-ramp".equals(configuration.rules().policies().ramp()),
				!"round-robin".equals(configuration.rules().policies().routing()));
		this.queue.fair(!"first-come".equals(configuration.rules().policies().admission()));
		this.queue.limits(new AdmissionQueue.Limits(configuration.rules().admission().maxQueued(),
				configuration.rules().admission().maxWaitInteractiveMillis(),
				configuration.rules().admission().maxWaitRolloutMillis()));
		this.queue.levels(
				new AdmissionQueue.Levels(configuration.rules().levels(this.service, Rules.RequestClass.INTERACTIVE),
						configuration.rules().levels(this.service, Rules.RequestClass.ROLLOUT)));
	}

	private static void refuse(List<AdmissionQueue.Ticket> tickets, RefusalReason reason, String detail,
			ToLongFunction<AdmissionQueue.Demand> retryAfterMillis) {
		tickets.forEach((ticket) -> waiter(ticket).steps.add(CreditStep
			.of(Refusal.notRun(reason, detail).withRetryAfter(retryAfterMillis.applyAsLong(ticket.demand())))));
	}

	private Refusal noEndpoint() {
		return Refusal.notRun(RefusalReason.NO_ENDPOINT, "no endpoint of " + this.service + " takes this request now")
			.withRetryAfter(NO_ENDPOINT_RETRY_MILLIS);
	}

	private <T extends @Nullable Object> T locked(Section<T> section) {
		this.lock.lock();
		try {
			return section.run();
		}
		finally {
			this.lock.unlock();
		}
	}

	private static CreditWaiter waiter(AdmissionQueue.Ticket ticket) {
		return (CreditWaiter) ticket.demand().attachment();
	}

	private static String code(Credit.Outcome outcome) {
		return switch (outcome) {
			case OK -> "ok";
			case FAILED -> "failed";
			case REFUSED -> "refused";
			case UNUSED -> "unused";
		};
	}

	private static CreditLedger.Outcome outcome(String code) {
		return switch (code) {
			case "ok" -> CreditLedger.Outcome.OK;
			case "failed" -> CreditLedger.Outcome.FAILED;
			case "refused" -> CreditLedger.Outcome.REFUSED;
			default -> CreditLedger.Outcome.UNUSED;
		};
	}

	/** Takes credits that go back to other hosts. */
	@FunctionalInterface
	interface Returns {

		/**
		 * Sends a credit back in the background.
		 * @param owner the owner
		 * @param returned the credit
		 */
		void add(HostId owner, PeerMessage.ReturnedCredit returned);

	}

	/**
	 * A held credit that must be kept alive.
	 *
	 * @param shard its shard
	 * @param credit the credit
	 * @param id its id when it was collected
	 * @param adoptable whether the host that is asked to renew it can adopt it instead
	 */
	record Keep(CreditShard shard, HeldCredit credit, long id, boolean adoptable) {

		boolean isHeld() {
			return this.shard.holds(this.credit);
		}

	}

	@FunctionalInterface
	private interface Section<T extends @Nullable Object> {

		T run();

	}

}
