package org.bamboorelay.entry.request;

import java.util.List;
import java.util.Objects;

import org.bamboorelay.core.request.StepPlan;
import org.bamboorelay.core.version.HostId;
import org.bamboorelay.core.version.ServiceId;
import org.bamboorelay.core.version.WorkspaceId;

/**
 * A step and the host that runs it, stored under {@code steps/<trainer>/<step>}.
 * <p>
 * Immutable and thread-safe.
 *
 * @param token unique for each write
 * @param workspace the workspace that the step belongs to
 * @param host the host that runs the step
 * @param ownership a number that increases by one each time a host takes the step over
 * @param request the request of the trainer
 */
record StepRecord(String token, WorkspaceId workspace, HostId host, long ownership, Request request) {

	StepRecord withOwner(HostId newHost, String newToken) {
		return new StepRecord(newToken, this.workspace, newHost, this.ownership + 1, this.request);
	}

	/**
	 * The request body of a step.
	 *
	 * @param service the model service
	 * @param prompts the prompts
	 * @param samplesPerPrompt the number of samples of each prompt
	 * @param maxTokens the maximum number of tokens of a sample
	 */
	record Request(ServiceId service, List<String> prompts, int samplesPerPrompt, int maxTokens) {

		/**
		 * Approximate characters per token of a prompt. Only the order in which samples
		 * start depends on it.
		 */
		private static final int CHARS_PER_TOKEN = 4;

		Request {
			Objects.requireNonNull(service, "service");
			prompts = List.copyOf(prompts);
			if (maxTokens <= 0) {
				throw new IllegalArgumentException("max_tokens must be positive, got " + maxTokens);
			}
			plan(prompts, samplesPerPrompt, maxTokens);
		}

		StepPlan plan() {
			return plan(this.prompts, this.samplesPerPrompt, this.maxTokens);
		}

		private static StepPlan plan(List<String> prompts, int samplesPerPrompt, int maxTokens) {
			return new StepPlan(
					prompts.stream().map((prompt) -> (long) prompt.length() / CHARS_PER_TOKEN + maxTokens).toList(),
					samplesPerPrompt);
		}

	}

}
