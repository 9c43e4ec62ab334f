package org.bamboorelay.core.version;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import org.jspecify.annotations.Nullable;

/**
 * Operating rules: priorities, staleness bounds, spending limits and policies.
 * <p>
 * Immutable and thread-safe.
 *
 * @param priorities priority levels of workspaces; omitted from the JSON form if empty,
 * so that hosts of an earlier release can read configurations without priorities
 * @param staleness staleness bound of each line of weights
 * @param spending spending limit of each service
 * @param admission limits of queue lengths and waiting times
 * @param usage length and grace period of usage windows
 * @param isolation handling of authenticated requests while a node is isolated
 * @param policies the selected policy of each decision that has a baseline policy
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
	 * Returns the staleness bound of a line of weights.
	 * @param line the line
	 * @return the rule, if it exists
	 */
	public Optional<StalenessRule> staleness(LineId line) {
		return this.staleness.stream().filter((rule) -> rule.line().equals(line)).findFirst();
	}

	/**
	 * Returns the priority levels of workspaces at a service.
	 * @param service the service
	 * @param requestClass the class of the requests
	 * @return the levels by workspace; workspaces without an entry have
	 * {@link PriorityRule#DEFAULT_LEVEL}
	 */
	public Map<String, Integer> priorityLevels(ServiceId service, RequestClass requestClass) {
		Map<String, PriorityRule> mostSpecific = new TreeMap<>();
		for (PriorityRule rule : this.priorities) {
			if (rule.matches(service, requestClass)) {
				mostSpecific.merge(rule.workspace().value(), rule,
						(first, second) -> (second.specificity() > first.specificity()) ? second : first);
			}
		}
		Map<String, Integer> levels = new TreeMap<>();
		mostSpecific.forEach((workspace, rule) -> levels.put(workspace, rule.level()));
		return levels;
	}

	/**
	 * Class of a request.
	 */
	public enum RequestClass {

		/** Requests of users and of other services. */
		INTERACTIVE,

		/** Generation of samples for trainers. */
		ROLLOUT

	}

	/**
	 * A priority level. If several rules match a request, the most specific one applies.
	 *
	 * @param workspace the workspace
	 * @param service the service; null for all services
	 * @param requestClass the class of the requests; null for all classes
	 * @param level the level, from {@value #MIN_LEVEL} to {@value #MAX_LEVEL}; higher
	 * levels are served first
	 */
	public record PriorityRule(WorkspaceId workspace, @Nullable ServiceId service,
			@JsonProperty("class") @Nullable RequestClass requestClass, int level) {

		/** The lowest level. */
		public static final int MIN_LEVEL = 0;

		/** The highest level. */
		public static final int MAX_LEVEL = 9;

		/** Level of requests that no rule matches. */
		public static final int DEFAULT_LEVEL = 5;

		/**
		 * Returns whether a request can match both this rule and another one.
		 * @param other the other rule
		 * @return true if such a request can exist
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
	 * Handling of requests that need an API key while a node is isolated.
	 */
	public enum WhenIsolated {

		/** Refuses the requests, so that a withdrawn key cannot be used. */
		REFUSE,

		/**
		 * Serves the requests; a key that was withdrawn during the isolation remains
		 * usable.
		 */
		SERVE

	}

	/**
	 * Staleness bound of delivered samples.
	 *
	 * @param line the line of weights
	 * @param service the model service that serves the line
	 * @param maxVersions maximum number of versions by which a sample may lag behind its
	 * trainer
	 */
	public record StalenessRule(LineId line, ServiceId service, int maxVersions) {
	}

	/**
	 * A spending limit.
	 *
	 * @param service the service
	 * @param maxEndpoints maximum number of endpoints in all failure domains together
	 * @param maxCostPerHour maximum cost units per hour
	 * @param minSteadyPerDomain minimum number of steady (non-preemptible) endpoints in
	 * each failure domain
	 */
	public record SpendingRule(ServiceId service, int maxEndpoints, double maxCostPerHour, int minSteadyPerDomain) {
	}

	/**
	 * Limits of queue lengths and waiting times.
	 *
	 * @param maxQueued maximum number of requests that wait for one service on one host
	 * @param maxWaitInteractiveMillis maximum waiting time of an interactive request, in
	 * milliseconds
	 * @param maxWaitRolloutMillis maximum waiting time of a rollout sample, in
	 * milliseconds
	 */
	public record AdmissionRule(int maxQueued, long maxWaitInteractiveMillis, long maxWaitRolloutMillis) {
	}

	/**
	 * Length and grace period of usage windows.
	 *
	 * @param windowMillis length of a window, in milliseconds
	 * @param graceMillis time after the end of a window until its counts are final, in
	 * milliseconds
	 */
	public record UsageRule(long windowMillis, long graceMillis) {
	}

	/**
	 * Behaviour of an isolated node.
	 *
	 * @param whenIsolated handling of requests that need an API key
	 * @param maxViewAgeMillis age of the configuration view above which a node is
	 * considered isolated, in milliseconds
	 */
	public record IsolationRule(WhenIsolated whenIsolated, long maxViewAgeMillis) {
	}

	/**
	 * The policy of each decision that has a baseline policy.
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
