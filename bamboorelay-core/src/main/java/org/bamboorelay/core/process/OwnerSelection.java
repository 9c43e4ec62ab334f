package org.bamboorelay.core.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.random.RandomGenerator;

import org.bamboorelay.core.version.HostId;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the owner from which to request a credit: this host if its own endpoints have
 * free credits, otherwise an owner in the same failure domain, otherwise one in another
 * domain. Among several owners, the one with the highest rendezvous hash for the prefix
 * is preferred while it has at least half of the mean number of free credits; otherwise
 * the better of two random owners is chosen (power of two choices).
 * <p>
 * Thread-safe if its random generator is.
 */
public final class OwnerSelection {

	private final RandomGenerator random;

	private OwnerSelection(RandomGenerator random) {
		this.random = random;
	}

	/**
	 * Creates a selection.
	 * @param random the source of randomness
	 * @return the selection
	 */
	public static OwnerSelection of(RandomGenerator random) {
		return new OwnerSelection(Objects.requireNonNull(random, "random"));
	}

	/**
	 * Chooses an owner.
	 * @param owners the owners with their free credits
	 * @param prefixHash the hash of the prompt's prefix, salted by workspace; 0 for none
	 * @return the owner, or null if none has a free credit
	 */
	public @Nullable HostId choose(List<Owner> owners, long prefixHash) {
		List<Owner> inDomain = new ArrayList<>();
		List<Owner> inOtherDomains = new ArrayList<>();
		for (Owner owner : owners) {
			if (owner.free() <= 0) {
				continue;
			}
			if (owner.self()) {
				return owner.host();
			}
			(owner.sameDomain() ? inDomain : inOtherDomains).add(owner);
		}
		List<Owner> candidates = inDomain.isEmpty() ? inOtherDomains : inDomain;
		return candidates.isEmpty() ? null : choose(prefixHash, candidates);
	}

	private HostId choose(long prefixHash, List<Owner> candidates) {
		if (prefixHash != 0) {
			long free = 0;
			for (Owner owner : candidates) {
				free += owner.free();
			}
			Owner preferred = preferred(prefixHash, candidates);
			if (2L * preferred.free() * candidates.size() >= free) {
				return preferred.host();
			}
		}
		Owner one = candidates.get(this.random.nextInt(candidates.size()));
		Owner two = candidates.get(this.random.nextInt(candidates.size()));
		return (two.free() > one.free()) ? two.host() : one.host();
	}

	private static Owner preferred(long prefixHash, List<Owner> candidates) {
		Owner best = candidates.get(0);
		int bestScore = Integer.MIN_VALUE;
		for (Owner owner : candidates) {
			int score = RendezvousHash.score(prefixHash, owner.host());
			if (score > bestScore) {
				best = owner;
				bestScore = score;
			}
		}
		return best;
	}

	/**
	 * The known state of an owner.
	 *
	 * @param host the owner
	 * @param self whether it is this host
	 * @param sameDomain whether it is in this host's failure domain
	 * @param free the last known number of its free credits
	 */
	public record Owner(HostId host, boolean self, boolean sameDomain, int free) {
	}

}
