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
 * Chooses the endpoint for a request: the endpoint that caches the prefix of the prompt
 * if its load is within bounds, otherwise the better of two random endpoints (power of
 * two choices). The load is the work that this class has recorded as sent and not yet
 * ended, because load reports of endpoints lag.
 * <p>
 * Endpoints that can accept requests are kept in arrays, so that the cost of a choice
 * does not depend on the number of endpoints.
 * <p>
 * Not thread-safe; guarded by the shard of the service.
 */
public final class EndpointSelection {

	/**
	 * Maximum load of an endpoint that is chosen for its prefix, relative to the mean.
	 */
	private static final double MAX_RELATIVE_LOAD = 1.25;

	private static final double LATENCY_EWMA_WEIGHT = 0.2;

	private static final int PREFIXES_PER_ENDPOINT = 64;

	private static final int MIN_PREFIXES = 1_024;

	private static final int MAX_PREFIXES = 65_536;

	private final Map<EndpointId, Candidate> candidates = new HashMap<>();

	private final CandidateSet steadyInteractive = new CandidateSet(0);

	private final CandidateSet steadyRollout = new CandidateSet(1);

	private final CandidateSet cheap = new CandidateSet(2);

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
	 * @param random the source of randomness
	 * @return the selection
	 */
	public static EndpointSelection of(RandomGenerator random) {
		return new EndpointSelection(Objects.requireNonNull(random, "random"));
	}

	/**
	 * Switches the policy on, or off in favour of its baseline.
	 * @param enabled false for the baseline {@code round-robin}
	 */
	public void affinity(boolean enabled) {
		this.affinity = enabled;
	}

	/**
	 * Adds an endpoint, which is initially unavailable.
	 * @param endpoint the endpoint
	 * @param isCheap whether it serves only repeatable requests
	 */
	public void add(EndpointId endpoint, boolean isCheap) {
		this.candidates.putIfAbsent(endpoint, new Candidate(endpoint, isCheap));
	}

	/**
	 * Removes an endpoint. Its prefixes are no longer used.
	 * @param endpoint the endpoint
	 */
	public void remove(EndpointId endpoint) {
		Candidate candidate = this.candidates.remove(endpoint);
		if (candidate != null) {
			available(candidate, false, false);
			this.outstanding -= candidate.outstanding;
		}
	}

	/**
	 * Sets whether an endpoint can accept another request.
	 * @param endpoint the endpoint
	 * @param interactive whether it can accept an interactive request
	 * @param rollout whether it can accept a rollout sample
	 */
	public void available(EndpointId endpoint, boolean interactive, boolean rollout) {
		Candidate candidate = this.candidates.get(endpoint);
		if (candidate != null) {
			available(candidate, interactive, rollout);
		}
	}

	/**
	 * Chooses an available endpoint.
	 * @param query the request to be sent
	 * @return the endpoint, or null if none can accept the request
	 */
	public @Nullable EndpointId choose(Query query) {
		CandidateSet first = query.interactive() ? this.steadyInteractive : this.steadyRollout;
		CandidateSet second = null;
		if (query.repeatable()) {
			// Interactive requests prefer steady endpoints, rollout samples cheap ones.
			second = query.interactive() ? this.cheap : first;
			first = query.interactive() ? first : this.cheap;
		}
		Candidate chosen = this.affinity ? holder(query, first, second) : null;
		if (chosen == null) {
			chosen = choose(query, first);
		}
		if (chosen == null && second != null) {
			chosen = choose(query, second);
		}
		return (chosen != null) ? chosen.endpoint : null;
	}

	/**
	 * Records that a request is sent to an endpoint.
	 * @param endpoint the endpoint
	 * @param prefixHash the salted hash of its prefix; 0 for none
	 * @param tokens its expected cost, in tokens
	 * @param nowMillis the time, in milliseconds
	 */
	public void onSent(EndpointId endpoint, long prefixHash, long tokens, long nowMillis) {
		Candidate candidate = this.candidates.get(endpoint);
		if (candidate == null) {
			return;
		}
		candidate.outstanding += tokens;
		this.outstanding += tokens;
		if (prefixHash != 0) {
			this.prefixes.limit = Math.min(MAX_PREFIXES,
					Math.max(MIN_PREFIXES, PREFIXES_PER_ENDPOINT * this.candidates.size()));
			this.prefixes.put(prefixHash, new PrefixHolder(candidate, nowMillis));
		}
	}

	/**
	 * Records the end of a request.
	 * @param endpoint the endpoint
	 * @param tokens the cost given to {@link #onSent}
	 * @param latencyMillis the time to the first byte, in milliseconds; negative if there
	 * is no usable measurement
	 */
	public void onEnded(EndpointId endpoint, long tokens, long latencyMillis) {
		Candidate candidate = this.candidates.get(endpoint);
		if (candidate == null) {
			return;
		}
		long released = Math.min(tokens, candidate.outstanding);
		candidate.outstanding -= released;
		this.outstanding -= released;
		if (latencyMillis >= 0) {
			double before = (candidate.latency > 0) ? candidate.latency : this.meanLatency;
			candidate.latency = before + LATENCY_EWMA_WEIGHT * (Math.max(1, latencyMillis) - before);
			this.meanLatency += (candidate.latency - this.meanLatency) / Math.max(1, this.candidates.size());
		}
	}

	/**
	 * Updates the prefix map from a cache event. Events arrive late: an event that is
	 * older than the last recorded use of the prefix is ignored.
	 * @param endpoint the endpoint that sent the event
	 * @param prefixHash the salted hash of the prefix
	 * @param stored true if the prefix was stored, false if it was evicted
	 * @param atMillis the time of the event, in milliseconds of this host's clock
	 */
	public void onCacheEvent(EndpointId endpoint, long prefixHash, boolean stored, long atMillis) {
		Candidate candidate = this.candidates.get(endpoint);
		PrefixHolder holder = this.prefixes.get(prefixHash);
		if (candidate == null || (holder != null && holder.atMillis() >= atMillis)) {
			return;
		}
		if (stored) {
			this.prefixes.put(prefixHash, new PrefixHolder(candidate, atMillis));
		}
		else if (holder != null && holder.candidate() == candidate) {
			this.prefixes.remove(prefixHash);
		}
	}

	/**
	 * Records that cache events of an endpoint were lost or that its cache was cleared.
	 * Older entries of the prefix map are no longer used for it.
	 * @param endpoint the endpoint
	 * @param beforeMillis entries older than this time are not used, in milliseconds
	 */
	public void onCacheGap(EndpointId endpoint, long beforeMillis) {
		Candidate candidate = this.candidates.get(endpoint);
		if (candidate != null) {
			candidate.trustedSince = Math.max(candidate.trustedSince, beforeMillis);
		}
	}

	private @Nullable Candidate holder(Query query, CandidateSet first, @Nullable CandidateSet second) {
		if (query.prefixHash() == 0) {
			return null;
		}
		PrefixHolder holder = this.prefixes.get(query.prefixHash());
		if (holder == null) {
			return null;
		}
		Candidate candidate = holder.candidate();
		boolean isMember = first.contains(candidate) || (second != null && second.contains(candidate));
		if (!isMember || holder.atMillis() < candidate.trustedSince || query.excluded().contains(candidate.endpoint)) {
			return null;
		}
		long tokens = query.expectedTokens();
		double bound = Math.max(MAX_RELATIVE_LOAD * (this.outstanding + tokens) / this.candidates.size(), 2.0 * tokens);
		return (candidate.outstanding + tokens <= bound) ? candidate : null;
	}

	private @Nullable Candidate choose(Query query, CandidateSet set) {
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

	private static @Nullable Candidate firstAllowed(Query query, CandidateSet set, int start) {
		int size = set.members.size();
		// If any member is not excluded, one of the next excluded.size() + 1 members is
		// not.
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

	private void available(Candidate candidate, boolean interactive, boolean rollout) {
		this.steadyInteractive.set(candidate, !candidate.cheap && interactive);
		this.steadyRollout.set(candidate, !candidate.cheap && rollout);
		this.cheap.set(candidate, candidate.cheap && (interactive || rollout));
	}

	/**
	 * A request for which an endpoint is chosen.
	 *
	 * @param interactive whether the request is interactive
	 * @param repeatable whether a cheap endpoint can serve it
	 * @param prefixHash the hash of the prompt's prefix, salted by workspace; 0 for none
	 * @param expectedTokens the expected cost, in tokens
	 * @param excluded the endpoints that must not be chosen
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

		private final int[] positions = { -1, -1, -1 };

		private long outstanding;

		private double latency;

		private long trustedSince = Long.MIN_VALUE;

		private Candidate(EndpointId endpoint, boolean cheap) {
			this.endpoint = endpoint;
			this.cheap = cheap;
		}

	}

	private record PrefixHolder(Candidate candidate, long atMillis) {
	}

	private static final class CandidateSet {

		private final List<Candidate> members = new ArrayList<>();

		private final int id;

		private int cursor;

		private CandidateSet(int id) {
			this.id = id;
		}

		private boolean contains(Candidate candidate) {
			return candidate.positions[this.id] >= 0;
		}

		private void set(Candidate candidate, boolean isMember) {
			int position = candidate.positions[this.id];
			if (isMember && position < 0) {
				candidate.positions[this.id] = this.members.size();
				this.members.add(candidate);
			}
			else if (!isMember && position >= 0) {
				Candidate last = this.members.remove(this.members.size() - 1);
				if (last != candidate) {
					this.members.set(position, last);
					last.positions[this.id] = position;
				}
				candidate.positions[this.id] = -1;
			}
		}

	}

	private static final class PrefixMap extends LinkedHashMap<Long, PrefixHolder> {

		private int limit = MIN_PREFIXES;

		private PrefixMap() {
			super(16, 0.75f, true);
		}

		@Override
		protected boolean removeEldestEntry(Map.Entry<Long, PrefixHolder> eldest) {
			return size() > this.limit;
		}

	}

}
