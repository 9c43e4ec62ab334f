package org.bamboorelay.core.version;

import java.util.HashSet;
import java.util.Objects;
import java.util.Set;

/**
 * One accepted version of everything that operators decide.
 * <p>
 * Immutable and thread-safe.
 *
 * @param version the version, which rises by one with each accepted change
 * @param inventory what there is
 * @param rules what operators ask for
 * @param keys the keys
 * @param domainsOut the failure domains that operators took out
 */
public record Configuration(long version, Inventory inventory, Rules rules, KeyTable keys,
		Set<FailureDomain> domainsOut) {

	public Configuration {
		Objects.requireNonNull(inventory, "inventory");
		Objects.requireNonNull(rules, "rules");
		Objects.requireNonNull(keys, "keys");
		domainsOut = Set.copyOf(domainsOut);
		if (version <= 0) {
			throw new IllegalArgumentException("version must be positive: " + version);
		}
	}

	/**
	 * Tells whether a failure domain takes new work.
	 * @param domain the failure domain
	 * @return false where an operator took it out
	 */
	public boolean isInService(FailureDomain domain) {
		return !this.domainsOut.contains(domain);
	}

	/**
	 * Returns the next version with other keys.
	 * @param newKeys the keys
	 * @return the next version
	 */
	public Configuration withKeys(KeyTable newKeys) {
		return new Configuration(this.version + 1, this.inventory, this.rules, newKeys, this.domainsOut);
	}

	/**
	 * Returns the next version with another inventory and other rules.
	 * @param newInventory the inventory
	 * @param newRules the rules
	 * @return the next version
	 */
	public Configuration withInventoryAndRules(Inventory newInventory, Rules newRules) {
		return new Configuration(this.version + 1, newInventory, newRules, this.keys, this.domainsOut);
	}

	/**
	 * Returns the next version in which a failure domain is in or out of service.
	 * @param domain the failure domain
	 * @param inService whether it takes new work
	 * @return the next version
	 */
	public Configuration withDomainInService(FailureDomain domain, boolean inService) {
		Set<FailureDomain> out = new HashSet<>(this.domainsOut);
		if (inService) {
			out.remove(domain);
		}
		else {
			out.add(domain);
		}
		return new Configuration(this.version + 1, this.inventory, this.rules, this.keys, out);
	}

}
