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
 * Admits requests of one service at one host. Holds the queue of waiting requests, the
 * ledger of credits for the endpoints that this host owns, and the free capacity reported
 * by other owners.
 * <p>
 * Thread-safe. All state is guarded by a single lock, which is never held during a remote
 * call.
 */
final class CreditShard {

	/**
	 * Minimum delay before the next credit request to an owner that could not be reached,
	 * in milliseconds.
	 */
	private static final long UNREACHABLE_BACKOFF_MILLIS = 1_000;

	/**
	 * Retry-After of a refusal because no endpoint can serve the request, in
	 * milliseconds.
	 */
	private static final long NO_ENDPOINT_RETRY_MILLIS = 2_000;

	/** Timeout of a credit request to another owner, in milliseconds. */
	private static final long CREDIT_REQUEST_TIMEOUT_MILLIS = 500;

	/**
	 * Maximum age of a usable grant, in milliseconds, counted from the moment it was
	 * requested. Leaves time for two renewals before the credit expires at its owner.
	 */
	private static final long MAX_GRANT_AGE_MILLIS = 1_000;

	/**
	 * Time after the start during which requests are queued rather than refused because
	 * no endpoint is known, in milliseconds. Endpoint sets and digests arrive once a
	 * second.
	 */
	private static final long STARTUP_GRACE_MILLIS = 3_000;

	/**
	 * How long an owner without free credits reserves its next one for a host that
	 * requested it, in milliseconds. Two retry delays, so that the host can retry in time
	 * even if one of its requests is late.
	 */
	private static final long RESERVATION_MILLIS = 2 * OwnerView.MIN_BACKOFF_MILLIS;

	private static final String RESERVED = "promised";

	private static final String UNAUTHENTICATED_WORKSPACE = "(open)";

	private final ReentrantLock lock = new ReentrantLock();

	private final ServiceId service;

	private final PeerMesh mesh;

	private final Clock clock;

	private final ReturnQueue returnQueue;

	private final CreditLedger ledger;

	private final OutlierEjection ejection = OutlierEjection.create();

	private final OwnerSelection ownerSelection;

	private final AdmissionQueue queue;

	private final long startedAtMillis;

	private final Set<HeldCredit> heldCredits = new LinkedHashSet<>();

	private Map<EndpointId, KnownEndpoint> endpoints = Map.of();

	private Map<HostId, OwnerView> owners = Map.of();

	/**
	 * Owners in other failure domains, known only from their digests. A host receives the
	 * endpoint set of its own failure domain only; an owner in another one selects the
	 * endpoint itself.
	 */
	private final Map<HostId, OwnerView> remoteDomainOwners = new LinkedHashMap<>();

	private Set<HostId> remoteDomainHosts = Set.of();

	private int eligibleCount;

	private int eligibleSteadyCount;

	private boolean eligibleChanged;

	private long lastExpiredCredits;

	private boolean inStartupGrace = true;

	/**
	 * Time until which the next free credit is reserved for another host, in
	 * milliseconds.
	 */
	private long reservedUntilMillis = Long.MIN_VALUE;

	CreditShard(ServiceId service, PeerMesh mesh, Clock clock, RandomGenerator random, CreditIdGenerator ids,
			ReturnQueue returnQueue) {
		this.service = service;
		this.mesh = mesh;
		this.clock = clock;
		this.startedAtMillis = clock.millis();
		this.returnQueue = returnQueue;
		this.ledger = CreditLedger.of(EndpointSelection.of(random), ids::next);
		this.ownerSelection = OwnerSelection.of(random);
		this.queue = AdmissionQueue.of(new AdmissionQueue.Limits(1, 0, 0));
	}

	ServiceId service() {
		return this.service;
	}

	int waiting() {
		return withLock(this.queue::size);
	}

	/**
	 * Applies the current configuration, endpoints and membership.
	 * @param configuration the configuration in force
	 * @param infos the endpoints of the service
	 * @param hosts the live hosts of each failure domain
	 */
	void refresh(Configuration configuration, Collection<PeerMessage.EndpointInfo> infos,
			Map<FailureDomain, List<HostId>> hosts) {
		withLock(() -> {
			long now = this.clock.millis();
			applyRules(configuration);
			int capacity = configuration.inventory()
				.service(this.service)
				.map(Inventory.ServiceEntry::endpointCapacity)
				.orElse(1);
			Map<EndpointId, KnownEndpoint> updated = new LinkedHashMap<>();
			for (PeerMessage.EndpointInfo info : infos) {
				List<HostId> candidates = hosts.getOrDefault(info.domain(), List.of());
				HostId owner = candidates.isEmpty() ? null : RendezvousHash.owner(info.endpoint().value(), candidates);
				KnownEndpoint known = new KnownEndpoint(info, owner, configuration.isInService(info.domain()));
				KnownEndpoint previous = this.endpoints.get(info.endpoint());
				if (previous != null && !previous.info.address().equals(info.address())) {
					this.ledger.removeEndpoint(info.endpoint());
				}
				else if (previous != null && this.mesh.self().equals(owner)) {
					// Only the owner polls an endpoint, so polling state from a time
					// under another owner is outdated.
					known.reportedLeaving = previous.reportedLeaving;
					known.failedPolls = previous.failedPolls;
				}
				updated.put(info.endpoint(), known);
			}
			this.endpoints = updated;
			this.remoteDomainHosts = remoteDomainHosts(configuration, hosts, this.mesh.domain(this.mesh.self()));
			this.ejection.retain(updated.keySet());
			for (EndpointId owned : this.ledger.ownedEndpoints()) {
				KnownEndpoint known = updated.get(owned);
				if (known == null || !this.mesh.self().equals(known.owner)) {
					this.ledger.removeEndpoint(owned);
				}
			}
			for (KnownEndpoint known : updated.values()) {
				if (this.mesh.self().equals(known.owner)) {
					this.ledger.addEndpoint(known.info.endpoint(), known.info.cheap(), capacity, now);
				}
			}
			updateEligible();
			dispatch(now);
			return null;
		});
	}

	/**
	 * Admits a request and blocks the calling thread until it gets a credit or is
	 * refused.
	 * @param request the request
	 * @param configuration the configuration in force
	 * @return the credit or the refusal
	 */
	Either<Refusal, Credit> acquire(RouteRequest request, Configuration configuration) {
		CreditWaiter waiter = new CreditWaiter(request);
		Option<Refusal> refused = withLock(() -> enqueue(waiter, configuration));
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
				return Either
					.left(Refusal.notExecuted(RefusalReason.DEADLINE, "interrupted while waiting for an endpoint"));
			}
			if (step.refusal() != null) {
				return Either.left(step.refusal());
			}
			if (step.credit() != null) {
				return Either.right(step.credit());
			}
			requestCredit(waiter, step);
		}
	}

	PeerMessage grantTo(PeerMessage.CreditRequest request) {
		return withLock(() -> {
			long now = this.clock.millis();
			EndpointSelection.Query query = new EndpointSelection.Query(request.interactive(), request.repeatable(),
					request.prefixHash(), Math.max(1, request.expectedTokens()), request.excluded());
			Option<CreditLedger.GrantedCredit> grantedCredit = this.ledger.grant(query, now);
			if (grantedCredit.isEmpty() && request.interactive() && this.queue.size() > 0
					&& !this.ledger.ownedEndpoints().isEmpty()) {
				// Without a reservation this host's own queue would take every
				// returned credit.
				this.reservedUntilMillis = now + RESERVATION_MILLIS;
				return new PeerMessage.CreditRefusal(RESERVED, OwnerView.MIN_BACKOFF_MILLIS);
			}
			if (grantedCredit.isEmpty()) {
				return new PeerMessage.CreditRefusal(this.ledger.ownedEndpoints().isEmpty() ? "not-owner" : "no-room",
						OwnerView.MIN_BACKOFF_MILLIS);
			}
			this.reservedUntilMillis = Long.MIN_VALUE;
			KnownEndpoint known = this.endpoints.get(grantedCredit.get().endpoint());
			return new PeerMessage.CreditGrant(grantedCredit.get().credit(), known.info.endpoint(),
					known.info.address(), CreditLedger.CREDIT_LIFETIME_MILLIS);
		});
	}

	void acceptReturn(PeerMessage.ReturnedCredit returned) {
		withLock(() -> {
			long now = this.clock.millis();
			this.ledger.release(returned.credit(), outcome(returned.outcome()), returned.firstByteMillis(), now);
			dispatch(now);
			return null;
		});
	}

	boolean renew(long credit) {
		return withLock(() -> this.ledger.renew(credit, this.clock.millis()));
	}

	Option<Long> adopt(EndpointId endpoint) {
		return withLock(() -> this.ledger.adopt(endpoint, this.clock.millis()));
	}

	boolean hasEndpoint(EndpointId endpoint) {
		return withLock(() -> this.endpoints.containsKey(endpoint));
	}

	/**
	 * Returns the number of free credits of the endpoints that this host owns.
	 * @return the digest, or none if no owned endpoint accepts requests
	 */
	Option<PeerMessage.CapacityDigest> digest() {
		return withLock(() -> {
			HostId self = this.mesh.self();
			boolean accepting = this.endpoints.values()
				.stream()
				.anyMatch((known) -> self.equals(known.owner) && known.accepting());
			if (!accepting) {
				return Option.none();
			}
			this.ledger.expire(this.clock.millis());
			return Option
				.some(new PeerMessage.CapacityDigest(this.service, this.ledger.free(true), this.ledger.free(false)));
		});
	}

	/**
	 * Updates the view of another host's free credits.
	 * @param host the host
	 * @param digest its digest, or none if it owns no endpoint that accepts requests
	 */
	void applyDigest(HostId host, Option<PeerMessage.CapacityDigest> digest) {
		withLock(() -> {
			if (this.remoteDomainHosts.contains(host)) {
				updateRemoteDomainOwner(host, digest.isDefined());
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
	 * Expires credits, refuses requests whose deadline has passed, and dispatches the
	 * others.
	 * @return the number of credits that expired since the previous tick
	 */
	long tick() {
		return withLock(() -> {
			long now = this.clock.millis();
			this.ledger.expire(now);
			long expiredCredits = this.ledger.expiredCredits() - this.lastExpiredCredits;
			this.lastExpiredCredits += expiredCredits;
			if (this.inStartupGrace && now - this.startedAtMillis >= STARTUP_GRACE_MILLIS) {
				this.inStartupGrace = false;
				this.eligibleChanged = true;
			}
			if (this.queue.size() > 0) {
				dispatch(now);
				refuseExpired(now);
			}
			return expiredCredits;
		});
	}

	/**
	 * Collects the held credits, grouped by the owner that has to be called to keep them
	 * alive.
	 * @param renewals receives the credits to renew, by their owner
	 * @param adoptions receives the credits to register with a new owner, by that owner
	 */
	void collectKeepAlives(Map<HostId, List<KeepAlive>> renewals, Map<HostId, List<KeepAlive>> adoptions) {
		withLock(() -> {
			for (HeldCredit credit : this.heldCredits) {
				KnownEndpoint known = this.endpoints.get(credit.endpoint());
				HostId owner = (known != null) ? known.owner : null;
				boolean moved = owner != null && !owner.equals(credit.owner());
				KeepAlive keepAlive = new KeepAlive(this, credit, credit.id(), !moved);
				// Views of the membership differ, so the former owner may still grant
				// credits. It gets renewals until the new owner has adopted the
				// request.
				renewals.computeIfAbsent(credit.owner(), (unused) -> new ArrayList<>()).add(keepAlive);
				if (moved) {
					adoptions.computeIfAbsent(owner, (unused) -> new ArrayList<>()).add(keepAlive);
				}
			}
			return null;
		});
	}

	/**
	 * Records that an owner has adopted a held credit under a new id.
	 * @param credit the credit
	 * @param owner the owner that adopted it
	 * @param id its new id
	 */
	void adopted(HeldCredit credit, HostId owner, long id) {
		boolean running = withLock(() -> {
			if (this.heldCredits.contains(credit)) {
				credit.transferTo(owner, id);
				return true;
			}
			return false;
		});
		if (!running) {
			release(owner, new PeerMessage.ReturnedCredit(id, "unused", 0, 0, 0));
		}
	}

	boolean holds(HeldCredit credit) {
		return withLock(() -> this.heldCredits.contains(credit));
	}

	Map<EndpointId, String> ownedAddresses() {
		return withLock(() -> {
			Map<EndpointId, String> addresses = new HashMap<>();
			this.ledger.ownedEndpoints()
				.forEach((endpoint) -> addresses.put(endpoint, this.endpoints.get(endpoint).info.address()));
			return addresses;
		});
	}

	void reported(EndpointId endpoint, LoadReport report) {
		withLock(() -> {
			KnownEndpoint known = this.endpoints.get(endpoint);
			if (known != null) {
				long now = this.clock.millis();
				boolean previous = known.accepting();
				known.reportedLeaving = report.leaving();
				known.failedPolls = 0;
				this.ledger.onLoadReport(endpoint, report.incarnation(), report.warm(), report.capacity(),
						report.running(), now);
				if (previous != known.accepting()) {
					updateEligible();
				}
				dispatch(now);
			}
			return null;
		});
	}

	void pollFailed(EndpointId endpoint) {
		withLock(() -> {
			KnownEndpoint known = this.endpoints.get(endpoint);
			if (known != null && ++known.failedPolls == KnownEndpoint.FAILED_POLL_LIMIT) {
				updateEligible();
				dispatch(this.clock.millis());
			}
			return null;
		});
	}

	List<EndpointStatus> status() {
		return withLock(() -> {
			List<EndpointId> ejected = this.ejection.ejected(this.clock.millis());
			return this.endpoints.values()
				.stream()
				.map((known) -> new EndpointStatus(this.service, known.info.endpoint(), known.info.domain(),
						known.owner, known.accepting(), ejected.contains(known.info.endpoint()),
						this.ledger.concurrencyLimit(known.info.endpoint()),
						this.ledger.outstanding(known.info.endpoint())))
				.toList();
		});
	}

	void ended(HeldCredit credit, Credit.Outcome outcome, long firstByteMillis, long tokens) {
		long now = this.clock.millis();
		PeerMessage.ReturnedCredit returned;
		HostId owner;
		this.lock.lock();
		try {
			this.heldCredits.remove(credit);
			owner = credit.owner();
			returned = new PeerMessage.ReturnedCredit(credit.id(), code(outcome), firstByteMillis,
					Math.max(0, now - credit.acquiredAtMillis()), tokens);
			this.queue.correctCost(credit.ticket(), tokens);
			if (outcome == Credit.Outcome.OK) {
				this.ejection.onResponse(credit.endpoint());
			}
			else if (outcome == Credit.Outcome.FAILED) {
				this.ejection.onFailure(credit.endpoint(), this.endpoints.size(), now);
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
		release(owner, returned);
	}

	private void release(HostId owner, PeerMessage.ReturnedCredit returned) {
		if (owner.equals(this.mesh.self())) {
			acceptReturn(returned);
		}
		else {
			this.returnQueue.add(owner, returned);
			withLock(() -> {
				dispatch(this.clock.millis());
				return null;
			});
		}
	}

	private Option<Refusal> enqueue(CreditWaiter waiter, Configuration configuration) {
		long now = this.clock.millis();
		if (!servable(waiter.request)) {
			return Option.some(noEndpointRefusal());
		}
		WorkspaceId workspace = waiter.request.workspace();
		int weight = (workspace != null)
				? configuration.inventory().workspace(workspace).map(Inventory.WorkspaceEntry::weight).orElse(1) : 1;
		AdmissionQueue.Request queuedRequest = new AdmissionQueue.Request(
				(workspace != null) ? workspace.value() : UNAUTHENTICATED_WORKSPACE, weight,
				waiter.request.interactive(), waiter.request.expectedTokens(), waiter);
		Either<AdmissionQueue.Overload, AdmissionQueue.Admission> offered = this.queue.offer(queuedRequest, now);
		if (offered.isLeft()) {
			return Option.some(Refusal
				.notExecuted(RefusalReason.QUEUE_FULL, "the request queue is full for service " + this.service)
				.withRetryAfter(offered.getLeft().retryAfterMillis()));
		}
		AdmissionQueue.Ticket evicted = offered.get().evicted();
		if (evicted != null) {
			refuse(List.of(evicted), RefusalReason.QUEUE_FULL, "the request queue is full for service " + this.service,
					this.queue::retryAfterMillis);
		}
		waiter.ticket = offered.get().ticket();
		dispatch(now);
		return Option.none();
	}

	/**
	 * Dispatches waiting requests while credits are free, at this host or, as far as
	 * known, at other owners.
	 * @param now the current time, in milliseconds
	 */
	private void dispatch(long now) {
		if (this.queue.size() == 0) {
			return;
		}
		if (this.eligibleChanged) {
			this.eligibleChanged = false;
			refuse(this.queue.removeIf((ticket) -> !servable(waiter(ticket).request)), RefusalReason.NO_ENDPOINT,
					noEndpointRefusal().detail(), (queuedRequest) -> NO_ENDPOINT_RETRY_MILLIS);
		}
		Set<EndpointId> ejected = new HashSet<>(this.ejection.ejected(now));
		// Free credits do not increase during the loop, so if one request of a kind
		// cannot be routed, no other of that kind can.
		boolean[] exhausted = new boolean[4];
		Predicate<AdmissionQueue.Request> servable = (queuedRequest) -> {
			CreditWaiter waiter = (CreditWaiter) queuedRequest.attachment();
			RouteRequest request = waiter.request;
			int requestKind = (request.interactive() ? 2 : 0) + (request.repeatable() ? 1 : 0);
			boolean known = exhausted[requestKind];
			waiter.next = known ? null : tryRoute(request, ejected, now);
			exhausted[requestKind] |= waiter.next == null && request.excluded().isEmpty();
			return waiter.next != null;
		};
		AdmissionQueue.Ticket ticket = this.queue.poll(servable, now);
		while (ticket != null) {
			CreditWaiter waiter = waiter(ticket);
			CreditStep next = waiter.next;
			if (next.grantedCredit() != null) {
				KnownEndpoint known = this.endpoints.get(next.grantedCredit().endpoint());
				HeldCredit credit = new HeldCredit(this, known.info.endpoint(), known.info.address(), ticket, now,
						this.mesh.self(), next.grantedCredit().credit());
				this.heldCredits.add(credit);
				next = CreditStep.of(credit);
			}
			waiter.steps.add(next);
			ticket = this.queue.poll(servable, now);
		}
	}

	private @Nullable CreditStep tryRoute(RouteRequest request, Set<EndpointId> ejected, long now) {
		Set<EndpointId> excluded = new HashSet<>(ejected);
		excluded.addAll(request.excluded());
		int reservedCount = (now < this.reservedUntilMillis) ? 1 : 0;
		if (this.ledger.free(request.interactive()) > reservedCount) {
			Option<CreditLedger.GrantedCredit> grantedCredit = this.ledger
				.grant(new EndpointSelection.Query(request.interactive(), request.repeatable(), request.prefixHash(),
						request.expectedTokens(), excluded), now);
			if (grantedCredit.isDefined()) {
				return CreditStep.of(grantedCredit.get());
			}
		}
		List<OwnerSelection.Owner> ownerCandidates = new ArrayList<>();
		for (OwnerView owner : this.owners.values()) {
			if (owner.host.equals(this.mesh.self()) || (!request.repeatable() && owner.steadyEndpoints == 0)) {
				continue;
			}
			owner.probeIfDue(now);
			if (owner.free(request.interactive()) > 0) {
				ownerCandidates.add(new OwnerSelection.Owner(owner.host, false, owner.sameDomain,
						owner.free(request.interactive())));
			}
		}
		HostId host = this.ownerSelection.choose(ownerCandidates, request.prefixHash());
		if (host == null) {
			return null;
		}
		OwnerView owner = this.owners.get(host);
		owner.freeInteractive--;
		owner.freeRollout--;
		owner.nextProbeMillis = Math.max(owner.nextProbeMillis, now + OwnerView.MIN_BACKOFF_MILLIS);
		return CreditStep.requestCredit(host,
				excluded.stream()
					.filter((endpoint) -> this.endpoints.containsKey(endpoint)
							&& host.equals(this.endpoints.get(endpoint).owner))
					.toList());
	}

	private void requestCredit(CreditWaiter waiter, CreditStep step) {
		RouteRequest request = waiter.request;
		HostId host = step.host();
		long requestedAtMillis = this.clock.millis();
		Either<PeerFailure, PeerMessage> answer = this.mesh.call(host,
				new PeerMessage.CreditRequest(request.service(), request.interactive(), request.repeatable(),
						request.prefixHash(), request.expectedTokens(), request.line(), step.excluded()),
				CREDIT_REQUEST_TIMEOUT_MILLIS);
		withLock(() -> {
			long now = this.clock.millis();
			OwnerView owner = this.owners.get(host);
			if (answer.isRight() && answer.get() instanceof PeerMessage.CreditGrant creditGrant) {
				granted(waiter, host, creditGrant, requestedAtMillis, now);
				if (owner != null) {
					owner.granted(request.interactive());
				}
			}
			else {
				long minBackoffMillis = UNREACHABLE_BACKOFF_MILLIS;
				boolean reserved = false;
				if (answer.isRight() && answer.get() instanceof PeerMessage.CreditRefusal refusal) {
					minBackoffMillis = refusal.retryAfterMillis();
					reserved = refusal.reason().equals(RESERVED);
				}
				if (owner != null && reserved) {
					owner.reserved(now + minBackoffMillis);
				}
				else if (owner != null) {
					owner.refused(request.interactive(), now, minBackoffMillis);
				}
				requeue(waiter);
			}
			dispatch(now);
			// The deadline may have passed during the call to the owner.
			refuseExpired(now);
			return null;
		});
	}

	private void refuseExpired(long now) {
		refuse(this.queue.removeIf((ticket) -> ticket.deadlineMillis() <= now), RefusalReason.DEADLINE,
				"no endpoint had free capacity before the deadline", this.queue::retryAfterMillis);
	}

	private void requeue(CreditWaiter waiter) {
		if (servable(waiter.request)) {
			this.queue.requeue(waiter.ticket);
		}
		else {
			this.queue.correctCost(waiter.ticket, 0);
			waiter.steps.add(CreditStep.of(noEndpointRefusal()));
		}
	}

	private void granted(CreditWaiter waiter, HostId host, PeerMessage.CreditGrant creditGrant, long requestedAtMillis,
			long now) {
		KnownEndpoint known = this.endpoints.get(creditGrant.endpoint());
		HeldCredit credit = new HeldCredit(this, creditGrant.endpoint(), creditGrant.address(), waiter.ticket, now,
				host, creditGrant.credit());
		if (now - requestedAtMillis > MAX_GRANT_AGE_MILLIS || (known != null && !known.accepting())) {
			// The credit may expire before its first renewal, or the endpoint stopped
			// accepting requests while the grant was in transit.
			this.returnQueue.add(host, new PeerMessage.ReturnedCredit(creditGrant.credit(), "unused", 0, 0, 0));
			requeue(waiter);
			return;
		}
		this.heldCredits.add(credit);
		waiter.steps.add(CreditStep.of(credit));
	}

	private void abandon(CreditWaiter waiter) {
		boolean wasQueued = withLock(() -> this.queue.remove(waiter.ticket));
		CreditStep step = waiter.steps.poll();
		if (!wasQueued && step != null) {
			if (step.credit() != null) {
				step.credit().end(Credit.Outcome.UNUSED, 0, 0);
			}
			else {
				withLock(() -> {
					this.queue.correctCost(waiter.ticket, 0);
					return null;
				});
			}
		}
	}

	private boolean servable(RouteRequest request) {
		if (this.inStartupGrace || !this.remoteDomainOwners.isEmpty()) {
			return true;
		}
		int count = request.repeatable() ? this.eligibleCount : this.eligibleSteadyCount;
		for (EndpointId endpoint : Set.copyOf(request.excluded())) {
			KnownEndpoint known = this.endpoints.get(endpoint);
			if (known != null && known.accepting() && known.owner != null
					&& (request.repeatable() || !known.info.cheap())) {
				count--;
			}
		}
		return count > 0;
	}

	private static Set<HostId> remoteDomainHosts(Configuration configuration, Map<FailureDomain, List<HostId>> hosts,
			FailureDomain ownDomain) {
		Set<HostId> remote = new HashSet<>();
		hosts.forEach((domain, live) -> {
			if (!domain.equals(ownDomain) && configuration.isInService(domain)) {
				remote.addAll(live);
			}
		});
		return remote;
	}

	private void updateRemoteDomainOwner(HostId host, boolean available) {
		boolean known = this.remoteDomainOwners.containsKey(host);
		if (available == known) {
			return;
		}
		if (available) {
			this.remoteDomainOwners.put(host, new OwnerView(host, false));
		}
		else {
			this.remoteDomainOwners.remove(host);
		}
		updateEligible();
	}

	private void updateEligible() {
		this.eligibleCount = 0;
		this.eligibleSteadyCount = 0;
		this.owners.values().forEach((owner) -> owner.steadyEndpoints = 0);
		Map<HostId, OwnerView> updated = new LinkedHashMap<>();
		FailureDomain ownDomain = this.mesh.domain(this.mesh.self());
		for (KnownEndpoint known : this.endpoints.values()) {
			this.ledger.accepting(known.info.endpoint(), known.accepting());
			if (known.owner == null || !known.accepting()) {
				continue;
			}
			OwnerView owner = updated.computeIfAbsent(known.owner, (host) -> {
				OwnerView previous = this.owners.get(host);
				return (previous != null) ? previous : new OwnerView(host, ownDomain.equals(known.info.domain()));
			});
			this.eligibleCount++;
			if (!known.info.cheap()) {
				this.eligibleSteadyCount++;
				owner.steadyEndpoints++;
			}
		}
		this.remoteDomainOwners.keySet().retainAll(this.remoteDomainHosts);
		this.remoteDomainOwners.forEach((host, owner) -> {
			// The owner itself does not send requests that cannot be repeated to cheap
			// endpoints.
			owner.steadyEndpoints = 1;
			updated.putIfAbsent(host, owner);
		});
		this.owners = updated;
		this.eligibleChanged = true;
	}

	private void applyRules(Configuration configuration) {
		this.ledger.policies(!"no-ramp".equals(configuration.rules().policies().ramp()),
				!"round-robin".equals(configuration.rules().policies().routing()));
		this.queue.fair(!"first-come".equals(configuration.rules().policies().admission()));
		this.queue.limits(new AdmissionQueue.Limits(configuration.rules().admission().maxQueued(),
				configuration.rules().admission().maxWaitInteractiveMillis(),
				configuration.rules().admission().maxWaitRolloutMillis()));
		this.queue.levels(new AdmissionQueue.Levels(
				configuration.rules().priorityLevels(this.service, Rules.RequestClass.INTERACTIVE),
				configuration.rules().priorityLevels(this.service, Rules.RequestClass.ROLLOUT)));
	}

	private static void refuse(List<AdmissionQueue.Ticket> tickets, RefusalReason reason, String detail,
			ToLongFunction<AdmissionQueue.Request> retryAfterMillis) {
		tickets.forEach((ticket) -> waiter(ticket).steps.add(CreditStep
			.of(Refusal.notExecuted(reason, detail).withRetryAfter(retryAfterMillis.applyAsLong(ticket.request())))));
	}

	private Refusal noEndpointRefusal() {
		return Refusal
			.notExecuted(RefusalReason.NO_ENDPOINT,
					"no endpoint of service " + this.service + " can accept this request")
			.withRetryAfter(NO_ENDPOINT_RETRY_MILLIS);
	}

	private <T extends @Nullable Object> T withLock(CriticalSection<T> section) {
		this.lock.lock();
		try {
			return section.run();
		}
		finally {
			this.lock.unlock();
		}
	}

	private static CreditWaiter waiter(AdmissionQueue.Ticket ticket) {
		return (CreditWaiter) ticket.request().attachment();
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

	/** Queue of credits to return to other hosts. */
	@FunctionalInterface
	interface ReturnQueue {

		/**
		 * Adds a credit, which is returned in the background.
		 * @param owner the owner of the credit
		 * @param returned the credit with its outcome
		 */
		void add(HostId owner, PeerMessage.ReturnedCredit returned);

	}

	/**
	 * A held credit that must be renewed or registered with a new owner.
	 *
	 * @param shard the shard of the credit
	 * @param credit the credit
	 * @param id the id of the credit at the time of collection
	 * @param adoptable whether the host that is asked to renew the credit can adopt it if
	 * it does not know it
	 */
	record KeepAlive(CreditShard shard, HeldCredit credit, long id, boolean adoptable) {

		boolean isHeld() {
			return this.shard.holds(this.credit);
		}

	}

	@FunctionalInterface
	private interface CriticalSection<T extends @Nullable Object> {

		T run();

	}

}
