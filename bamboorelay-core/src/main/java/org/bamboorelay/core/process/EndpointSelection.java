package org.bamboorelay.core.process;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.random.RandomGenerator;

import org.bamboorelay.core.version.EndpointId;
import org.jspecify.annotations.Nullable;

/**
 * Picks an endpoint for a request: the one that holds the prompt's prefix where its load
 * is bounded, otherwise the better of two drawn at random. The load is what was sent and
 * not yet answered, because load reports of endpoints lag.
 * <p>
 * Endpoints with room are kept in arrays, so that a choice costs the same for any number
 * of endpoints.
 * <p>
 * Not thread-safe; guarded by the shard of the service.
 */
public final class EndpointSelection {

	/** Most load of an endpoint that is picked for its prefix, relative to the mean. */
	private static final double LOAD_BOUND = 1.25;

	private static final double LATENCY_WEIGHT = 0.2;

	private static final int PREFIXES_PER_ENDPOINT = 64;

	private static final int MIN_PREFIXES = 1_024;

	private static final int MAX_PREFIXES = 65_536;

	private final Map<EndpointId, Candidate> candidates = new HashMap<>();

	private final OpenSet steadyInteractive = new OpenSet(0);

	private final OpenSet steadyRollout = new OpenSet(1);

	private final OpenSet cheap = new OpenSet(2);

	private final PrefixMap prefixes = new PrefixMap();

	private final RandomGenerator random;

	private boolean affinity = true;

	private long outstanding;

	private double meanLatency = 1;

	private EndpointSelection(RandomGenerator random) {
		this.random = random;
	}

	/**
	 * Creates a selection without endpoints.
	 * @param random source of randomness
	 * @return the selection
	 */
	public static EndpointSelection of(RandomGenerator random) {
		return new EndpointSelection(Objects.requireNonNull(random, "random"));
	}

	/**
	 * Switches between the policy and its baseline.
	 * @param on false for the baseline {@code round-robin}
	 */
	public void affinity(boolean on) {
		this.affinity = on;
	}

	/**
	 * Adds an endpoint, which has no room yet.
	 * @param endpoint the endpoint
	 * @param isCheap whether it serves repeatable requests only
	 */
	public void add(EndpointId endpoint, boolean isCheap) {
		this.candidates.putIfAbsent(endpoint, new Candidate(endpoint, isCheap));
	}

	/**
	 * Removes an endpoint and forgets its prefixes.
	 * @param endpoint the endpoint
	 */
	public void remove(EndpointId endpoint) {
		Candidate candidate = this.candidates.remove(endpoint);
		if (candidate != null) {
			room(candidate, false, false);
			this.outstanding -= candidate.outstanding;
		}
	}

	/**
	 * Notes whether an endpoint can take another request.
	 * @param endpoint the endpoint
	 * @param interactive whether it can take an interactive request
	 * @param rollout whether it can take a rollout sample
	 */
	public void room(EndpointId endpoint, boolean interactive, boolean rollout) {
		Candidate candidate = this.candidates.get(endpoint);
		if (candidate != null) {
			room(candidate, interactive, rollout);
		}
	}

	/**
	 * Picks an endpoint with room.
	 * @param query what is to be sent
	 * @return the endpoint, or null where none can take the request
	 */
	public @Nullable EndpointId choose(Query query) {
		OpenSet first = query.interactive() ? this.steadyInteractive : this.steadyRollout;
		OpenSet second = null;
		if (query.repeatable()) {
			// Interactive requests use cheap endpoints last, rollout samples first.
			second = query.interactive() ? this.cheap : first;
			first = query.interactive() ? first : this.cheap;
		}
		Candidate chosen = this.affinity ? home(query, first, second) : null;
		if (chosen == null) {
			chosen = choose(query, first);
		}
		if (chosen == null && second != null) {
			chosen = choose(query, second);
		}
		return (chosen != null) ? chosen.endpoint : null;
	}

	/**
	 * Notes that a request goes to an endpoint.
	 * @param endpoint the endpoint
	 * @param prefixHash salted hash of its prefix; 0 for none
	 * @param tokens its expected cost, in tokens
	 * @param nowMillis the time, in milliseconds
	 */
	public void sent(EndpointId endpoint, long prefixHash, long tokens, long nowMillis) {
		Candidate candidate = this.candidates.get(endpoint);
		if (candidate == null) {
			return;
		}
		candidate.outstanding += tokens;
		this.outstanding += tokens;
		if (prefixHash != 0) {
			this.prefixes.limit = Math.min(MAX_PREFIXES,
					Math.max(MIN_PREFIXES, PREFIXES_PER_ENDPOINT * this.candidates.size()));
			this.prefixes.put(prefixHash, new Home(candidate, nowMillis));
		}
	}

	/**
	 * Notes that a request ended.
	 * @param endpoint the endpoint
	 * @param tokens the cost given to {@link #sent}
	 * @param latencyMillis time to the first byte, in milliseconds; negative where there
	 * is none to learn from
	 */
	public void ended(EndpointId endpoint, long tokens, long latencyMillis) {
		Candidate candidate = this.candidates.get(endpoint);
		if (candidate == null) {
			return;
		}
		long known = Math.min(tokens, candidate.outstanding);
		candidate.outstanding -= known;
		this.outstanding -= known;
		if (latencyMillis >= 0) {
			double before = (candidate.latency > 0) ? candidate.latency : this.meanLatency;
			candidate.latency = before + LATENCY_WEIGHT * (Math.max(1, latencyMillis) - before);
			this.meanLatency += (candidate.latency - this.meanLatency) / Math.max(1, this.candidates.size());
		}
	}

	/**
	 * Corrects the prefix map by a cache event. Events are late: one that is older than
	 * our own last use of the prefix is ignored.
	 * @param endpoint the endpoint that sent the event
	 * @param prefixHash salted hash of the prefix
	 * @param stored true where the prefix was stored, false where it was evicted
	 * @param atMillis the time of the event, in milliseconds of this host's clock
	 */
	public void cacheEvent(EndpointId endpoint, long prefixHash, boolean stored, long atMillis) {
		Candidate candidate = this.candidates.get(endpoint);
		Home home = this.prefixes.get(prefixHash);
		if (candidate == null || (home != null && home.atMillis() >= atMillis)) {
			return;
		}
		if (stored) {
			this.prefixes.put(prefixHash, new Home(candidate, atMillis));
		}
		else if (home != null && home.candidate() == candidate) {
			this.prefixes.remove(prefixHash);
		}
	}

	/**
	 * Notes that cache events of an endpoint were lost or its cache is gone: what is
	 * known of its cache from before is no longer used.
	 * @param endpoint the endpoint
	 * @param beforeMillis knowledge older than this is not used, in milliseconds
	 */
	public void cacheGap(EndpointId endpoint, long beforeMillis) {
		Candidate candidate = this.candidates.get(endpoint);
		if (candidate != null) {
			candidate.trustedSince = Math.max(candidate.trustedSince, beforeMillis);
		}
	}

	private @Nullable Candidate home(Query query, OpenSet first, @Nullable OpenSet second) {
		if (query.prefixHash() == 0) {
			return null;
		}
		Home home = this.prefixes.get(query.prefixHash());
		if (home == null) {
			return null;
		}
		Candidate candidate = home.candidate();
		boolean open = first.contains(candidate) || (second != null && second.contains(candidate));
		if (!open || home.atMillis() < candidate.trustedSince || query.excluded().contains(candidate.endpoint)) {
			return null;
		}
		long tokens = query.expectedTokens();
		double bound = Math.max(LOAD_BOUND * (this.outstanding + tokens) / this.candidates.size(), 2.0 * tokens);
		return (candidate.outstanding + tokens <= bound) ? candidate : null;
	}

	private @Nullable Candidate choose(Query query, OpenSet set) {
		int size = set.members.size();
		if (size == 0) {
			return null;
		}
		if (!this.affinity) {
			set.cursor = (set.cursor + 1) % size;
			return firstAllowed(query, set, set.cursor);
		}
		Candidate one = firstAllowed(query, set, this.random.nextInt(size));
		Candidate two = firstAllowed(query, set, this.random.nextInt(size));
		if (one == null || two == null) {
			return null;
		}
		return (score(two, query) < score(one, query)) ? two : one;
	}

	private static @Nullable Candidate firstAllowed(Query query, OpenSet set, int start) {
		int size = set.members.size();
		// One of the next excluded.size() + 1 members is not excluded, if any is not.
		int steps = Math.min(size, query.excluded().size() + 1);
		for (int i = 0; i < steps; i++) {
			Candidate candidate = set.members.get((start + i) % size);
			if (!query.excluded().contains(candidate.endpoint)) {
				return candidate;
			}
		}
		return null;
	}

	private double score(Candidate candidate, Query query) {
		double latency = (candidate.latency > 0) ? candidate.latency : this.meanLatency;
		return (candidate.outstanding + query.expectedTokens()) * latency;
	}

	private void room(Candidate candidate, boolean interactive, boolean rollout) {
		this.steadyInteractive.set(candidate, !candidate.cheap && interactive);
		this.steadyRollout.set(candidate, !candidate.cheap && rollout);
		this.cheap.set(candidate, candidate.cheap && (interactive || rollout));
	}

	/**
	 * A request that needs an endpoint.
	 *
	 * @param interactive whether the request is interactive
	 * @param repeatable whether a cheap endpoint can serve it
	 * @param prefixHash hash of the prompt's prefix, salted by workspace; 0 for none
	 * @param expectedTokens expected cost, in tokens
	 * @param excluded endpoints that must not be picked
	 */
	public record Query(boolean interactive, boolean repeatable, long prefixHash, long expectedTokens,
			Collection<EndpointId> excluded) {

		public Query {
			Objects.requireNonNull(excluded, "excluded");
			if (expectedTokens <= 0) {
				throw new IllegalArgumentException("expectedTokens must be positive: " + expectedTokens);
			}
		}

	}

	private static final class Candidate {

		private final EndpointId endpoint;

		private final boolean cheap;

		private final int[] places = { -1, -1, -1 };

		private long outstanding;

		private double latency;

		private long trustedSince = Long.MIN_VALUE;

		private Candidate(EndpointId endpoint, boolean cheap) {
			this.endpoint = endpoint;
			this.cheap = cheap;
		}

	}

	private record Home(Candidate candidate, long atMillis) {
	}

	private static final class OpenSet {

		private final List<Candidate> members = new ArrayList<>();

		private final int id;

		private int cursor;

		private OpenSet(int id) {
			this.id = id;
		}

		private boolean contains(Candidate candidate) {
			return candidate.places[this.id] >= 0;
		}

		private void set(Candidate candidate, boolean open) {
			int place = candidate.places[this.id];
			if (open && place < 0) {
				candidate.places[this.id] = this.members.size();
				this.members.add(candidate);
			}
			else if (!open && place >= 0) {
				Candidate last = this.members.remove(this.members.size() - 1);
				if (last != candidate) {
					this.members.set(place, last);
					last.places[this.id] = place;
				}
				candidate.places[this.id] = -1;
			}
		}

	}

	private static final class PrefixMap extends LinkedHashMap<Long, Home> {

		private int limit = MIN_PREFIXES;

		private PrefixMap() {
			super(16, 0.75f, true);
		}

		@Override
		protected boolean removeEldestEntry(Map.Entry<Long, Home> eldest) {
			return size() > this.limit;
		}

	}

}
