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

import org.bamboorelay.core.time.Clock;
import org.bamboorelay.core.version.ServiceRule;
import org.jspecify.annotations.Nullable;

/**
 * The endpoints of all services as one host knows them, and the choice of an endpoint for
 * a request. It answers for the load of this host's requests and of those that its peers
 * tell of; a cold endpoint gets this host's share of the rate that it bears.
 * <p>
 * Thread-safe; guarded by its own lock.
 */
public final class EndpointTable {

	/** First pause after a failure, in milliseconds; doubles with each further one. */
	private static final long PAUSE_BASE_MILLIS = 250;

	/** The longest pause after failures, in milliseconds. */
	private static final long PAUSE_CAP_MILLIS = 4_000;

	private static final int MAX_DOUBLINGS = 10;

	/**
	 * Requests in a row that ran out of their own time before an endpoint counts as
	 * failing: a request may be given less time than its work takes.
	 */
	private static final int SLOW_IN_A_ROW = 3;

	/** Pause after an endpoint refused a request without running it, in milliseconds. */
	private static final long REFUSED_PAUSE_MILLIS = 150;

	/** Requests that may wait at an endpoint, as a share of its slots. */
	private static final double QUEUE_SHARE = 1.0;

	/** Weight of the newest reading in the mean pace of an endpoint. */
	private static final double PACE_WEIGHT = 0.2;

	/** How far affinity outweighs load, in slots. */
	private static final double AFFINITY_SLOTS = 2.0;

	/** Load that an endpoint of another model counts for beyond its own, of its slots. */
	private static final double OTHER_MODEL_LOAD = 0.7;

	/** Peers' figures older than this are left out, in milliseconds. */
	private static final long PEER_LOAD_MILLIS = 2_500;

	private final Clock clock;

	private final Map<String, Endpoint> endpoints = new HashMap<>();

	private final Map<String, PeerLoad> peers = new HashMap<>();

	private final Map<String, ServiceRule> services = new HashMap<>();

	private final Set<String> closedDomains = new HashSet<>();

	private final Map<String, String> assigned = new HashMap<>();

	private final Set<String> loading = new HashSet<>();

	private final LeavingEndpoints leaving;

	private int hosts = 1;

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
	 * Takes the services of a new configuration.
	 * @param rules the services
	 */
	public synchronized void services(Collection<ServiceRule> rules) {
		this.services.clear();
		rules.forEach((rule) -> this.services.put(rule.name(), rule));
	}

	/**
	 * Takes the number of hosts that share the rate of cold endpoints.
	 * @param count the number of live hosts, this one included
	 */
	public synchronized void hosts(int count) {
		this.hosts = Math.max(1, count);
	}

	/**
	 * Takes an entry of the directory. A later start of the same endpoint begins anew.
	 * @param entry the entry
	 */
	public synchronized void put(EndpointEntry entry) {
		Endpoint known = this.endpoints.get(entry.id());
		long now = this.clock.millis();
		if (known == null || known.entry.bornMillis() != entry.bornMillis()
				|| !known.entry.address().equals(entry.address())) {
			Endpoint fresh = new Endpoint(entry);
			fresh.coldUntil = now + entry.coldMillis();
			fresh.versions.putAll(entry.versions());
			if (known != null) {
				fresh.running = known.running;
			}
			this.endpoints.put(entry.id(), fresh);
			return;
		}
		known.entry = entry;
		known.coldUntil = now + entry.coldMillis();
		entry.versions().forEach((model, version) -> known.versions.merge(model, version, Math::max));
	}

	/**
	 * Removes an endpoint.
	 * @param id the endpoint
	 */
	public synchronized void remove(String id) {
		this.endpoints.remove(id);
	}

	/**
	 * Takes the failure domains that get no work.
	 * @param domains the domains that are taken out
	 */
	public synchronized void closedDomains(Set<String> domains) {
		this.closedDomains.clear();
		this.closedDomains.addAll(domains);
	}

	/**
	 * Takes how many requests a peer runs at each endpoint.
	 * @param host the peer
	 * @param running the number at each endpoint
	 */
	public synchronized void peerLoad(String host, Map<String, Integer> running) {
		this.peers.put(host, new PeerLoad(Map.copyOf(running), this.clock.millis()));
	}

	/**
	 * Returns how many requests this host runs at each endpoint.
	 * @return the endpoints with requests
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
	 * Takes a weight version that an endpoint itself told of.
	 * @param id the endpoint
	 * @param model the model
	 * @param version the version
	 */
	public synchronized void version(String id, String model, long version) {
		Endpoint endpoint = this.endpoints.get(id);
		if (endpoint != null) {
			endpoint.versions.merge(model, version, Math::max);
		}
	}

	/**
	 * Takes what an answer of an endpoint said of its leaving. Whatever the directory
	 * says, it gets no further request until it starts anew.
	 * @param id the endpoint
	 * @param bornMillis the start of the endpoint that answered, in milliseconds since
	 * the epoch
	 * @param says whether it said that it leaves
	 */
	public synchronized void heard(String id, long bornMillis, boolean says) {
		if (says) {
			this.leaving.add(id, bornMillis, true);
		}
	}

	/**
	 * Takes the endpoints that told another host that they leave.
	 * @param starts the start of each one, in milliseconds since the epoch
	 */
	public synchronized void leaving(Map<String, Long> starts) {
		starts.forEach((id, bornMillis) -> this.leaving.add(id, bornMillis, false));
	}

	/**
	 * Returns the endpoints that told this host lately that they leave.
	 * @return the start of each one, in milliseconds since the epoch
	 */
	public synchronized Map<String, Long> leaving() {
		return this.leaving.shared();
	}

	/**
	 * Chooses an endpoint and counts the request there until {@link #release}.
	 * @param demand what the request needs
	 * @return the endpoint, or null where none may take the request now
	 */
	public synchronized @Nullable Grant acquire(EndpointDemand demand) {
		long now = this.clock.millis();
		double bestScore = Double.MAX_VALUE;
		Endpoint best = null;
		for (Endpoint endpoint : this.endpoints.values()) {
			if (!isOpen(endpoint, demand, now)) {
				continue;
			}
			double score = score(endpoint, demand, now);
			if (score < bestScore) {
				bestScore = score;
				best = endpoint;
			}
		}
		if (best == null) {
			return null;
		}
		best.running++;
		if (now < best.coldUntil) {
			best.nextColdAt = now + coldIntervalMillis(best);
		}
		return new Grant(best.entry.id(), best.entry.address(), best.entry.domain(), best.entry.bornMillis());
	}

	/**
	 * Counts the endpoints that could ever take a request, whatever their load.
	 * @param demand what the request needs
	 * @return the number of endpoints that are neither leaving nor in a closed domain
	 */
	public synchronized int usable(EndpointDemand demand) {
		return (int) this.endpoints.values().stream().filter((endpoint) -> isUsable(endpoint, demand)).count();
	}

	/**
	 * Counts the endpoints that could take a request now.
	 * @param demand what the request needs
	 * @return the number of endpoints
	 */
	public synchronized int open(EndpointDemand demand) {
		long now = this.clock.millis();
		return (int) this.endpoints.values().stream().filter((endpoint) -> isOpen(endpoint, demand, now)).count();
	}

	/**
	 * Tells whether an endpoint is known at an address.
	 * @param address {@code ip:port}
	 * @return whether the table has it
	 */
	public synchronized boolean isAt(String address) {
		return this.endpoints.values().stream().anyMatch((endpoint) -> endpoint.entry.address().equals(address));
	}

	/**
	 * Ends the count of a request.
	 * @param grant the grant of the request
	 * @param outcome how it went
	 */
	public synchronized void release(Grant grant, Outcome outcome) {
		Endpoint endpoint = this.endpoints.get(grant.id());
		if (endpoint == null) {
			return;
		}
		endpoint.running = Math.max(0, endpoint.running - 1);
		long now = this.clock.millis();
		if (outcome == Outcome.SERVED) {
			endpoint.failures = 0;
			endpoint.slow = 0;
		}
		else if (outcome == Outcome.REFUSED) {
			endpoint.pausedUntil = Math.max(endpoint.pausedUntil, now + REFUSED_PAUSE_MILLIS);
		}
		else if (outcome == Outcome.FAILED || (outcome == Outcome.OUT_OF_TIME && ++endpoint.slow >= SLOW_IN_A_ROW)) {
			long pause = PAUSE_BASE_MILLIS << Math.min(endpoint.failures, MAX_DOUBLINGS);
			endpoint.pausedUntil = now + Math.min(PAUSE_CAP_MILLIS, pause);
			endpoint.failures++;
		}
	}

	/**
	 * Takes the pace at which an endpoint works.
	 * @param id the endpoint
	 * @param millisPerUnit time for a unit of work, in milliseconds; comparable between
	 * the endpoints of a service
	 */
	public synchronized void pace(String id, double millisPerUnit) {
		Endpoint endpoint = this.endpoints.get(id);
		if (endpoint != null) {
			endpoint.pace = (endpoint.pace == 0) ? millisPerUnit
					: endpoint.pace + PACE_WEIGHT * (millisPerUnit - endpoint.pace);
		}
	}

	/**
	 * Returns the services.
	 * @return the rules of all services
	 */
	public synchronized List<ServiceRule> serviceRules() {
		return List.copyOf(this.services.values());
	}

	/**
	 * Returns the failure domains that get no work.
	 * @return the domains that are taken out
	 */
	public synchronized Set<String> closedDomains() {
		return Set.copyOf(this.closedDomains);
	}

	/**
	 * Returns the slots of an endpoint of a service.
	 * @param service the service
	 * @return the fewest slots that one of its endpoints has; 0 where there is none
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
	 * Returns the models that endpoints hold.
	 * @return the models
	 */
	public synchronized Set<String> models() {
		Set<String> models = new TreeSet<>();
		this.endpoints.values().forEach((endpoint) -> models.addAll(endpoint.versions.keySet()));
		return models;
	}

	/**
	 * Takes the endpoints that load weights, which start no request until they are done.
	 * @param ids the endpoints
	 */
	public synchronized void loading(Set<String> ids) {
		this.loading.clear();
		this.loading.addAll(ids);
	}

	/**
	 * Takes the model that each endpoint loads the versions of. Requests for other models
	 * go there only where their own endpoints are busier by far.
	 * @param models the model by endpoint
	 */
	public synchronized void assigned(Map<String, String> models) {
		this.assigned.clear();
		this.assigned.putAll(models);
	}

	/**
	 * Tells whether a run should move: its endpoint works much slower than others do, and
	 * one of those has a free slot.
	 * @param id the endpoint of the run
	 * @param demand what the run needs
	 * @param ratio the factor by which the other endpoint must be faster
	 * @return whether to break the run off and resume it elsewhere
	 */
	public synchronized boolean isWorthMoving(String id, EndpointDemand demand, double ratio) {
		Endpoint present = this.endpoints.get(id);
		if (present == null || present.pace == 0) {
			return false;
		}
		long now = this.clock.millis();
		return this.endpoints.values()
			.stream()
			.anyMatch((endpoint) -> endpoint != present && endpoint.pace > 0 && endpoint.pace * ratio < present.pace
					&& isOpen(endpoint, demand, now) && now >= endpoint.coldUntil);
	}

	/**
	 * Returns the endpoints that hold a model.
	 * @param model the model
	 * @return the endpoints with the version that each one holds
	 */
	public synchronized List<ModelHolder> holders(String model) {
		long now = this.clock.millis();
		List<ModelHolder> holders = new ArrayList<>();
		for (Endpoint endpoint : this.endpoints.values()) {
			Long version = endpoint.versions.get(model);
			if (version != null && !isLeaving(endpoint)) {
				holders.add(new ModelHolder(endpoint.entry.id(), endpoint.entry.address(), endpoint.entry.domain(),
						endpoint.entry.bornMillis(), version, Map.copyOf(endpoint.versions),
						(int) load(endpoint, now)));
			}
		}
		return holders;
	}

	/**
	 * Counts the endpoints of a service in each failure domain.
	 * @param service the service
	 * @return the number of endpoints that stay, by domain
	 */
	public synchronized Map<String, Integer> countByDomain(String service) {
		Map<String, Integer> counts = new HashMap<>();
		this.endpoints.values()
			.stream()
			.filter((endpoint) -> endpoint.entry.service().equals(service) && !isLeaving(endpoint))
			.forEach((endpoint) -> counts.merge(endpoint.entry.domain(), 1, Integer::sum));
		return counts;
	}

	private boolean isLeaving(Endpoint endpoint) {
		return endpoint.entry.leaving() || this.leaving.contains(endpoint.entry.id(), endpoint.entry.bornMillis());
	}

	private boolean isUsable(Endpoint endpoint, EndpointDemand demand) {
		EndpointEntry entry = endpoint.entry;
		if (!entry.service().equals(demand.service()) || isLeaving(endpoint)
				|| this.closedDomains.contains(entry.domain())) {
			return false;
		}
		return demand.model() == null
				|| endpoint.versions.getOrDefault(demand.model(), demand.minVersion()) >= demand.minVersion();
	}

	private boolean isOpen(Endpoint endpoint, EndpointDemand demand, long now) {
		if (!isUsable(endpoint, demand) || now < endpoint.pausedUntil || this.loading.contains(endpoint.entry.id())
				|| demand.excluded().contains(endpoint.entry.id())) {
			return false;
		}
		if (now < endpoint.coldUntil && now < endpoint.nextColdAt) {
			return false;
		}
		double limit = endpoint.entry.slots() * (demand.slotsOnly() ? 1.0 : 1.0 + QUEUE_SHARE);
		return load(endpoint, now) < limit;
	}

	private double score(Endpoint endpoint, EndpointDemand demand, long now) {
		double slots = endpoint.entry.slots();
		double score = (load(endpoint, now) + 1) / slots;
		double typical = typicalPace(endpoint.entry.service());
		if (endpoint.pace > 0 && typical > 0) {
			score *= Math.max(1.0, endpoint.pace / typical);
		}
		String model = this.assigned.get(endpoint.entry.id());
		if (model != null && demand.model() != null && !model.equals(demand.model())) {
			score += OTHER_MODEL_LOAD;
		}
		if (demand.affinity() != 0) {
			long mixed = demand.affinity() * 31 + endpoint.entry.id().hashCode();
			mixed ^= mixed >>> 29;
			mixed *= 0xBF58476D1CE4E5B9L;
			mixed ^= mixed >>> 32;
			score -= AFFINITY_SLOTS / slots * ((mixed & 0xFFFF) / 65536.0);
		}
		return score;
	}

	// The lowest mean pace of a service, which its sound endpoints come near.
	private double typicalPace(String service) {
		double lowest = 0;
		for (Endpoint endpoint : this.endpoints.values()) {
			if (endpoint.pace > 0 && endpoint.entry.service().equals(service)) {
				lowest = (lowest == 0) ? endpoint.pace : Math.min(lowest, endpoint.pace);
			}
		}
		return lowest;
	}

	private double load(Endpoint endpoint, long now) {
		int load = endpoint.running;
		for (PeerLoad peer : this.peers.values()) {
			if (now - peer.atMillis() < PEER_LOAD_MILLIS) {
				load += peer.running().getOrDefault(endpoint.entry.id(), 0);
			}
		}
		return load;
	}

	private long coldIntervalMillis(Endpoint endpoint) {
		ServiceRule rule = this.services.get(endpoint.entry.service());
		if (rule == null || rule.coldPerSecond() <= 0) {
			return 0;
		}
		return (long) Math.ceil(1_000.0 * this.hosts / rule.coldPerSecond());
	}

	/**
	 * How a request at an endpoint went.
	 */
	public enum Outcome {

		/** The endpoint answered. */
		SERVED,

		/** The endpoint refused the request without running it. */
		REFUSED,

		/** The endpoint could not be reached, or broke off. */
		FAILED,

		/** The time of the request ended before an answer came. */
		OUT_OF_TIME,

		/** This host broke off. */
		ABANDONED

	}

	/**
	 * An endpoint that was chosen for a request.
	 *
	 * @param id the endpoint
	 * @param address {@code ip:port}
	 * @param domain its failure domain
	 * @param bornMillis its start, in milliseconds since the epoch
	 */
	public record Grant(String id, String address, String domain, long bornMillis) {
	}

	/**
	 * An endpoint that holds a model.
	 *
	 * @param id the endpoint
	 * @param address {@code ip:port}
	 * @param domain its failure domain
	 * @param bornMillis its start, in milliseconds since the epoch
	 * @param version the model's weight version there
	 * @param versions the weight versions of all its models
	 * @param running the requests that it is known to run
	 */
	public record ModelHolder(String id, String address, String domain, long bornMillis, long version,
			Map<String, Long> versions, int running) {
	}

	private record PeerLoad(Map<String, Integer> running, long atMillis) {
	}

	private static final class Endpoint {

		private EndpointEntry entry;

		private final Map<String, Long> versions = new HashMap<>();

		private int running;

		private int failures;

		private int slow;

		private long pausedUntil;

		private long coldUntil;

		private long nextColdAt;

		private double pace;

		private Endpoint(EndpointEntry entry) {
			this.entry = entry;
		}

	}

}
