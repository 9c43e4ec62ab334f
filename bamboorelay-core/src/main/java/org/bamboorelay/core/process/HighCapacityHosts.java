package org.bamboorelay.core.process;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Selects the hosts that do work for the whole deployment, such as running submissions
 * and relaying statuses. Hosts with a fraction of the others' processor capacity would
 * fall behind.
 * <p>
 * Stateless and thread-safe.
 */
public final class HighCapacityHosts {

	/** Fraction of the largest processor capacity that a host must have. */
	private static final double MIN_CAPACITY_RATIO = 0.5;

	private HighCapacityHosts() {
	}

	/**
	 * Selects the hosts with high capacity in a deployment.
	 * @param processorCores the processor capacity of each host, in cores; 0 if unknown
	 * @return the hosts with at least half of the largest capacity; not empty if there is
	 * at least one host
	 */
	public static Set<String> of(Map<String, Double> processorCores) {
		double largestCores = processorCores.values().stream().mapToDouble(Double::doubleValue).max().orElse(0);
		Set<String> selected = new HashSet<>();
		processorCores.forEach((host, cores) -> {
			if (cores >= MIN_CAPACITY_RATIO * largestCores) {
				selected.add(host);
			}
		});
		return selected;
	}

	/**
	 * Selects the hosts with high capacity in each failure domain.
	 * @param processorCores the processor capacity of each host, in cores; 0 if unknown
	 * @param domains the failure domain of each host
	 * @return the failure domain of each selected host; each domain has at least one
	 */
	public static Map<String, String> inEachDomain(Map<String, Double> processorCores, Map<String, String> domains) {
		Map<String, Map<String, Double>> byDomain = new HashMap<>();
		domains.forEach((host, domain) -> byDomain.computeIfAbsent(domain, (unused) -> new HashMap<>())
			.put(host, processorCores.getOrDefault(host, 0.0)));
		Map<String, String> selectedDomains = new HashMap<>();
		byDomain.forEach((domain, hosts) -> of(hosts).forEach((host) -> selectedDomains.put(host, domain)));
		return selectedDomains;
	}

}
