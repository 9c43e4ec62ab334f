package org.bamboorelay.load.process;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Checks of a run against what the stand-ins recorded. Each check returns the violations
 * it found; none means that it held.
 * <p>
 * Stateless and thread-safe.
 */
final class RunChecks {

	private RunChecks() {
	}

	/**
	 * Checks that the samples of finished steps were delivered once each.
	 * @param delivered ids of delivered samples for each finished step, in order
	 * @param expired withheld samples for each finished step
	 * @param expected samples of each finished step
	 * @return the violations
	 */
	static List<String> samples(Map<String, List<String>> delivered, Map<String, Integer> expired,
			Map<String, Integer> expected) {
		List<String> violations = new ArrayList<>();
		Set<String> seen = new HashSet<>();
		expected.forEach((step, count) -> {
			List<String> ids = delivered.getOrDefault(step, List.of());
			for (String id : ids) {
				if (!seen.add(id)) {
					violations.add("sample-twice: sample " + id + " of step " + step + " was delivered twice");
				}
			}
			int all = ids.size() + expired.getOrDefault(step, 0);
			if (all != count) {
				violations.add("sample-lost: step " + step + " has " + count + " samples, " + all
						+ " were delivered or marked expired");
			}
		});
		return violations;
	}

	/**
	 * Checks that each labelled version had been loaded by an engine.
	 * @param labels versions on delivered samples
	 * @param loaded versions that engines confirmed, besides version 0
	 * @return the violations
	 */
	static List<String> labels(Collection<String> labels, Set<String> loaded) {
		return labels.stream()
			.distinct()
			.filter((label) -> !label.endsWith("@0") && !loaded.contains(label))
			.map((label) -> "label-untrue: no engine ever loaded " + label)
			.toList();
	}

	/**
	 * Checks that calls that may not run twice did not.
	 * @param executions runs by call at each plain server
	 * @param repeatable prefixes of paths whose calls may run twice
	 * @return the violations
	 */
	static List<String> executions(List<Map<String, Integer>> executions, List<String> repeatable) {
		Map<String, Integer> sums = new HashMap<>();
		executions.forEach((server) -> server.forEach((call, runs) -> sums.merge(call, runs, Integer::sum)));
		List<String> violations = new ArrayList<>();
		sums.forEach((call, runs) -> {
			boolean safe = call.startsWith("GET ") || call.startsWith("HEAD ") || call.startsWith("OPTIONS ")
					|| repeatable.stream().anyMatch((prefix) -> call.contains(" " + prefix));
			if (!safe && runs > 1) {
				violations.add("run-twice: " + call + " ran " + runs + " times");
			}
		});
		return violations;
	}

	/**
	 * Checks that no endpoint saw a caller's key.
	 * @param records the record of each endpoint by its name
	 * @param keys the keys
	 * @return the violations
	 */
	static List<String> keys(Map<String, String> records, Collection<String> keys) {
		List<String> violations = new ArrayList<>();
		records.forEach((endpoint, record) -> {
			if (keys.stream().anyMatch(record::contains)) {
				violations.add("key-seen: the record of " + endpoint + " has a caller's key");
			}
		});
		return violations;
	}

	/**
	 * Checks that no receiver took an order of an older holder after one of a newer.
	 * @param orders orders that were accepted, in the order of their arrival
	 * @return the violations
	 */
	static List<String> orders(List<Order> orders) {
		List<String> violations = new ArrayList<>();
		Map<String, Long> highest = new HashMap<>();
		for (Order order : orders) {
			long before = highest.getOrDefault(order.receiver(), 0L);
			if (order.fencing() < before) {
				violations.add("two-holders: " + order.receiver() + " took order " + order.id() + " with fencing "
						+ order.fencing() + " after fencing " + before);
			}
			highest.put(order.receiver(), Math.max(before, order.fencing()));
		}
		return violations;
	}

	/**
	 * Checks that each window was reported with one set of figures, and that no two
	 * reporters used one fencing number.
	 * @param reports the reports, in the order of their arrival
	 * @return the violations
	 */
	static List<String> reports(List<JsonNode> reports) {
		List<String> violations = new ArrayList<>();
		Map<String, JsonNode> windows = new HashMap<>();
		Map<Long, String> reporters = new HashMap<>();
		for (JsonNode report : reports) {
			String window = report.path("window").asText();
			JsonNode known = windows.putIfAbsent(window, report);
			if (known != null && !(known.path("figures").equals(report.path("figures"))
					&& known.path("corrections").equals(report.path("corrections")))) {
				violations.add("figure-changed: window " + window + " was reported with two sets of figures");
			}
			String reporter = report.path("reporter").asText();
			String other = reporters.putIfAbsent(report.path("fencing").asLong(), reporter);
			if (other != null && !other.equals(reporter)) {
				violations.add("two-holders: " + other + " and " + reporter + " reported usage with fencing "
						+ report.path("fencing").asLong());
			}
		}
		return violations;
	}

	/**
	 * An order that was accepted.
	 *
	 * @param receiver who took it
	 * @param id its id
	 * @param fencing its fencing number
	 */
	record Order(String receiver, String id, long fencing) {
	}

}
