package org.bamboorelay.core.process;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Chooses the hosts that take work for the whole deployment: running submissions and
 * relaying statuses. Hosts with a fraction of the others' processor would do it late.
 * <p>
 * Stateless and thread-safe.
 */
public final class StrongHosts {

	/** Share of the largest processor that a host must have. */
	private static final double MIN_SHARE = 0.5;

	private StrongHosts() {
	}

	/**
	 * Chooses the strong hosts of a deployment.
	 * @param processors the processor of each host, in cores; 0 where it is not known
	 * @return the hosts with at least half of the largest processor; never empty where
	 * there is a host
	 */
	public static Set<String> of(Map<String, Double> processors) {
		double largest = processors.values().stream().mapToDouble(Double::doubleValue).max().orElse(0);
		Set<String> strong = new HashSet<>();
		processors.forEach((host, processor) -> {
			if (processor >= MIN_SHARE * largest) {
				strong.add(host);
			}
		});
		return strong;
	}

	/**
	 * Chooses the strong hosts of each failure domain.
	 * @param processors the processor of each host, in cores; 0 where it is not known
	 * @param domains the failure domain of each host
	 * @return the domains of the chosen hosts; each domain has one at least
	 */
	public static Map<String, String> inEachDomain(Map<String, Double> processors, Map<String, String> domains) {
		Map<String, Map<String, Double>> byDomain = new HashMap<>();
		domains.forEach((host, domain) -> byDomain.computeIfAbsent(domain, (unused) -> new HashMap<>())
			.put(host, processors.getOrDefault(host, 0.0)));
		Map<String, String> chosen = new HashMap<>();
		byDomain.forEach((domain, hosts) -> of(hosts).forEach((host) -> chosen.put(host, domain)));
		return chosen;
	}

}
