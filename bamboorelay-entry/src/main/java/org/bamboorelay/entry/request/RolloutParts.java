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
 * What rollouts need from the rest of the process.
 * <p>
 * Immutable and thread-safe.
 *
 * @param mesh links to the other hosts
 * @param store the object API
 * @param credits admits samples
 * @param engines streams samples
 * @param configuration the configuration in force
 * @param meter counts delivered samples
 * @param counters the process's metrics
 * @param clock a monotonic clock
 * @param threads runs samples and other tasks
 * @param tokens returns a unique token with each call, in all processes
 * @param limits limits of this host
 */
public record RolloutParts(PeerMesh mesh, ObjectStore store, CreditSource credits, EngineClient engines,
		ConfigurationSource configuration, UsageMeter meter, Counters counters, Clock clock, RolloutThreads threads,
		Supplier<String> tokens, Limits limits) {

	public RolloutParts {
		Objects.requireNonNull(mesh, "mesh");
		Objects.requireNonNull(store, "store");
		Objects.requireNonNull(credits, "credits");
		Objects.requireNonNull(engines, "engines");
		Objects.requireNonNull(configuration, "configuration");
		Objects.requireNonNull(meter, "meter");
		Objects.requireNonNull(counters, "counters");
		Objects.requireNonNull(clock, "clock");
		Objects.requireNonNull(threads, "threads");
		Objects.requireNonNull(tokens, "tokens");
		Objects.requireNonNull(limits, "limits");
	}

	/**
	 * Limits of a host.
	 *
	 * @param maxRunningPerStep the most samples of one step that run at once
	 * @param maxSampleBytes the most bytes of finished samples, own and others'
	 */
	public record Limits(int maxRunningPerStep, long maxSampleBytes) {

		public Limits {
			if (maxRunningPerStep <= 0 || maxSampleBytes <= 0) {
				throw new IllegalArgumentException(
						"limits must be positive: " + maxRunningPerStep + ", " + maxSampleBytes);
			}
		}

	}

}
