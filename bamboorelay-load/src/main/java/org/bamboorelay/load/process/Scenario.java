package org.bamboorelay.load.process;

import java.util.List;

/**
 * Description of a load run, read from {@code config/scenarios}. Times are relative to
 * the start of a phase: the policy phase or the baseline phase.
 * <p>
 * Immutable and thread-safe.
 *
 * @param name name of the scenario
 * @param deployment name of the deployment under test
 * @param seed seed of the arrivals
 * @param seconds length of a phase, in seconds
 * @param maxRequests maximum number of caller requests in a phase
 * @param cheapPerDomain cheap engines in each failure domain that are live from the start
 * @param coldStartMs cold start time of the engines, in milliseconds
 * @param warmUpSeconds length of the warm-up that precedes the policy and baseline
 * phases, in seconds
 * @param ordered whether endpoints are started only on orders of the control processes
 * @param baseline policies of the baseline phase, each as {@code name=value}
 * @param callers groups of callers
 * @param trainers trainers
 * @param faults faults injected into the stand-ins
 * @param operators operator commands, executed by the script
 */
public record Scenario(String name, String deployment, long seed, int seconds, int maxRequests, int cheapPerDomain,
		int coldStartMs, int warmUpSeconds, boolean ordered, List<String> baseline, List<Callers> callers,
		List<Trainer> trainers, List<Fault> faults, List<Operator> operators) {

	/**
	 * Returns the warm-up for this scenario: the same load with another seed, without
	 * faults and operator commands.
	 * @return the warm-up scenario
	 */
	public Scenario toWarmUp() {
		return new Scenario(this.name, this.deployment, this.seed + 1, this.warmUpSeconds, this.maxRequests,
				this.cheapPerDomain, this.coldStartMs, this.warmUpSeconds, this.ordered, this.baseline, this.callers,
				this.trainers, List.of(), List.of());
	}

	/**
	 * A group of callers of one workspace that use one service.
	 *
	 * @param workspace the workspace
	 * @param service {@code plain} or {@code model}
	 * @param rate mean arrivals per second
	 * @param fromMs start of the arrivals, in milliseconds
	 * @param untilMs end of the arrivals, in milliseconds
	 * @param writeShare fraction of calls that must not be executed twice; plain service
	 * only
	 * @param maxTokens length of a completion, in tokens
	 * @param maxOpen maximum number of outstanding requests of this group
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
	 * @param trainer its name, which is also the name of its weight line
	 * @param workspace the workspace whose key it uses
	 * @param prompts prompts per step
	 * @param samplesPerPrompt samples per prompt
	 * @param maxTokens length of a sample, in tokens
	 * @param trainMs training time after a step, in milliseconds
	 * @param maxVersions staleness bound, in weight versions
	 */
	public record Trainer(String trainer, String workspace, int prompts, int samplesPerPrompt, int maxTokens,
			int trainMs, int maxVersions) {
	}

	/**
	 * A fault injected into stand-ins.
	 *
	 * @param fromMs start of the fault, in milliseconds
	 * @param untilMs end of the fault, in milliseconds
	 * @param target {@code object-api}, {@code ordering}, {@code usage-intake},
	 * {@code weight-store}, or a prefix of endpoint names
	 * @param fault name of the fault
	 * @param value JSON value of the fault
	 */
	public record Fault(int fromMs, int untilMs, String target, String fault, String value) {
	}

	/**
	 * An operator command.
	 *
	 * @param atMs time of the command, in milliseconds
	 * @param command command-line arguments of {@code bamboorelay}
	 */
	public record Operator(int atMs, String command) {
	}

}
