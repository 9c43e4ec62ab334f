package org.bamboorelay.entry.request;

import java.util.Objects;
import java.util.function.Supplier;

import org.bamboorelay.core.store.ObjectStore;
import org.bamboorelay.core.time.Clock;
import org.bamboorelay.core.version.ConfigurationSource;
import org.bamboorelay.entry.connection.EngineClient;
import org.bamboorelay.entry.connection.PeerMesh;
import org.bamboorelay.entry.process.UsageMeter;
import org.bamboorelay.runtime.process.Counters;

/**
 * Dependencies of the rollout routes.
 * <p>
 * Immutable and thread-safe.
 *
 * @param mesh the links to the other hosts
 * @param store the object API
 * @param credits grants credits to samples
 * @param engines the client of the model engines
 * @param configuration the configuration in force
 * @param meter counts delivered samples
 * @param counters the process's metrics
 * @param clock a monotonic clock
 * @param executors the executors of samples and other tasks
 * @param tokens supplies tokens that are unique across all processes
 * @param limits limits of this host
 */
public record RolloutDependencies(PeerMesh mesh, ObjectStore store, CreditSource credits, EngineClient engines,
		ConfigurationSource configuration, UsageMeter meter, Counters counters, Clock clock, RolloutExecutors executors,
		Supplier<String> tokens, Limits limits) {

	public RolloutDependencies {
		Objects.requireNonNull(mesh, "mesh");
		Objects.requireNonNull(store, "store");
		Objects.requireNonNull(credits, "credits");
		Objects.requireNonNull(engines, "engines");
		Objects.requireNonNull(configuration, "configuration");
		Objects.requireNonNull(meter, "meter");
		Objects.requireNonNull(counters, "counters");
		Objects.requireNonNull(clock, "clock");
		Objects.requireNonNull(executors, "threads");
		Objects.requireNonNull(tokens, "tokens");
		Objects.requireNonNull(limits, "limits");
	}

	/**
	 * Limits of a host.
	 *
	 * @param maxRunningPerStep the maximum number of concurrent samples of one step
	 * @param maxSampleBytes the maximum total size of stored samples, in bytes, including
	 * copies for other hosts
	 */
	public record Limits(int maxRunningPerStep, long maxSampleBytes) {

		public Limits {
			if (maxRunningPerStep <= 0 || maxSampleBytes <= 0) {
				throw new IllegalArgumentException(
						"limits must be positive, got " + maxRunningPerStep + ", " + maxSampleBytes);
			}
		}

	}

}
