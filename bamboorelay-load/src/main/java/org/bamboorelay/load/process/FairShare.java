package org.bamboorelay.load.process;

import java.util.HashMap;
import java.util.Map;

/**
 * Weighted max-min fair shares: what is left by those who want less than their share goes
 * to the others by weight.
 * <p>
 * Stateless and thread-safe.
 */
final class FairShare {

	private FairShare() {
	}

	/**
	 * Divides a capacity.
	 * @param capacity what there is
	 * @param demands what each asks for
	 * @param weights weight of each, positive
	 * @return the share of each, at most its demand
	 */
	static Map<String, Double> of(double capacity, Map<String, Double> demands, Map<String, Integer> weights) {
		Map<String, Double> shares = new HashMap<>();
		Map<String, Double> open = new HashMap<>(demands);
		double left = capacity;
		while (!open.isEmpty()) {
			double weight = open.keySet().stream().mapToInt((name) -> weights.getOrDefault(name, 1)).sum();
			double perWeight = left / weight;
			Map<String, Double> satisfied = new HashMap<>();
			open.forEach((name, demand) -> {
				if (demand <= perWeight * weights.getOrDefault(name, 1)) {
					satisfied.put(name, demand);
				}
			});
			if (satisfied.isEmpty()) {
				open.keySet().forEach((name) -> shares.put(name, perWeight * weights.getOrDefault(name, 1)));
				return shares;
			}
			shares.putAll(satisfied);
			for (Map.Entry<String, Double> entry : satisfied.entrySet()) {
				open.remove(entry.getKey());
				left -= entry.getValue();
			}
		}
		return shares;
	}

	/**
	 * Returns the smallest ratio of service to fair share.
	 * @param served what each got
	 * @param demands what each asked for
	 * @param weights weight of each
	 * @return the name and the ratio of the worst served; a ratio of 1 without demand
	 */
	static Worst worst(Map<String, Double> served, Map<String, Double> demands, Map<String, Integer> weights) {
		double capacity = served.values().stream().mapToDouble(Double::doubleValue).sum();
		Worst worst = new Worst("", 1);
		for (Map.Entry<String, Double> share : of(capacity, demands, weights).entrySet()) {
			double ratio = (share.getValue() > 0) ? served.getOrDefault(share.getKey(), 0.0) / share.getValue() : 1;
			if (worst.workspace().isEmpty() || ratio < worst.ratio()) {
				worst = new Worst(share.getKey(), ratio);
			}
		}
		return worst;
	}

	/**
	 * The worst-served workspace.
	 *
	 * @param workspace its name
	 * @param ratio its service, as a share of its fair share
	 */
	record Worst(String workspace, double ratio) {
	}

}
