package org.bamboorelay.core.process;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;

import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.core.time.Clock;
import org.bamboorelay.core.version.ServiceRule;
import org.jspecify.annotations.Nullable;

/**
 * The endpoints of all services as known to one host, and the choice of an endpoint for a
 * request. The load of an endpoint consists of the requests of this host and of those
 * reported by its peers; a cold endpoint receives this host's share of the request rate
 * that it tolerates.
 * <p>
 * Thread-safe; guarded by its own lock.
 */
public final class EndpointTable {

	/**
	 * First backoff after a failure, in milliseconds; doubles with each further failure.
	 */
	private static final long BACKOFF_BASE_MILLIS = 250;

	/** Maximum backoff after failures, in milliseconds. */
	private static final long BACKOFF_CAP_MILLIS = 4_000;

	private static final int MAX_DOUBLINGS = 10;

	/**
	 * Consecutive time-outs from which an endpoint counts as failing. A single time-out
	 * is no failure, because a request may be given less time than its work takes.
	 */
	private static final int TIMEOUTS_BEFORE_FAILURE = 3;

	/**
	 * Backoff after an endpoint refused a request without running it, in milliseconds.
	 */
	private static final long REFUSAL_BACKOFF_MILLIS = 150;

	/** Number of requests that may queue at an endpoint, relative to its slots. */
	private static final double QUEUE_TO_SLOTS_RATIO = 1.0;

	/** Weight of the newest measurement in the moving average of the time per unit. */
	private static final double UNIT_TIME_EWMA_WEIGHT = 0.2;

	/** Maximum load difference that affinity outweighs, in slots. */
	private static final double MAX_AFFINITY_BONUS_SLOTS = 2.0;

	/**
	 * Load added to the score of an endpoint that is assigned to another model, as a
	 * share of its slots.
	 */
	private static final double OTHER_MODEL_PENALTY = 0.7;

	/**
	 * Maximum age of the load reported by a peer, in milliseconds; older load is ignored.
	 */
	private static final long PEER_LOAD_MAX_AGE_MILLIS = 2_500;

	private final Clock clock;

	private final Map<String, EndpointState> endpoints = new HashMap<>();

	private final Map<String, PeerLoad> peerLoads = new HashMap<>();

	private final Map<String, ServiceRule> services = new HashMap<>();

	private final Set<String> disabledDomains = new HashSet<>();

	private final Map<String, Long> silentSinceMillis = new HashMap<>();

	private final Map<String, String> assignedModels = new HashMap<>();

	private final Set<String> loading = new HashSet<>();

	private final LeavingEndpoints leaving;

	private final NamedRates namedRates = new NamedRates();

	private int hostCount = 1;

	private EndpointTable(Clock clock) {
		this.clock = Objects.requireNonNull(clock, "clock");
		this.leaving = new LeavingEndpoints(clock);
	}

	/**
	 * Creates an empty table.
	 * @param clock the monotonic clock of the process
	 * @return the table
	 */
	public static EndpointTable create(Clock clock) {
		return new EndpointTable(clock);
	}

	/**
	 * Sets the services of a new configuration.
	 * @param rules the services
	 */
	public synchronized void services(Collection<ServiceRule> rules) {
		this.services.clear();
		rules.forEach((rule) -> this.services.put(rule.name(), rule));
	}

	/**
	 * Sets the number of hosts that share the request rate of cold endpoints.
	 * @param count the number of live hosts, including this one
	 */
	public synchronized void hostCount(int count) {
		this.hostCount = Math.max(1, count);
	}

	/**
	 * Adds or updates an endpoint from a directory entry. The state of an earlier start
	 * of the same endpoint is discarded, except for the number of running requests.
	 * @param entry the entry
	 */
	public synchronized void put(EndpointEntry entry) {
		EndpointState existing = this.endpoints.get(entry.id());
		long now = this.clock.millis();
		if (existing == null || existing.entry.startedAtMillis() != entry.startedAtMillis()
				|| !existing.entry.address().equals(entry.address())) {
			EndpointState replacement = new EndpointState(entry);
			replacement.coldUntilMillis = now + entry.coldRemainingMillis();
			replacement.versions.putAll(entry.versions());
			replacement.onNotice(now);
			if (existing != null) {
				replacement.running = existing.running;
			}
			this.endpoints.put(entry.id(), replacement);
			return;
		}
		existing.entry = entry;
		existing.onNotice(now);
		existing.coldUntilMillis = now + entry.coldRemainingMillis();
		entry.versions().forEach((model, version) -> existing.versions.merge(model, version, Math::max));
	}

	/**
	 * Removes an endpoint.
	 * @param id the endpoint
	 */
	public synchronized void remove(String id) {
		this.endpoints.remove(id);
	}

	/**
	 * Sets the failure domains that receive no requests.
	 * @param domains the disabled domains
	 */
	public synchronized void disabledDomains(Set<String> domains) {
		this.disabledDomains.clear();
		this.disabledDomains.addAll(domains);
	}

	/**
	 * Sets the failure domains none of whose hosts is heard. As the domain may be cut
	 * off, an endpoint there receives one request of this host at a time until it has
	 * responded.
	 * @param domains the silent domains
	 */
	public synchronized void silentDomains(Set<String> domains) {
		this.silentSinceMillis.keySet().retainAll(domains);
		domains.forEach((domain) -> this.silentSinceMillis.putIfAbsent(domain, this.clock.millis()));
	}

	/**
	 * Sets the number of requests that a peer runs at each endpoint.
	 * @param host the peer
	 * @param running the number of requests by endpoint
	 */
	public synchronized void peerLoad(String host, Map<String, Integer> running) {
		this.peerLoads.put(host, new PeerLoad(Map.copyOf(running), this.clock.millis()));
	}

	/**
	 * Returns the number of requests that this host runs at each endpoint.
	 * @return the number of requests by endpoint, without idle endpoints
	 */
	public synchronized Map<String, Integer> ownLoad() {
		Map<String, Integer> load = new HashMap<>();
		this.endpoints.forEach((id, endpoint) -> {
			if (endpoint.running > 0) {
				load.put(id, endpoint.running);
			}
		});
		return load;
	}

	/**
	 * Records a weight version reported by the endpoint itself.
	 * @param id the endpoint
	 * @param model the model
	 * @param version the version
	 */
	public synchronized void version(String id, String model, long version) {
		EndpointState endpoint = this.endpoints.get(id);
		if (endpoint != null) {
			endpoint.versions.merge(model, version, Math::max);
		}
	}

	/**
	 * Records whether an endpoint announced in a response that it is leaving. Such an
	 * endpoint receives no further requests until it starts again, whatever the directory
	 * reports.
	 * @param id the endpoint
	 * @param startedAtMillis the start time of the endpoint that responded, in
	 * milliseconds since the epoch
	 * @param announced whether the response announced that the endpoint is leaving
	 */
	public synchronized void onLeavingAnnounced(String id, long startedAtMillis, boolean announced) {
		if (announced) {
			this.leaving.add(id, startedAtMillis, true);
		}
	}

	/**
	 * Records the endpoints that announced to another host that they are leaving.
	 * @param starts the start time of each endpoint, in milliseconds since the epoch
	 */
	public synchronized void leaving(Map<String, Long> starts) {
		starts.forEach((id, startedAtMillis) -> this.leaving.add(id, startedAtMillis, false));
	}

	/**
	 * Returns the endpoints that recently announced to this host that they are leaving.
	 * @return the start time of each endpoint, in milliseconds since the epoch
	 */
	public synchronized Map<String, Long> leaving() {
		return this.leaving.shared();
	}

	/**
	 * Handles the request rate that an endpoint names in a response, or that it names
	 * none.
	 * @param grant the grant of the request
	 * @param requestsPerSecond the rate; infinite if the response names none
	 * @return whether the rate of the endpoint changed
	 */
	public synchronized boolean onRateNamed(Grant grant, double requestsPerSecond) {
		return this.namedRates.onResponse(grant.id(), grant.startedAtMillis(), requestsPerSecond,
				grant.grantedAtMillis(), this.clock.millis());
	}

	/**
	 * Records the request rate that an endpoint named to another host.
	 * @param id the endpoint
	 * @param startedAtMillis its start time, in milliseconds since the epoch
	 * @param requestsPerSecond the rate
	 * @return whether the rate of the endpoint changed
	 */
	public synchronized boolean onRateNamedToPeer(String id, long startedAtMillis, double requestsPerSecond) {
		return this.namedRates.onNamedToPeer(id, startedAtMillis, requestsPerSecond, this.clock.millis());
	}

	/**
	 * Chooses an endpoint and counts the request there until {@link #release}. If the
	 * endpoint is rate limited, the request also needs a slot, whose outcome must be
	 * reported with {@link #onSlot} first; until then no other request is granted there.
	 * @param requirements the requirements of the request
	 * @return the endpoint, or null if none can accept the request now
	 */
	public synchronized @Nullable Grant acquire(EndpointRequirements requirements) {
		long now = this.clock.millis();
		double fastestUnitTime = fastestUnitTime(requirements.service());
		double bestScore = Double.MAX_VALUE;
		EndpointState best = null;
		for (EndpointState endpoint : this.endpoints.values()) {
			if (!isAvailable(endpoint, requirements, now)) {
				continue;
			}
			double score = score(endpoint, requirements, fastestUnitTime, now);
			if (score < bestScore) {
				bestScore = score;
				best = endpoint;
			}
		}
		return (best != null) ? grant(best, now) : null;
	}

	/**
	 * Chooses the rate-limited endpoint whose next slot comes first, as
	 * {@link #acquire(EndpointRequirements)} does.
	 * @param requirements the requirements of the request
	 * @param deadlineMillis the latest time of the slot, in milliseconds of the clock of
	 * the process
	 * @return the endpoint, or null if no endpoint can accept the request by then
	 */
	public synchronized @Nullable Grant acquireNextSlot(EndpointRequirements requirements, long deadlineMillis) {
		long now = this.clock.millis();
		EndpointState next = null;
		for (EndpointState endpoint : this.endpoints.values()) {
			if (isRateLimited(endpoint) && isAvailableApartFromSlots(endpoint, requirements, now)
					&& !endpoint.slotRequested && endpoint.nextSlotMillis(requirements) <= deadlineMillis
					&& (next == null || endpoint.nextSlotMillis(requirements) < next.nextSlotMillis(requirements))) {
				next = endpoint;
			}
		}
		return (next != null) ? grant(next, now) : null;
	}

	/**
	 * Handles the outcome of the request for a slot at a rate-limited endpoint. Without a
	 * slot the grant ends.
	 * @param grant the grant
	 * @param requirements the requirements of the request
	 * @param slot the slot, or the time until there is one
	 * @return whether the request got the slot
	 */
	public synchronized boolean onSlot(Grant grant, EndpointRequirements requirements, PeerMessage.RateSlot slot) {
		EndpointState endpoint = this.endpoints.get(grant.id());
		if (endpoint != null) {
			endpoint.slotRequested = false;
			if (!slot.granted()) {
				endpoint.running = Math.max(0, endpoint.running - 1);
				endpoint.nextSlotMillis(requirements, this.clock.millis() + slot.delayMillis());
			}
		}
		return slot.granted();
	}

	/**
	 * Returns whether a granted endpoint still meets the requirements of the request.
	 * @param grant the grant
	 * @param requirements the requirements
	 * @return whether the endpoint is the same and eligible
	 */
	public synchronized boolean isStillEligible(Grant grant, EndpointRequirements requirements) {
		EndpointState endpoint = this.endpoints.get(grant.id());
		return endpoint != null && endpoint.entry.startedAtMillis() == grant.startedAtMillis()
				&& isEligible(endpoint, requirements) && this.clock.millis() >= endpoint.backoffUntilMillis;
	}

	/**
	 * Returns the time until the first slot if all eligible endpoints are rate limited.
	 * @param requirements the requirements of the request
	 * @return the time, in milliseconds; 0 if a slot may be free or an eligible endpoint
	 * is not rate limited
	 */
	public synchronized long slotDelayMillis(EndpointRequirements requirements) {
		long first = Long.MAX_VALUE;
		for (EndpointState endpoint : this.endpoints.values()) {
			if (isEligible(endpoint, requirements) && !requirements.excluded().contains(endpoint.entry.id())) {
				if (!isRateLimited(endpoint)) {
					return 0;
				}
				first = Math.min(first, endpoint.nextSlotMillis(requirements));
			}
		}
		return (first == Long.MAX_VALUE) ? 0 : Math.max(0, first - this.clock.millis());
	}

	/**
	 * Counts the endpoints that are eligible for a request, regardless of their load.
	 * @param requirements the requirements of the request
	 * @return the number of endpoints that meet the requirements and are neither leaving
	 * nor in a disabled domain
	 */
	public synchronized int eligibleCount(EndpointRequirements requirements) {
		return (int) this.endpoints.values().stream().filter((endpoint) -> isEligible(endpoint, requirements)).count();
	}

	/**
	 * Counts the endpoints that can accept a request now.
	 * @param requirements the requirements of the request
	 * @return the number of endpoints
	 */
	public synchronized int availableCount(EndpointRequirements requirements) {
		long now = this.clock.millis();
		return (int) this.endpoints.values()
			.stream()
			.filter((endpoint) -> isAvailable(endpoint, requirements, now))
			.count();
	}

	/**
	 * Returns whether a service could lose an endpoint and keep half of its endpoints.
	 * @param requirements the requirements of the request; excluded endpoints count as
	 * lost
	 * @return whether enough endpoints can accept a request now
	 */
	public synchronized boolean canSpareEndpoint(EndpointRequirements requirements) {
		int available = availableCount(requirements);
		return available > 1 && 2 * (available - 1) >= eligibleCount(requirements);
	}

	/**
	 * Returns whether the table has an endpoint with an address.
	 * @param address {@code ip:port}
	 * @return whether there is such an endpoint
	 */
	public synchronized boolean hasAddress(String address) {
		return this.endpoints.values().stream().anyMatch((endpoint) -> endpoint.entry.address().equals(address));
	}

	/**
	 * Ends a request that was counted at an endpoint, and updates the backoff of the
	 * endpoint.
	 * @param grant the grant of the request
	 * @param outcome the outcome of the request
	 */
	public synchronized void release(Grant grant, Outcome outcome) {
		EndpointState endpoint = this.endpoints.get(grant.id());
		if (endpoint == null) {
			return;
		}
		endpoint.running = Math.max(0, endpoint.running - 1);
		long now = this.clock.millis();
		if (outcome == Outcome.SERVED || outcome == Outcome.REFUSED) {
			endpoint.lastResponseMillis = now;
		}
		if (outcome == Outcome.SERVED) {
			endpoint.failures = 0;
			endpoint.timeouts = 0;
		}
		else if (outcome == Outcome.REFUSED) {
			endpoint.backoffUntilMillis = Math.max(endpoint.backoffUntilMillis, now + REFUSAL_BACKOFF_MILLIS);
		}
		else if (outcome == Outcome.FAILED
				|| (outcome == Outcome.OUT_OF_TIME && ++endpoint.timeouts >= TIMEOUTS_BEFORE_FAILURE)) {
			long backoffMillis = BACKOFF_BASE_MILLIS << Math.min(endpoint.failures, MAX_DOUBLINGS);
			endpoint.backoffUntilMillis = now + Math.min(BACKOFF_CAP_MILLIS, backoffMillis);
			endpoint.failures++;
		}
	}

	/**
	 * Records the time that an endpoint needs for a unit of work.
	 * @param id the endpoint
	 * @param millisPerUnit the time per unit of work, in milliseconds; comparable between
	 * the endpoints of a service
	 */
	public synchronized void unitTime(String id, double millisPerUnit) {
		EndpointState endpoint = this.endpoints.get(id);
		if (endpoint != null) {
			endpoint.lastResponseMillis = this.clock.millis();
			endpoint.unitTime = (endpoint.unitTime == 0) ? millisPerUnit
					: endpoint.unitTime + UNIT_TIME_EWMA_WEIGHT * (millisPerUnit - endpoint.unitTime);
		}
	}

	/**
	 * Returns the rules of all services.
	 * @return the rules
	 */
	public synchronized List<ServiceRule> serviceRules() {
		return List.copyOf(this.services.values());
	}

	/**
	 * Returns the failure domains that receive no requests.
	 * @return the disabled domains
	 */
	public synchronized Set<String> disabledDomains() {
		return Set.copyOf(this.disabledDomains);
	}

	/**
	 * Returns the smallest number of slots among the endpoints of a service.
	 * @param service the service
	 * @return the number of slots; 0 if the service has no endpoint
	 */
	public synchronized int slots(String service) {
		return this.endpoints.values()
			.stream()
			.filter((endpoint) -> endpoint.entry.service().equals(service))
			.mapToInt((endpoint) -> endpoint.entry.slots())
			.min()
			.orElse(0);
	}

	/**
	 * Returns the models held by any endpoint.
	 * @return the models
	 */
	public synchronized Set<String> models() {
		Set<String> models = new TreeSet<>();
		this.endpoints.values().forEach((endpoint) -> models.addAll(endpoint.versions.keySet()));
		return models;
	}

	/**
	 * Sets the endpoints that are loading weights. They accept no requests until they
	 * have finished.
	 * @param ids the endpoints
	 */
	public synchronized void loading(Set<String> ids) {
		this.loading.clear();
		this.loading.addAll(ids);
	}

	/**
	 * Records that an endpoint started or ended loading weights. Until an endpoint has
	 * finished, it accepts no requests; afterwards it accepts those that need its new
	 * version.
	 * @param id the endpoint
	 * @param model the model
	 * @param version the version that the endpoint holds; 0 if it is not known
	 * @param inProgress whether the endpoint is loading
	 */
	public synchronized void onWeightLoad(String id, String model, long version, boolean inProgress) {
		if (inProgress) {
			this.loading.add(id);
		}
		else {
			this.loading.remove(id);
		}
		if (version > 0) {
			version(id, model, version);
		}
	}

	/**
	 * Sets the model whose versions each endpoint loads. Requests for another model use
	 * the endpoint only if the endpoints of that model have a much higher load.
	 * @param models the model by endpoint
	 */
	public synchronized void assignedModels(Map<String, String> models) {
		this.assignedModels.clear();
		this.assignedModels.putAll(models);
	}

	/**
	 * Returns whether a run should be moved: its endpoint is much slower than another one
	 * that can accept the run.
	 * @param id the endpoint of the run
	 * @param requirements the requirements of the run
	 * @param ratio the factor by which the other endpoint must be faster
	 * @return whether to cancel the run and resume it elsewhere
	 */
	public synchronized boolean isWorthMoving(String id, EndpointRequirements requirements, double ratio) {
		EndpointState current = this.endpoints.get(id);
		if (current == null || current.unitTime == 0) {
			return false;
		}
		long now = this.clock.millis();
		return this.endpoints.values()
			.stream()
			.anyMatch((endpoint) -> endpoint != current && endpoint.unitTime > 0
					&& endpoint.unitTime * ratio < current.unitTime && isAvailable(endpoint, requirements, now)
					&& !isRateLimited(endpoint) && now >= endpoint.coldUntilMillis);
	}

	/**
	 * Returns the endpoints that hold a model and are not leaving.
	 * @param model the model
	 * @return the endpoints, each with its version of the model
	 */
	public synchronized List<ModelHolder> holders(String model) {
		long now = this.clock.millis();
		List<ModelHolder> holders = new ArrayList<>();
		for (EndpointState endpoint : this.endpoints.values()) {
			Long version = endpoint.versions.get(model);
			if (version != null && !isLeaving(endpoint)) {
				holders.add(new ModelHolder(endpoint.entry.id(), endpoint.entry.address(), endpoint.entry.domain(),
						endpoint.entry.startedAtMillis(), version, Map.copyOf(endpoint.versions),
						(int) load(endpoint, now)));
			}
		}
		return holders;
	}

	/**
	 * Counts the endpoints of a service in each failure domain.
	 * @param service the service
	 * @return the number of endpoints that are not leaving, by domain
	 */
	public synchronized Map<String, Integer> countByDomain(String service) {
		Map<String, Integer> counts = new HashMap<>();
		this.endpoints.values()
			.stream()
			.filter((endpoint) -> endpoint.entry.service().equals(service) && !isLeaving(endpoint))
			.forEach((endpoint) -> counts.merge(endpoint.entry.domain(), 1, Integer::sum));
		return counts;
	}

	/**
	 * Counts the endpoints of a service in each failure domain by their kind.
	 * @param service the service
	 * @return the endpoints that are not leaving, by domain
	 */
	public synchronized Map<String, EndpointCounts> countsByDomain(String service) {
		long now = this.clock.millis();
		Map<String, EndpointCounts> counts = new HashMap<>();
		this.endpoints.values()
			.stream()
			.filter((endpoint) -> endpoint.entry.service().equals(service) && !isLeaving(endpoint))
			.forEach((endpoint) -> counts.compute(endpoint.entry.domain(),
					(domain, before) -> ((before != null) ? before : EndpointCounts.NONE).plusOne(endpoint.entry.spot(),
							load(endpoint, now) == 0)));
		return counts;
	}

	/**
	 * Returns the endpoints that the platform gave notice to reclaim.
	 * @return the endpoints by id
	 */
	public synchronized Map<String, ReclaimedEndpoint> reclaimed() {
		long now = this.clock.millis();
		Map<String, ReclaimedEndpoint> reclaimed = new HashMap<>();
		this.endpoints.forEach((id, endpoint) -> {
			if (endpoint.reclaimedAtMillis != Long.MAX_VALUE) {
				reclaimed.put(id, new ReclaimedEndpoint(endpoint.reclaimedAtMillis - now, endpoint.unitTime));
			}
		});
		return reclaimed;
	}

	/**
	 * Returns the mean time that the endpoints of a service need for a unit of work.
	 * @param service the service
	 * @return the time, in milliseconds; 0 if it is unknown
	 */
	public synchronized double meanUnitTime(String service) {
		return this.endpoints.values()
			.stream()
			.filter((endpoint) -> endpoint.unitTime > 0 && endpoint.entry.service().equals(service))
			.mapToDouble((endpoint) -> endpoint.unitTime)
			.average()
			.orElse(0);
	}

	private boolean isLeaving(EndpointState endpoint) {
		return endpoint.entry.leaving() || this.leaving.contains(endpoint.entry.id(), endpoint.entry.startedAtMillis());
	}

	private boolean isEligible(EndpointState endpoint, EndpointRequirements requirements) {
		EndpointEntry entry = endpoint.entry;
		if (!entry.service().equals(requirements.service()) || isLeaving(endpoint)
				|| this.disabledDomains.contains(entry.domain())) {
			return false;
		}
		return requirements.model() == null || endpoint.versions.getOrDefault(requirements.model(),
				requirements.minVersion()) >= requirements.minVersion();
	}

	private Grant grant(EndpointState endpoint, long now) {
		endpoint.running++;
		if (now < endpoint.coldUntilMillis) {
			endpoint.nextColdRequestAtMillis = now + coldIntervalMillis(endpoint);
		}
		EndpointEntry entry = endpoint.entry;
		double rate = this.namedRates.rate(entry.id(), entry.startedAtMillis());
		endpoint.slotRequested = !Double.isInfinite(rate);
		return new Grant(entry.id(), entry.address(), entry.domain(), entry.startedAtMillis(), now, rate);
	}

	private boolean isRateLimited(EndpointState endpoint) {
		return !Double.isInfinite(this.namedRates.rate(endpoint.entry.id(), endpoint.entry.startedAtMillis()));
	}

	private boolean isAvailable(EndpointState endpoint, EndpointRequirements requirements, long now) {
		return isAvailableApartFromSlots(endpoint, requirements, now) && (!isRateLimited(endpoint)
				|| (!endpoint.slotRequested && now >= endpoint.nextSlotMillis(requirements)));
	}

	private boolean isAvailableApartFromSlots(EndpointState endpoint, EndpointRequirements requirements, long now) {
		if (!isEligible(endpoint, requirements) || now < endpoint.backoffUntilMillis
				|| this.loading.contains(endpoint.entry.id())
				|| requirements.excluded().contains(endpoint.entry.id())) {
			return false;
		}
		if (now < endpoint.coldUntilMillis && now < endpoint.nextColdRequestAtMillis) {
			return false;
		}
		Long silentSince = this.silentSinceMillis.get(endpoint.entry.domain());
		if (silentSince != null && endpoint.lastResponseMillis < silentSince && endpoint.running > 0) {
			return false;
		}
		double limit = endpoint.entry.slots() * (requirements.slotsOnly() ? 1.0 : 1.0 + QUEUE_TO_SLOTS_RATIO);
		return load(endpoint, now) < limit;
	}

	private double score(EndpointState endpoint, EndpointRequirements requirements, double fastestUnitTime, long now) {
		double slots = endpoint.entry.slots();
		double score = (load(endpoint, now) + 1) / slots;
		if (endpoint.unitTime > 0 && fastestUnitTime > 0) {
			score *= Math.max(1.0, endpoint.unitTime / fastestUnitTime);
		}
		String model = this.assignedModels.get(endpoint.entry.id());
		if (model != null && requirements.model() != null && !model.equals(requirements.model())) {
			score += OTHER_MODEL_PENALTY;
		}
		if (requirements.affinity() != 0) {
			long hash = requirements.affinity() * 31 + endpoint.entry.id().hashCode();
			hash ^= hash >>> 29;
			hash *= 0xBF58476D1CE4E5B9L;
			hash ^= hash >>> 32;
			score -= MAX_AFFINITY_BONUS_SLOTS / slots * ((hash & 0xFFFF) / 65536.0);
		}
		return score;
	}

	// The lowest average time per unit of a service, which all healthy endpoints
	// approach.
	private double fastestUnitTime(String service) {
		double lowest = 0;
		for (EndpointState endpoint : this.endpoints.values()) {
			if (endpoint.unitTime > 0 && endpoint.entry.service().equals(service)) {
				lowest = (lowest == 0) ? endpoint.unitTime : Math.min(lowest, endpoint.unitTime);
			}
		}
		return lowest;
	}

	private double load(EndpointState endpoint, long now) {
		int load = endpoint.running;
		for (PeerLoad peer : this.peerLoads.values()) {
			if (now - peer.atMillis() < PEER_LOAD_MAX_AGE_MILLIS) {
				load += peer.running().getOrDefault(endpoint.entry.id(), 0);
			}
		}
		return load;
	}

	private long coldIntervalMillis(EndpointState endpoint) {
		ServiceRule rule = this.services.get(endpoint.entry.service());
		if (rule == null || rule.maxColdRequestsPerSecond() <= 0) {
			return 0;
		}
		return (long) Math.ceil(1_000.0 * this.hostCount / rule.maxColdRequestsPerSecond());
	}

	/**
	 * The outcome of a request at an endpoint.
	 */
	public enum Outcome {

		/** The endpoint responded. */
		SERVED,

		/** The endpoint refused the request without running it. */
		REFUSED,

		/** The endpoint could not be reached, or broke the connection. */
		FAILED,

		/** The request timed out before a response arrived. */
		OUT_OF_TIME,

		/** This host cancelled the request. */
		ABANDONED

	}

	/**
	 * An endpoint that was chosen for a request.
	 *
	 * @param id the endpoint
	 * @param address {@code ip:port}
	 * @param domain its failure domain
	 * @param startedAtMillis its start time, in milliseconds since the epoch
	 * @param grantedAtMillis the time of the choice, in milliseconds of the clock of the
	 * process
	 * @param requestsPerSecond the rate that the endpoint takes from all hosts together;
	 * infinite if it named none
	 */
	public record Grant(String id, String address, String domain, long startedAtMillis, long grantedAtMillis,
			double requestsPerSecond) {

		/**
		 * Returns whether the request needs a slot.
		 * @return whether the endpoint named the rate that it takes
		 */
		public boolean isRateLimited() {
			return !Double.isInfinite(this.requestsPerSecond);
		}

	}

	/**
	 * An endpoint that holds a model.
	 *
	 * @param id the endpoint
	 * @param address {@code ip:port}
	 * @param domain its failure domain
	 * @param startedAtMillis its start time, in milliseconds since the epoch
	 * @param version its weight version of the model
	 * @param versions the weight versions of all its models
	 * @param running the number of requests that it is known to run
	 */
	public record ModelHolder(String id, String address, String domain, long startedAtMillis, long version,
			Map<String, Long> versions, int running) {
	}

	/**
	 * An endpoint that the platform is about to reclaim.
	 *
	 * @param noticeMillis its remaining time, in milliseconds; negative if it has passed
	 * @param unitMillis the time that it needs for a unit of work, in milliseconds; 0 if
	 * it is unknown
	 */
	public record ReclaimedEndpoint(long noticeMillis, double unitMillis) {
	}

	private record PeerLoad(Map<String, Integer> running, long atMillis) {
	}

	private static final class EndpointState {

		private EndpointEntry entry;

		private final Map<String, Long> versions = new HashMap<>();

		private int running;

		private int failures;

		private int timeouts;

		private long backoffUntilMillis;

		private long coldUntilMillis;

		private long nextColdRequestAtMillis;

		private double unitTime;

		private long lastResponseMillis = Long.MIN_VALUE;

		/**
		 * Whether a slot at this endpoint was requested and not yet refused or granted.
		 */
		private boolean slotRequested;

		private long nextInteractiveSlotMillis;

		private long nextBackgroundSlotMillis;

		private long reclaimedAtMillis = Long.MAX_VALUE;

		private EndpointState(EndpointEntry entry) {
			this.entry = entry;
		}

		// Repetitions of a notice don't extend it.
		private void onNotice(long now) {
			this.reclaimedAtMillis = this.entry.isReclaimed()
					? Math.min(this.reclaimedAtMillis, now + this.entry.leavesMillis()) : Long.MAX_VALUE;
		}

		private long nextSlotMillis(EndpointRequirements requirements) {
			return requirements.origin().isInteractive() ? this.nextInteractiveSlotMillis
					: this.nextBackgroundSlotMillis;
		}

		private void nextSlotMillis(EndpointRequirements requirements, long millis) {
			if (requirements.origin().isInteractive()) {
				this.nextInteractiveSlotMillis = millis;
			}
			else {
				this.nextBackgroundSlotMillis = millis;
			}
		}

	}

}
