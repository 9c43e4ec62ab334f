package org.bamboorelay.load.request;

/**
 * Targets and parameters of a measurement of the entry process, written by its script.
 * <p>
 * Immutable and thread-safe.
 *
 * @param directAddress {@code ip:port} of the endpoint
 * @param relayAddress {@code ip:port} of the bare relay
 * @param relayPid process id of the bare relay
 * @param entryAddress {@code ip:port} of the entry process
 * @param entryPid process id of the entry process
 * @param key API key of a workspace
 * @param plainService name of the plain service
 * @param modelService name of the model service
 * @param seed seed of the arrivals
 * @param seconds length of each part, in seconds
 * @param rounds number of measurements of each part
 * @param connections number of connections in the closed loop
 * @param streams number of concurrent streams
 * @param tokensPerStream number of tokens in each stream
 */
public record BenchSettings(String directAddress, String relayAddress, long relayPid, String entryAddress,
		long entryPid, String key, String plainService, String modelService, long seed, int seconds, int rounds,
		int connections, int streams, int tokensPerStream) {
}
