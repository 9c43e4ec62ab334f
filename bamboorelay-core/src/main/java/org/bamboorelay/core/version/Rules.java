package org.bamboorelay.core.version;

import java.util.List;
import java.util.Optional;

/**
 * What operators ask for: priorities, staleness bounds, spending limits and policies.
 * <p>
 * Immutable and thread-safe.
 *
 * @param staleness bounds per line of weights
 * @param spending limits per service
 * @param admission limits of queues and waits
 * @param usage length and grace of usage windows
 * @param isolation what a cut-off domain does with keyed requests
 * @param policies the policy in force for each decision that has a baseline
 */
public record Rules(List<StalenessRule> staleness, List<SpendingRule> spending, AdmissionRule admission,
		UsageRule usage, IsolationRule isolation, PolicyRule policies) {

	public Rules {
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
