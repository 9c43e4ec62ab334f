package org.bamboorelay.core.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.random.RandomGenerator;

import org.bamboorelay.core.version.HostId;
import org.jspecify.annotations.Nullable;

/**
 * Picks the owner to ask for a credit: this host where its endpoints have room, then an
 * owner in this failure domain, then one in another. Among owners the one that a prefix
 * hashes to is preferred while it has its share of the free credits; otherwise the better
 * of two drawn at random.
 * <p>
 * Thread-safe where its random generator is.
 */
public final class OwnerSelection {

	private final RandomGenerator random;

	private OwnerSelection(RandomGenerator random) {
		this.random = random;
	}

	/**
	 * Creates a selection.
	 * @param random source of randomness
	 * @return the selection
	 */
	public static OwnerSelection of(RandomGenerator random) {
		return new OwnerSelection(Objects.requireNonNull(random, "random"));
	}

	/**
	 * Picks an owner.
	 * @param owners the owners with their free credits
	 * @param prefixHash hash of the prompt's prefix, salted by workspace; 0 for none
	 * @return the owner, or null where none has a free credit
	 */
	public @Nullable HostId choose(List<Owner> owners, long prefixHash) {
		List<Owner> near = new ArrayList<>();
		List<Owner> far = new ArrayList<>();
		for (Owner owner : owners) {
			if (owner.free() <= 0) {
				continue;
			}
			if (owner.self()) {
				return owner.host();
			}
			(owner.sameDomain() ? near : far).add(owner);
		}
		List<Owner> choice = near.isEmpty() ? far : near;
		return choice.isEmpty() ? null : choose(prefixHash, choice);
	}

	private HostId choose(long prefixHash, List<Owner> choice) {
		if (prefixHash != 0) {
			long free = 0;
			for (Owner owner : choice) {
				free += owner.free();
			}
			Owner home = home(prefixHash, choice);
			if (2L * home.free() * choice.size() >= free) {
				return home.host();
			}
		}
		Owner one = choice.get(this.random.nextInt(choice.size()));
		Owner two = choice.get(this.random.nextInt(choice.size()));
		return (two.free() > one.free()) ? two.host() : one.host();
	}

	private static Owner home(long prefixHash, List<Owner> choice) {
		Owner best = choice.get(0);
		int bestScore = Integer.MIN_VALUE;
		for (Owner owner : choice) {
			int score = RendezvousHash.score(prefixHash, owner.host());
			if (score > bestScore) {
				best = owner;
				bestScore = score;
			}
		}
		return best;
	}

	/**
	 * What is known of an owner.
	 *
	 * @param host the owner
	 * @param self whether it is this host
	 * @param sameDomain whether it is in this host's failure domain
	 * @param free its free credits, as far as known
	 */
	public record Owner(HostId host, boolean self, boolean sameDomain, int free) {
	}

}
