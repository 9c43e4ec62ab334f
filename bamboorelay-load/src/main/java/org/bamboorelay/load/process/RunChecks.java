package org.bamboorelay.load.process;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
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
	 * Checks labels against the engines' own records: each labelled version was loaded,
	 * and no step has more tokens of a version than engines made for it. Tokens of
	 * abandoned streams are in the second figure only.
	 * @param labelled tokens of delivered samples by step and labelled version
	 * @param loaded versions that an engine had loaded, with version 0 after its start
	 * @param made tokens that engines made, by stream and version
	 * @return the violations
	 */
	static List<String> labels(Map<String, Map<String, Long>> labelled, Set<String> loaded,
			Map<String, Map<String, Long>> made) {
		List<String> violations = new ArrayList<>();
		labelled.forEach((step, versions) -> versions.forEach((version, tokens) -> {
			if (!loaded.contains(version)) {
				violations.add("label-untrue: no engine ever loaded " + version + ", a label of step " + step);
				return;
			}
			String prefix = "sample-" + step.replace('/', '-') + "-";
			long most = made.entrySet()
				.stream()
				.filter((stream) -> stream.getKey().startsWith(prefix))
				.mapToLong((stream) -> stream.getValue().getOrDefault(version, 0L))
				.sum();
			if (tokens > most) {
				violations.add("label-untrue: step " + step + " has " + tokens + " tokens labelled " + version
						+ ", engines made " + most);
			}
		}));
		return violations;
	}

	/**
	 * Checks that no record lost lines, since the other checks would miss what was lost.
	 * @param dropped dropped lines by the name of the stand-in
	 * @return the violations
	 */
	static List<String> complete(Map<String, Long> dropped) {
		return dropped.entrySet()
			.stream()
			.filter((entry) -> entry.getValue() > 0)
			.map((entry) -> "record-incomplete: " + entry.getKey() + " dropped " + entry.getValue() + " lines")
			.toList();
	}

	/**
	 * Checks that each planned arrival was answered or counted as unsent.
	 * @param open arrivals that are not accounted for, by service and workspace
	 * @return the violations
	 */
	static List<String> arrivals(Map<String, Long> open) {
		return open.entrySet()
			.stream()
			.filter((entry) -> entry.getValue() != 0)
			.map((entry) -> "arrivals-open: " + entry.getValue() + " arrivals of " + entry.getKey()
					+ " have no answer and are not counted as unsent")
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
	 * @param records the record of each endpoint by its name, with paths, queries,
	 * headers and bodies
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
	 * Checks that no two holders were in charge of a failure domain. Over all receivers
	 * of the domain, the ordering interface and the engines, each fencing number belongs
	 * to one holder, the one that wrote the lease with it, and no order of a lower number
	 * arrived after one of a higher.
	 * @param orders orders that were accepted
	 * @param leases writes of leases that took effect, in the same form
	 * @return the violations
	 */
	static List<String> orders(List<Order> orders, List<Order> leases) {
		List<String> violations = new ArrayList<>();
		Map<String, String> holders = new HashMap<>();
		for (Order lease : leases) {
			String other = holders.putIfAbsent(lease.lease(), lease.holder());
			if (other != null && !other.equals(lease.holder())) {
				violations.add("two-holders: " + other + " and " + lease.holder() + " wrote lease " + lease.lease());
			}
		}
		Map<String, Order> highest = new HashMap<>();
		List<Order> sorted = new ArrayList<>(orders);
		sorted.sort(Comparator.comparingLong(Order::receivedMillis));
		for (Order order : sorted) {
			String holder = holders.get(order.lease());
			if (!order.holder().equals(holder)) {
				violations.add("two-holders: " + order.receiver() + " took order " + order.id() + " of "
						+ order.holder() + ", but lease " + order.lease() + " was held by " + holder);
			}
			Order before = highest.get(order.domain());
			if (before != null && order.fencing() < before.fencing()) {
				violations.add("two-holders: " + order.receiver() + " took order " + order.id() + " with fencing "
						+ order.fencing() + " after " + before.receiver() + " took one with " + before.fencing());
			}
			else {
				highest.put(order.domain(), order);
			}
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
	 * An order that was accepted, or a write of a lease.
	 *
	 * @param receiver who took it
	 * @param domain the failure domain whose lease it was given under
	 * @param id its id
	 * @param holder the process that gave it
	 * @param fencing its fencing number
	 * @param receivedMillis when it arrived, by the wall clock in milliseconds
	 */
	record Order(String receiver, String domain, String id, String holder, long fencing, long receivedMillis) {

		private String lease() {
			return this.domain + "#" + this.fencing;
		}

	}

}
