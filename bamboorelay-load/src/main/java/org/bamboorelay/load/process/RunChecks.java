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
 * Verifies a run against the records of the stand-ins. Each check returns the violations
 * found, or an empty list if it passed.
 * <p>
 * Stateless and thread-safe.
 */
final class RunChecks {

	private RunChecks() {
	}

	/**
	 * Checks that each sample of the finished steps was delivered exactly once or
	 * withheld as expired.
	 * @param delivered ids of delivered samples by finished step, in order of delivery
	 * @param expired number of samples withheld as expired, by finished step
	 * @param expected number of samples by finished step
	 * @return the violations
	 */
	static List<String> checkSamples(Map<String, List<String>> delivered, Map<String, Integer> expired,
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
	 * Checks version labels against the records of the engines: each labelled version was
	 * loaded by an engine, and no step has more tokens labelled with a version than the
	 * engines generated for it. Tokens of abandoned streams are included in the generated
	 * tokens only.
	 * @param labelled tokens of delivered samples by step and labelled version
	 * @param loaded versions that any engine loaded, including version 0 loaded at its
	 * start
	 * @param generated tokens that engines generated, by stream and version
	 * @return the violations
	 */
	static List<String> checkLabels(Map<String, Map<String, Long>> labelled, Set<String> loaded,
			Map<String, Map<String, Long>> generated) {
		List<String> violations = new ArrayList<>();
		labelled.forEach((step, versions) -> versions.forEach((version, tokens) -> {
			if (!loaded.contains(version)) {
				violations.add("label-untrue: no engine ever loaded " + version + ", a label of step " + step);
				return;
			}
			String prefix = "sample-" + step.replace('/', '-') + "-";
			long generatedTokens = generated.entrySet()
				.stream()
				.filter((stream) -> stream.getKey().startsWith(prefix))
				.mapToLong((stream) -> stream.getValue().getOrDefault(version, 0L))
				.sum();
			if (tokens > generatedTokens) {
				violations.add("label-untrue: step " + step + " has " + tokens + " tokens labelled " + version
						+ ", engines made " + generatedTokens);
			}
		}));
		return violations;
	}

	/**
	 * Checks that no record dropped lines, which the other checks would not see.
	 * @param dropped number of dropped lines by name of the stand-in
	 * @return the violations
	 */
	static List<String> checkRecordsComplete(Map<String, Long> dropped) {
		return dropped.entrySet()
			.stream()
			.filter((entry) -> entry.getValue() > 0)
			.map((entry) -> "record-incomplete: " + entry.getKey() + " dropped " + entry.getValue() + " lines")
			.toList();
	}

	/**
	 * Checks that each planned arrival got a response, failed or was counted as unsent.
	 * @param unaccounted arrivals that are not accounted for, by service and workspace
	 * @return the violations
	 */
	static List<String> checkArrivals(Map<String, Long> unaccounted) {
		return unaccounted.entrySet()
			.stream()
			.filter((entry) -> entry.getValue() != 0)
			.map((entry) -> "arrivals-open: " + entry.getValue() + " arrivals of " + entry.getKey()
					+ " have no answer and are not counted as unsent")
			.toList();
	}

	/**
	 * Checks that no call that must not be repeated was executed more than once.
	 * @param executions number of executions by call, for each plain server
	 * @param repeatable path prefixes of calls that may be executed more than once
	 * @return the violations
	 */
	static List<String> checkExecutions(List<Map<String, Integer>> executions, List<String> repeatable) {
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
	 * Checks that no caller key reached an endpoint.
	 * @param records the record of each endpoint by its name, with paths, queries,
	 * headers and bodies
	 * @param keys the API keys of the callers
	 * @return the violations
	 */
	static List<String> checkKeys(Map<String, String> records, Collection<String> keys) {
		List<String> violations = new ArrayList<>();
		records.forEach((endpoint, record) -> {
			if (keys.stream().anyMatch(record::contains)) {
				violations.add("key-seen: the record of " + endpoint + " has a caller's key");
			}
		});
		return violations;
	}

	/**
	 * Checks that no two processes held the lease of a failure domain at the same time.
	 * Across all receivers of orders for the domain, that is, the ordering interface and
	 * the engines, each fencing number must belong to the single holder that wrote the
	 * lease with it, and no order with a lower fencing number may be accepted after one
	 * with a higher number.
	 * @param orders accepted orders
	 * @param leases lease writes that took effect
	 * @return the violations
	 */
	static List<String> checkOrders(List<FencedWrite> orders, List<FencedWrite> leases) {
		List<String> violations = new ArrayList<>();
		Map<String, String> holders = new HashMap<>();
		for (FencedWrite lease : leases) {
			String other = holders.putIfAbsent(lease.leaseTerm(), lease.holder());
			if (other != null && !other.equals(lease.holder())) {
				violations
					.add("two-holders: " + other + " and " + lease.holder() + " wrote lease " + lease.leaseTerm());
			}
		}
		Map<String, FencedWrite> highest = new HashMap<>();
		List<FencedWrite> sorted = new ArrayList<>(orders);
		sorted.sort(Comparator.comparingLong(FencedWrite::receivedMillis));
		for (FencedWrite order : sorted) {
			String holder = holders.get(order.leaseTerm());
			if (!order.holder().equals(holder)) {
				violations.add("two-holders: " + order.receiver() + " took order " + order.id() + " of "
						+ order.holder() + ", but lease " + order.leaseTerm() + " was held by " + holder);
			}
			FencedWrite before = highest.get(order.domain());
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
	 * Checks that each usage window was reported with a single set of figures, and that
	 * no two reporters used the same fencing number.
	 * @param reports the usage reports, in order of arrival
	 * @return the violations
	 */
	static List<String> checkReports(List<JsonNode> reports) {
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
	 * An accepted order or a lease write, with the fencing number of its holder.
	 *
	 * @param receiver name of the service that accepted it
	 * @param domain the failure domain whose lease covers it
	 * @param id id of the order, or token of the lease write
	 * @param holder the process that sent it
	 * @param fencing its fencing number
	 * @param receivedMillis wall-clock time of arrival, in milliseconds since the epoch
	 */
	record FencedWrite(String receiver, String domain, String id, String holder, long fencing, long receivedMillis) {

		private String leaseTerm() {
			return this.domain + "#" + this.fencing;
		}

	}

}
