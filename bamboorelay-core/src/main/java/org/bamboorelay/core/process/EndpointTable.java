package org.bamboorelay.core.process;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

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

	/**
	 * Minimum gain of a migration, in milliseconds. It exceeds the time until the run is
	 * resumed elsewhere, and errors of the estimate.
	 */
	private static final long MIN_MIGRATION_GAIN_MILLIS = 300;

	/** Minimum gain of a migration, as a share of the remaining time. */
	private static final double MIN_MIGRATION_GAIN_SHARE = 0.15;

	/** Weight of the newest item in the moving average of the tokens of an item. */
	private static final double TOKENS_EWMA_WEIGHT = 0.05;

	private final Clock clock;

	private final Map<String, EndpointState> endpoints = new HashMap<>();

	private final PeerLoads peerLoads = new PeerLoads(this::onPeerLoad);

	private final Map<String, ServiceRule> services = new HashMap<>();

	private final Set<String> disabledDomains = new HashSet<>();

	private final Map<String, Long> silentSinceMillis = new HashMap<>();

	private final Map<String, String> assignedModels = new HashMap<>();

	private final Set<String> loading = new HashSet<>();

	private final LeavingEndpoints leaving;

	private final NamedRates namedRates = new NamedRates();

	private final PlacementPolicy estimatedLoadPlacement = new EstimatedLoadPlacement();

	private final PlacementPolicy reportedLoadPlacement;

	private final SharedPrompts sharedPrompts = new SharedPrompts();

	/** The average number of tokens that an item occupies, by service. */
	private final Map<String, Double> tokensPerRun = new HashMap<>();

	private final PlacementCounts placementCounts = new PlacementCounts();

	private final List<EndpointState> candidates = new ArrayList<>();

	/** The endpoints by service, in the order of the table; cleared when it changes. */
	private final Map<String, List<EndpointState>> byService = new HashMap<>();

	private int hostCount = 1;

	private volatile Consumer<Release> onRelease = (release) -> {
	};

	private EndpointTable(Clock clock, RandomGenerator random) {
		this.clock = Objects.requireNonNull(clock, "clock");
		this.reportedLoadPlacement = new ReportedLoadPlacement(random);
		this.leaving = new LeavingEndpoints(clock);
	}

	/**
	 * Creates an empty table whose random choices are the same in each process.
	 * @param clock the monotonic clock of the process
	 * @return the table
	 */
	public static EndpointTable create(Clock clock) {
		return create(clock, new SplittableRandom(0));
	}

	/**
	 * Creates an empty table.
	 * @param clock the monotonic clock of the process
	 * @param random the source of randomness, which differs between hosts
	 * @return the table
	 */
	public static EndpointTable create(Clock clock, RandomGenerator random) {
		return new EndpointTable(clock, random);
	}

	/**
	 * Returns how often endpoints were chosen and runs were migrated, by reason.
	 * @return the counts
	 */
	public PlacementCounts placementCounts() {
		return this.placementCounts;
	}

	/**
	 * Records the load that an endpoint reports in a response.
	 * @param grant the grant of the request
	 * @param load the load
	 * @return whether this is the first report of any endpoint of the service
	 */
	public synchronized boolean onLoadReported(Grant grant, ReportedLoad load) {
		EndpointState endpoint = this.endpoints.get(grant.id());
		if (endpoint == null || endpoint.entry.startedAtMillis() != grant.startedAtMillis()) {
			return false;
		}
		long now = this.clock.millis();
		this.peerLoads.expire(now);
		boolean isFirst = !reportsLoad(endpoint.entry.service());
		endpoint.onLoadReported(load, now);
		this.placementCounts.onReport();
		return isFirst;
	}

	/**
	 * Returns whether an endpoint of a service reported its load.
	 * @param service the service
	 * @return whether the choices for the service use reported load
	 */
	public synchronized boolean reportsLoad(String service) {
		return endpointsOf(service).stream().anyMatch(EndpointState::reportsLoad);
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
			replacement.peerRunning = this.peerLoads.sum(entry.id());
			replacement.assignedModel = this.assignedModels.get(entry.id());
			replacement.onNotice(now);
			if (existing != null) {
				replacement.running = existing.running;
				replacement.reservedTokens = existing.reservedTokens;
			}
			this.endpoints.put(entry.id(), replacement);
			this.byService.clear();
			return;
		}
		if (!existing.entry.service().equals(entry.service())) {
			this.byService.clear();
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
		this.byService.clear();
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
		this.peerLoads.put(host, running, this.clock.millis());
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
		PlacementPolicy.Choice<EndpointState> choice = choose(requirements, now,
				PlacementPolicy.RejectionListener.NONE);
		if (choice == null) {
			return null;
		}
		this.placementCounts.onChoice(choice.reason());
		return grant(choice.candidate(), requirements, now);
	}

	/**
	 * Returns which endpoint a request would get now, and why, without sending it.
	 * @param requirements the requirements of the request
	 * @return the endpoint that would be chosen, and the reasons against the others
	 */
	public synchronized Explanation explain(EndpointRequirements requirements) {
		Map<String, PlacementReason> rejected = new HashMap<>();
		PlacementPolicy.Choice<EndpointState> choice = choose(requirements, this.clock.millis(), rejected::put);
		String chosen = (choice != null) ? choice.candidate().id() : null;
		this.candidates.stream()
			.filter((candidate) -> !candidate.id().equals(chosen))
			.forEach((candidate) -> rejected.putIfAbsent(candidate.id(), PlacementReason.OTHER_PREFERRED));
		return new Explanation(chosen, (choice != null) ? choice.reason() : null, Map.copyOf(rejected));
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
		return (next != null) ? grant(next, requirements, now) : null;
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
				endpoint.onEnded(grant);
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
	 * Returns the endpoints that may take a hedged copy of a request: those that can
	 * accept the request, are warm, limit no rate and are in no silent domain.
	 * @param requirements the requirements of the request
	 * @return the slots of these endpoints, and the endpoints that may not take a copy
	 */
	public synchronized HedgeTargets hedgeTargets(EndpointRequirements requirements) {
		long now = this.clock.millis();
		Set<String> excluded = new HashSet<>();
		int slots = 0;
		int freeSlots = 0;
		for (EndpointState endpoint : this.endpoints.values()) {
			EndpointEntry entry = endpoint.entry;
			if (!isEligible(endpoint, requirements) || requirements.excluded().contains(entry.id())
					|| this.loading.contains(entry.id()) || now < endpoint.backoffUntilMillis
					|| now < endpoint.coldUntilMillis || isRateLimited(endpoint)
					|| this.silentSinceMillis.containsKey(entry.domain())) {
				excluded.add(entry.id());
				continue;
			}
			slots += entry.slots();
			freeSlots += Math.max(0, entry.slots() - load(endpoint, now));
		}
		return new HedgeTargets(freeSlots, slots, excluded);
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
	 * Sets the listener for slots that become free.
	 * @param listener receives each release, without the lock of the table; must not
	 * block
	 */
	public void onRelease(Consumer<Release> listener) {
		this.onRelease = Objects.requireNonNull(listener, "listener");
	}

	/**
	 * Ends a request that was counted at an endpoint, and updates the backoff of the
	 * endpoint.
	 * @param grant the grant of the request
	 * @param outcome the outcome of the request
	 */
	public void release(Grant grant, Outcome outcome) {
		Release release = end(grant, outcome);
		if (release != null) {
			this.onRelease.accept(release);
		}
	}

	private synchronized @Nullable Release end(Grant grant, Outcome outcome) {
		EndpointState endpoint = this.endpoints.get(grant.id());
		if (endpoint == null) {
			return null;
		}
		endpoint.onEnded(grant);
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
		return new Release(endpoint.entry.service(), now - grant.grantedAtMillis(), outcome);
	}

	/**
	 * Returns the number of requests that this host runs at the endpoints of a service.
	 * @param service the service
	 * @return the number of requests
	 */
	public synchronized int runningCount(String service) {
		return this.endpoints.values()
			.stream()
			.filter((endpoint) -> endpoint.entry.service().equals(service))
			.mapToInt((endpoint) -> endpoint.running)
			.sum();
	}

	/**
	 * Returns the number of slots of the endpoints that are eligible for a request,
	 * regardless of their load.
	 * @param requirements the requirements of the request
	 * @return the number of slots
	 */
	public synchronized int slotCount(EndpointRequirements requirements) {
		return this.endpoints.values()
			.stream()
			.filter((endpoint) -> isEligible(endpoint, requirements))
			.mapToInt((endpoint) -> endpoint.entry.slots())
			.sum();
	}

	/**
	 * Returns whether an endpoint that a request could use named the rate that it takes.
	 * @param requirements the requirements of the request
	 * @return whether slots at one of the endpoints are scheduled for all hosts
	 */
	public synchronized boolean isAnyRateLimited(EndpointRequirements requirements) {
		return this.endpoints.values()
			.stream()
			.anyMatch((endpoint) -> isRateLimited(endpoint) && isEligible(endpoint, requirements));
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
			endpoint.onUnitTime(millisPerUnit, this.clock.millis());
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
		this.endpoints.forEach((id, endpoint) -> endpoint.assignedModel = models.get(id));
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
	 * Returns whether a run should be moved because it is expected to be completed sooner
	 * elsewhere. A deviation of the current endpoint's pace from its usual one is no
	 * reason, because it ends sooner than the move would pay off.
	 * @param id the endpoint of the run
	 * @param requirements the requirements of the run, with the work that remains
	 * @param marginFactor factor on the gain that is required; at least 1
	 * @return whether to cancel the run and resume it elsewhere
	 */
	public synchronized boolean isCompletedSoonerElsewhere(String id, EndpointRequirements requirements,
			double marginFactor) {
		EndpointState current = this.endpoints.get(id);
		ItemWork work = requirements.work();
		if (current == null || work == null || current.unitTime() == 0) {
			return false;
		}
		long now = this.clock.millis();
		double here = work.expectedEvents() * current.unitTime() * current.usualPace();
		double latest = here - marginFactor * Math.max(MIN_MIGRATION_GAIN_MILLIS, MIN_MIGRATION_GAIN_SHARE * here);
		if (latest <= 0) {
			return false;
		}
		PlacementPolicy.Memory memory = memory(requirements.service());
		Map<String, Long> holders = this.sharedPrompts.holders(work.group(), now);
		// An endpoint whose pace is unknown is no reason to move.
		return this.endpoints.values()
			.stream()
			.anyMatch((endpoint) -> endpoint != current && endpoint.unitTime() > 0 && now >= endpoint.coldUntilMillis
					&& isAvailable(endpoint, requirements, now) && !isRateLimited(endpoint)
					&& endpoint.fits(work, memory)
					&& CompletionTime.of(endpoint, work, 0, holders.containsKey(endpoint.id()), now)
						.totalMillis() < latest);
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
						endpoint.entry.startedAtMillis(), version, Map.copyOf(endpoint.versions), load(endpoint, now)));
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

	private PlacementPolicy.@Nullable Choice<EndpointState> choose(EndpointRequirements requirements, long now,
			PlacementPolicy.RejectionListener rejections) {
		this.peerLoads.expire(now);
		this.candidates.clear();
		UnitTimeSummary unitTimes = new UnitTimeSummary();
		boolean reportsLoad = false;
		for (EndpointState endpoint : endpointsOf(requirements.service())) {
			unitTimes.add(endpoint.unitTime());
			reportsLoad |= endpoint.reportsLoad();
			PlacementReason obstacle = obstacle(endpoint, requirements, now);
			if (obstacle == null) {
				this.candidates.add(endpoint);
			}
			else {
				rejections.onRejected(endpoint.id(), obstacle);
			}
		}
		PlacementPolicy policy = reportsLoad ? this.reportedLoadPlacement : this.estimatedLoadPlacement;
		return policy.choose(request(requirements, unitTimes, now), this.candidates, rejections);
	}

	private List<EndpointState> endpointsOf(String service) {
		return this.byService.computeIfAbsent(service,
				(name) -> this.endpoints.values()
					.stream()
					.filter((endpoint) -> endpoint.entry.service().equals(name))
					.toList());
	}

	private PlacementPolicy.Request request(EndpointRequirements requirements, UnitTimeSummary unitTimes, long now) {
		ItemWork work = requirements.work();
		return new PlacementPolicy.Request(requirements, unitTimes.result(), memory(requirements.service()),
				(work != null) ? this.sharedPrompts.holders(work.group(), now) : Map.of(), now);
	}

	private PlacementPolicy.Memory memory(String service) {
		ServiceRule rule = this.services.get(service);
		return new PlacementPolicy.Memory((rule != null) ? rule.tokenCapacity() : 0,
				this.tokensPerRun.getOrDefault(service, 0.0));
	}

	private void onPeerLoad(String id, int running) {
		EndpointState endpoint = this.endpoints.get(id);
		if (endpoint != null) {
			endpoint.peerRunning = running;
		}
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
				reclaimed.put(id, new ReclaimedEndpoint(endpoint.reclaimedAtMillis - now, endpoint.unitTime()));
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
			.filter((endpoint) -> endpoint.unitTime() > 0 && endpoint.entry.service().equals(service))
			.mapToDouble(EndpointState::unitTime)
			.average()
			.orElse(0);
	}

	private boolean isLeaving(EndpointState endpoint) {
		return endpoint.entry.leaving() || this.leaving.contains(endpoint.entry.id(), endpoint.entry.startedAtMillis());
	}

	private boolean isEligible(EndpointState endpoint, EndpointRequirements requirements) {
		return endpoint.entry.service().equals(requirements.service()) && ineligibility(endpoint, requirements) == null;
	}

	private @Nullable PlacementReason ineligibility(EndpointState endpoint, EndpointRequirements requirements) {
		if (isLeaving(endpoint)) {
			return PlacementReason.LEAVING;
		}
		if (!this.disabledDomains.isEmpty() && this.disabledDomains.contains(endpoint.entry.domain())) {
			return PlacementReason.DOMAIN_DISABLED;
		}
		boolean holdsWeights = requirements.model() == null || endpoint.versions.getOrDefault(requirements.model(),
				requirements.minVersion()) >= requirements.minVersion();
		return holdsWeights ? null : PlacementReason.OLD_WEIGHTS;
	}

	private Grant grant(EndpointState endpoint, EndpointRequirements requirements, long now) {
		endpoint.running++;
		ItemWork work = requirements.work();
		if (work != null) {
			endpoint.reservedTokens += work.reservedTokens();
			this.tokensPerRun.merge(requirements.service(), (double) work.reservedTokens(),
					(average, tokens) -> average + TOKENS_EWMA_WEIGHT * (tokens - average));
			this.sharedPrompts.put(work.group(), endpoint.id(), now);
		}
		if (now < endpoint.coldUntilMillis) {
			endpoint.nextColdRequestAtMillis = now + coldIntervalMillis(endpoint);
		}
		EndpointEntry entry = endpoint.entry;
		double rate = this.namedRates.rate(entry.id(), entry.startedAtMillis());
		endpoint.slotRequested = !Double.isInfinite(rate);
		return new Grant(entry.id(), entry.address(), entry.domain(), entry.startedAtMillis(), now, rate,
				(work != null) ? work.reservedTokens() : 0);
	}

	private boolean isRateLimited(EndpointState endpoint) {
		return !Double.isInfinite(this.namedRates.rate(endpoint.entry.id(), endpoint.entry.startedAtMillis()));
	}

	private boolean isAvailable(EndpointState endpoint, EndpointRequirements requirements, long now) {
		return endpoint.entry.service().equals(requirements.service()) && obstacle(endpoint, requirements, now) == null;
	}

	private @Nullable PlacementReason obstacle(EndpointState endpoint, EndpointRequirements requirements, long now) {
		PlacementReason obstacle = obstacleApartFromSlots(endpoint, requirements, now);
		if (obstacle == null && isRateLimited(endpoint)
				&& (endpoint.slotRequested || now < endpoint.nextSlotMillis(requirements))) {
			return PlacementReason.RATE_LIMITED;
		}
		return obstacle;
	}

	private boolean isAvailableApartFromSlots(EndpointState endpoint, EndpointRequirements requirements, long now) {
		return endpoint.entry.service().equals(requirements.service())
				&& obstacleApartFromSlots(endpoint, requirements, now) == null;
	}

	private @Nullable PlacementReason obstacleApartFromSlots(EndpointState endpoint, EndpointRequirements requirements,
			long now) {
		PlacementReason ineligibility = ineligibility(endpoint, requirements);
		if (ineligibility != null) {
			return ineligibility;
		}
		if (now < endpoint.backoffUntilMillis) {
			return PlacementReason.BACKOFF;
		}
		if (!this.loading.isEmpty() && this.loading.contains(endpoint.entry.id())) {
			return PlacementReason.LOADING_WEIGHTS;
		}
		if (!requirements.excluded().isEmpty() && requirements.excluded().contains(endpoint.entry.id())) {
			return PlacementReason.EXCLUDED;
		}
		if (now < endpoint.coldUntilMillis && now < endpoint.nextColdRequestAtMillis) {
			return PlacementReason.COLD;
		}
		Long silentSince = this.silentSinceMillis.isEmpty() ? null
				: this.silentSinceMillis.get(endpoint.entry.domain());
		if (silentSince != null && endpoint.lastResponseMillis < silentSince && endpoint.running > 0) {
			return PlacementReason.DOMAIN_SILENT;
		}
		double limit = endpoint.entry.slots() * (requirements.slotsOnly() ? 1.0 : 1.0 + QUEUE_TO_SLOTS_RATIO);
		return (load(endpoint, now) < limit) ? null : PlacementReason.NO_SLOT;
	}

	private int load(EndpointState endpoint, long now) {
		this.peerLoads.expire(now);
		return endpoint.load();
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
	 * The end of a request at an endpoint.
	 *
	 * @param service the service of the endpoint
	 * @param heldMillis the time for which the request held its slot, in milliseconds
	 * @param outcome the outcome of the request
	 */
	public record Release(String service, long heldMillis, Outcome outcome) {
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
	 * @param reservedTokens the number of tokens that the request may occupy in the
	 * memory of the endpoint; 0 if unknown
	 */
	public record Grant(String id, String address, String domain, long startedAtMillis, long grantedAtMillis,
			double requestsPerSecond, long reservedTokens) {

		/**
		 * Creates a grant for a request whose use of memory is not known.
		 * @param id the endpoint
		 * @param address {@code ip:port}
		 * @param domain its failure domain
		 * @param startedAtMillis its start time, in milliseconds since the epoch
		 * @param grantedAtMillis the time of the choice, in milliseconds of the clock of
		 * the process
		 * @param requestsPerSecond the rate that the endpoint takes; infinite if it named
		 * none
		 */
		public Grant(String id, String address, String domain, long startedAtMillis, long grantedAtMillis,
				double requestsPerSecond) {
			this(id, address, domain, startedAtMillis, grantedAtMillis, requestsPerSecond, 0);
		}

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
	 * The endpoints that may take a hedged copy of a request.
	 *
	 * @param freeSlots their free slots
	 * @param slots all their slots
	 * @param excluded the other endpoints, of any service
	 */
	public record HedgeTargets(int freeSlots, int slots, Set<String> excluded) {

		public HedgeTargets {
			excluded = Set.copyOf(excluded);
		}

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

	/**
	 * Which endpoint a request would get, and why.
	 *
	 * @param chosen the endpoint; null if none can accept the request
	 * @param reason why it would be chosen; null if there is none
	 * @param rejected why each other endpoint of the service would not be chosen
	 */
	public record Explanation(@Nullable String chosen, @Nullable PlacementReason reason,
			Map<String, PlacementReason> rejected) {
	}

	private static final class UnitTimeSummary {

		private double fastest;

		private double sum;

		private int count;

		private void add(double unitTime) {
			if (unitTime > 0) {
				this.fastest = (this.count == 0) ? unitTime : Math.min(this.fastest, unitTime);
				this.sum += unitTime;
				this.count++;
			}
		}

		private PlacementPolicy.UnitTimes result() {
			return new PlacementPolicy.UnitTimes(this.fastest, (this.count > 0) ? this.sum / this.count : 0);
		}

	}

}
