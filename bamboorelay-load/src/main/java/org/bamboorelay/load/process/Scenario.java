package org.bamboorelay.load.process;

import java.util.List;

/**
 * What a run does, read from {@code config/scenarios}. Times count from the start of a
 * half.
 * <p>
 * Immutable and thread-safe.
 *
 * @param name name of the scenario
 * @param deployment the deployment it runs on
 * @param seed seed of the arrivals
 * @param seconds length of a half, in seconds
 * @param maxRequests the most requests of callers in a half
 * @param cheapPerDomain cheap engines that are live from the start, in each failure
 * domain
 * @param coldStartMs cold start of the engines, in milliseconds
 * @param warmUpSeconds length of the part before the halves that warms the processes up,
 * in seconds
 * @param ordered whether endpoints run only where the control processes order them
 * @param baseline policies of the second half, each as {@code name=value}
 * @param callers callers
 * @param trainers trainers
 * @param faults faults of the stand-ins
 * @param operators commands of operators, which the script gives
 */
public record Scenario(String name, String deployment, long seed, int seconds, int maxRequests, int cheapPerDomain,
		int coldStartMs, int warmUpSeconds, boolean ordered, List<String> baseline, List<Callers> callers,
		List<Trainer> trainers, List<Fault> faults, List<Operator> operators) {

	/**
	 * Returns the begin of this scenario without its faults and operators, which warms
	 * the processes up.
	 * @return the scenario
	 */
	public Scenario toWarmUp() {
		return new Scenario(this.name, this.deployment, this.seed + 1, this.warmUpSeconds, this.maxRequests,
				this.cheapPerDomain, this.coldStartMs, this.warmUpSeconds, this.ordered, this.baseline, this.callers,
				this.trainers, List.of(), List.of());
	}

	/**
	 * Callers of one workspace at one service.
	 *
	 * @param workspace the workspace
	 * @param service {@code plain} or {@code model}
	 * @param rate mean arrivals a second
	 * @param fromMs when they begin, in milliseconds
	 * @param untilMs when they end, in milliseconds
	 * @param writeShare share of calls that must not run twice; plain service only
	 * @param maxTokens length of a completion, in tokens
	 * @param maxOpen the most requests of this group that wait for their answers at once
	 */
	public record Callers(String workspace, String service, double rate, int fromMs, int untilMs, double writeShare,
			int maxTokens, int maxOpen) {

		/**
		 * Creates a group of callers.
		 */
		public Callers {
			if (maxOpen <= 0) {
				throw new IllegalArgumentException("max_open must be positive: " + maxOpen);
			}
		}

	}

	/**
	 * A trainer.
	 *
	 * @param trainer its name, which is also the name of its line
	 * @param workspace the workspace whose key it uses
	 * @param prompts prompts of a step
	 * @param samplesPerPrompt samples of each prompt
	 * @param maxTokens length of a sample, in tokens
	 * @param trainMs how long it trains after a step, in milliseconds
	 * @param maxVersions staleness bound, in versions
	 */
	public record Trainer(String trainer, String workspace, int prompts, int samplesPerPrompt, int maxTokens,
			int trainMs, int maxVersions) {
	}

	/**
	 * A fault of stand-ins.
	 *
	 * @param fromMs when it begins, in milliseconds
	 * @param untilMs when it ends, in milliseconds
	 * @param target {@code object-api}, {@code ordering}, {@code usage-intake},
	 * {@code weight-store}, or the begin of the names of endpoints
	 * @param fault name of the fault
	 * @param value its value in JSON
	 */
	public record Fault(int fromMs, int untilMs, String target, String fault, String value) {
	}

	/**
	 * A command of an operator.
	 *
	 * @param atMs when it is given, in milliseconds
	 * @param command arguments of {@code bamboorelay}
	 */
	public record Operator(int atMs, String command) {
	}

}
