package org.bamboorelay.load.request;

/**
 * What a measurement of the entry process compares, written by its script.
 * <p>
 * Immutable and thread-safe.
 *
 * @param directAddress {@code ip:port} of the endpoint
 * @param relayAddress {@code ip:port} of the bare relay
 * @param relayPid process id of the bare relay
 * @param entryAddress {@code ip:port} of the entry process
 * @param entryPid process id of the entry process
 * @param key a key
 * @param plainService the plain service
 * @param modelService the model service
 * @param seed seed of the arrivals
 * @param seconds length of each part, in seconds
 * @param rounds how often each part is measured
 * @param connections connections of the closed loop
 * @param streams streams at once
 * @param tokensPerStream tokens of each stream
 */
public record BenchSettings(String directAddress, String relayAddress, long relayPid, String entryAddress,
		long entryPid, String key, String plainService, String modelService, long seed, int seconds, int rounds,
		int connections, int streams, int tokensPerStream) {
}
