package org.bamboorelay.core.version;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import org.jspecify.annotations.Nullable;

/**
 * What operators ask for: priorities, staleness bounds, spending limits and policies.
 * <p>
 * Immutable and thread-safe.
 *
 * @param priorities priority levels of workspaces; left out of the JSON form where empty,
 * so that hosts of an earlier release go on reading configurations without priorities
 * @param staleness bounds per line of weights
 * @param spending limits per service
 * @param admission limits of queues and waits
 * @param usage length and grace of usage windows
 * @param isolation what a cut-off domain does with keyed requests
 * @param policies the policy in force for each decision that has a baseline
 */
public record Rules(@JsonInclude(JsonInclude.Include.NON_EMPTY) List<PriorityRule> priorities,
		List<StalenessRule> staleness, List<SpendingRule> spending, AdmissionRule admission, UsageRule usage,
		IsolationRule isolation, PolicyRule policies) {

	public Rules {
		priorities = (priorities != null) ? List.copyOf(priorities) : List.of();
		staleness = List.copyOf(staleness);
		spending = List.copyOf(spending);
	}

	/**
	 * Finds the staleness bound of a line.
	 * @param line the line
	 * @return the rule, if there is one
	 */
	public Optional<StalenessRule> staleness(LineId line) {
		return this.staleness.stream().filter((rule) -> rule.line().equals(line)).findFirst();
	}

	/**
	 * Finds the priority levels of a service.
	 * @param service the service
	 * @param requestClass the class of the requests
	 * @return the levels by workspace; those without one have the default level
	 */
	public Map<String, Integer> levels(ServiceId service, RequestClass requestClass) {
		Map<String, PriorityRule> found = new TreeMap<>();
		for (PriorityRule rule : this.priorities) {
			if (rule.matches(service, requestClass)) {
				found.merge(rule.workspace().value(), rule,
						(one, two) -> (two.specificity() > one.specificity()) ? two : one);
			}
		}
		Map<String, Integer> levels = new TreeMap<>();
		found.forEach((workspace, rule) -> levels.put(workspace, rule.level()));
		return levels;
	}

	/**
	 * Class of a request.
	 */
	public enum RequestClass {

		/** Requests of users and of other services. */
		INTERACTIVE,

		/** Samples for trainers. */
		ROLLOUT

	}

	/**
	 * A priority level. Of the rules that match a request, the one that names most
	 * decides.
	 *
	 * @param workspace the workspace
	 * @param service the service; null for all
	 * @param requestClass the class of the requests; null for both
	 * @param level the level, from {@value #MIN_LEVEL} to {@value #MAX_LEVEL}; the
	 * highest is served first
	 */
	public record PriorityRule(WorkspaceId workspace, @Nullable ServiceId service,
			@JsonProperty("class") @Nullable RequestClass requestClass, int level) {

		/** The lowest level. */
		public static final int MIN_LEVEL = 0;

		/** The highest level. */
		public static final int MAX_LEVEL = 9;

		/** Level of requests for which there is no rule. */
		public static final int DEFAULT_LEVEL = 5;

		/**
		 * Tells whether some request falls under both this rule and another one.
		 * @param other the other rule
		 * @return whether there can be such a request
		 */
		boolean overlaps(PriorityRule other) {
			boolean services = this.service == null || other.service == null || this.service.equals(other.service);
			boolean classes = this.requestClass == null || other.requestClass == null
					|| this.requestClass == other.requestClass;
			return this.workspace.equals(other.workspace) && services && classes;
		}

		int specificity() {
			return ((this.service != null) ? 1 : 0) + ((this.requestClass != null) ? 1 : 0);
		}

		private boolean matches(ServiceId ofService, RequestClass ofClass) {
			return (this.service == null || this.service.equals(ofService))
					&& (this.requestClass == null || this.requestClass == ofClass);
		}

	}

	/**
	 * What a node that is cut off does with requests that need a key.
	 */
	public enum WhenIsolated {

		/** Refuses them, so that a withdrawn key cannot be used. */
		REFUSE,

		/** Serves them, and accepts that a key withdrawn meanwhile still works. */
		SERVE

	}

	/**
	 * The oldest weights that a delivered sample may come from.
	 *
	 * @param line the line of weights
	 * @param service the model service that serves the line
	 * @param maxVersions how many versions a sample may lag behind its trainer
	 */
	public record StalenessRule(LineId line, ServiceId service, int maxVersions) {
	}

	/**
	 * A spending limit.
	 *
	 * @param service the service
	 * @param maxEndpoints the most endpoints in all failure domains together
	 * @param maxCostPerHour the most cost units an hour
	 * @param minSteadyPerDomain the steady endpoints that each failure domain keeps
	 */
	public record SpendingRule(ServiceId service, int maxEndpoints, double maxCostPerHour, int minSteadyPerDomain) {
	}

	/**
	 * Limits of queues.
	 *
	 * @param maxQueued the most requests that wait for one service on one host
	 * @param maxWaitInteractiveMillis the longest wait of an interactive request, in
	 * milliseconds
	 * @param maxWaitRolloutMillis the longest wait of a rollout sample, in milliseconds
	 */
	public record AdmissionRule(int maxQueued, long maxWaitInteractiveMillis, long maxWaitRolloutMillis) {
	}

	/**
	 * Usage windows.
	 *
	 * @param windowMillis the length, in milliseconds
	 * @param graceMillis the wait after the end before the figures are frozen, in
	 * milliseconds
	 */
	public record UsageRule(long windowMillis, long graceMillis) {
	}

	/**
	 * Behaviour when cut off.
	 *
	 * @param whenIsolated what happens to keyed requests
	 * @param maxViewAgeMillis the age of the view above which a node counts as cut off,
	 * in milliseconds
	 */
	public record IsolationRule(WhenIsolated whenIsolated, long maxViewAgeMillis) {
	}

	/**
	 * The policy of each decision that has a baseline.
	 *
	 * @param admission {@code fair} or {@code first-come}
	 * @param routing {@code affinity} or {@code round-robin}
	 * @param ramp {@code ramp} or {@code no-ramp}
	 * @param scaling {@code demand} or {@code all-on}
	 * @param weights {@code waves} or {@code all-at-once}
	 * @param stragglers {@code resume} or {@code wait}
	 */
	public record PolicyRule(String admission, String routing, String ramp, String scaling, String weights,
			String stragglers) {
	}

}
