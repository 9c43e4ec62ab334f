package org.bamboorelay.load.process;

import java.util.HashMap;
import java.util.Map;

/**
 * Weighted max-min fairness: capacity that a workspace does not demand is divided among
 * the others by weight.
 * <p>
 * Stateless and thread-safe.
 */
final class FairShare {

	private FairShare() {
	}

	/**
	 * Divides a capacity among workspaces.
	 * @param capacity total units to divide
	 * @param demands demanded units by workspace
	 * @param weights positive weights by workspace, 1 if absent
	 * @return the share of each workspace, at most its demand
	 */
	static Map<String, Double> of(double capacity, Map<String, Double> demands, Map<String, Integer> weights) {
		Map<String, Double> shares = new HashMap<>();
		Map<String, Double> unsatisfied = new HashMap<>(demands);
		double remaining = capacity;
		while (!unsatisfied.isEmpty()) {
			double totalWeight = unsatisfied.keySet().stream().mapToInt((name) -> weights.getOrDefault(name, 1)).sum();
			double perWeight = remaining / totalWeight;
			Map<String, Double> satisfied = new HashMap<>();
			unsatisfied.forEach((name, demand) -> {
				if (demand <= perWeight * weights.getOrDefault(name, 1)) {
					satisfied.put(name, demand);
				}
			});
			if (satisfied.isEmpty()) {
				unsatisfied.keySet().forEach((name) -> shares.put(name, perWeight * weights.getOrDefault(name, 1)));
				return shares;
			}
			shares.putAll(satisfied);
			for (Map.Entry<String, Double> entry : satisfied.entrySet()) {
				unsatisfied.remove(entry.getKey());
				remaining -= entry.getValue();
			}
		}
		return shares;
	}

	/**
	 * Finds the workspace with the smallest ratio of served units to fair share.
	 * @param served served units by workspace
	 * @param demands demanded units by workspace
	 * @param weights positive weights by workspace, 1 if absent
	 * @return the workspace and its ratio; a ratio of 1 if there is no demand
	 */
	static WorstServed worst(Map<String, Double> served, Map<String, Double> demands, Map<String, Integer> weights) {
		double capacity = served.values().stream().mapToDouble(Double::doubleValue).sum();
		WorstServed worst = new WorstServed("", 1);
		for (Map.Entry<String, Double> share : of(capacity, demands, weights).entrySet()) {
			double ratio = (share.getValue() > 0) ? served.getOrDefault(share.getKey(), 0.0) / share.getValue() : 1;
			if (worst.workspace().isEmpty() || ratio < worst.ratio()) {
				worst = new WorstServed(share.getKey(), ratio);
			}
		}
		return worst;
	}

	/**
	 * The workspace with the smallest ratio of served units to fair share.
	 *
	 * @param workspace name of the workspace, empty if there is none
	 * @param ratio served units divided by the fair share
	 */
	record WorstServed(String workspace, double ratio) {
	}

}
