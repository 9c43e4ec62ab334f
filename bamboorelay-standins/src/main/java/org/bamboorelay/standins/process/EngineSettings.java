package org.bamboorelay.standins.process;

import java.util.List;
import java.util.Objects;

/**
 * Settings of a model engine.
 * <p>
 * Immutable and thread-safe.
 *
 * @param identity the identity of the endpoint
 * @param capacity the maximum number of requests in a batch
 * @param tokensPerSecond generation rate of a request that runs alone, in tokens per
 * second
 * @param lines the weight lines; the first is the default
 * @param coldStartMillis duration of the cold start, in milliseconds
 * @param coldCapacity the maximum number of requests during the cold start; above it the
 * engine crashes
 * @param honoursFencing whether orders with an outdated fencing number are refused
 * @param reportLagMillis age of the load report, in milliseconds
 * @param cacheEventLagMillis delay until a cache event becomes visible, in milliseconds
 * @param cacheEventLossInterval every n-th cache event is lost; 0 loses none
 * @param cacheBlocks the maximum number of prefix blocks in the cache
 * @param randomLengths whether the length of a completion is drawn at random from its
 * seed; otherwise each completion has the maximum number of tokens
 */
public record EngineSettings(EndpointIdentity identity, int capacity, double tokensPerSecond, List<String> lines,
		long coldStartMillis, int coldCapacity, boolean honoursFencing, long reportLagMillis, long cacheEventLagMillis,
		int cacheEventLossInterval, int cacheBlocks, boolean randomLengths) {

	public EngineSettings {
		Objects.requireNonNull(identity, "identity");
		lines = List.copyOf(lines);
		if (lines.isEmpty()) {
			throw new IllegalArgumentException("lines must not be empty");
		}
		if (capacity <= 0) {
			throw new IllegalArgumentException("capacity must be positive: " + capacity);
		}
		if (tokensPerSecond <= 0) {
			throw new IllegalArgumentException("tokensPerSecond must be positive: " + tokensPerSecond);
		}
	}

}
