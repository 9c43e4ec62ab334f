package org.bamboorelay.core.version;

import java.util.HashSet;
import java.util.Objects;
import java.util.Set;

/**
 * One accepted version of the configuration that operators maintain.
 * <p>
 * Immutable and thread-safe.
 *
 * @param version the version, incremented by each accepted change
 * @param inventory the failure domains, hosts, services and workspaces
 * @param rules priorities, limits and policies
 * @param keys the granted and withdrawn API keys
 * @param domainsOut the failure domains that operators took out of service
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
	 * Returns whether a failure domain accepts new requests.
	 * @param domain the failure domain
	 * @return false if an operator took it out of service
	 */
	public boolean isInService(FailureDomain domain) {
		return !this.domainsOut.contains(domain);
	}

	/**
	 * Returns the next version, with the keys replaced.
	 * @param newKeys the keys
	 * @return the next version
	 */
	public Configuration withKeys(KeyTable newKeys) {
		return new Configuration(this.version + 1, this.inventory, this.rules, newKeys, this.domainsOut);
	}

	/**
	 * Returns the next version, with the inventory and the rules replaced.
	 * @param newInventory the new inventory
	 * @param newRules the new rules
	 * @return the next version
	 */
	public Configuration withInventoryAndRules(Inventory newInventory, Rules newRules) {
		return new Configuration(this.version + 1, newInventory, newRules, this.keys, this.domainsOut);
	}

	/**
	 * Returns the next version, with a failure domain put into or out of service.
	 * @param domain the failure domain
	 * @param inService whether it accepts new requests
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
