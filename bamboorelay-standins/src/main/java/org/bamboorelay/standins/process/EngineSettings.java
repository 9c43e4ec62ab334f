package org.bamboorelay.standins.process;

import java.util.List;
import java.util.Objects;

/**
 * Settings of a model engine.
 * <p>
 * Immutable and thread-safe.
 *
 * @param identity the identity of the endpoint
 * @param capacity the most requests in a batch
 * @param tokensPerSecond rate of a request that runs alone, in tokens a second
 * @param lines the lines of weights; the first is the default
 * @param coldStartMillis how long the engine is cold after a start, in milliseconds
 * @param coldBears the most requests that a cold engine bears
 * @param honoursFencing whether an old fencing number is refused
 * @param reportLagMillis age of the load report, in milliseconds
 * @param cacheLagMillis how late cache events appear, in milliseconds
 * @param cacheGapEvery each n-th cache event is lost; 0 loses none
 * @param cacheBlocks the most prefix blocks in the cache
 * @param drawnLengths whether the length of an answer is drawn from its seed; otherwise
 * each answer has the most tokens
 */
public record EngineSettings(EndpointIdentity identity, int capacity, double tokensPerSecond, List<String> lines,
		long coldStartMillis, int coldBears, boolean honoursFencing, long reportLagMillis, long cacheLagMillis,
		int cacheGapEvery, int cacheBlocks, boolean drawnLengths) {

	public EngineSettings {
		Objects.requireNonNull(identity, "identity");
		lines = List.copyOf(lines);
		if (lines.isEmpty()) {
			throw new IllegalArgumentException("an engine needs at least one line of weights");
		}
		if (capacity <= 0) {
			throw new IllegalArgumentException("capacity must be positive: " + capacity);
		}
		if (tokensPerSecond <= 0) {
			throw new IllegalArgumentException("tokensPerSecond must be positive: " + tokensPerSecond);
		}
	}

}
