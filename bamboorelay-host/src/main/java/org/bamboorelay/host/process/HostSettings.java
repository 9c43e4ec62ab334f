package org.bamboorelay.host.process;

import java.util.Objects;
import java.util.Set;

/**
 * Settings that the platform passes to the process at its start.
 * <p>
 * Immutable and thread-safe.
 *
 * @param host the name of the host
 * @param domain its failure domain
 * @param domains all failure domains of the deployment
 * @param processors the processor capacity of the host, in cores
 * @param frontAddress where callers connect, {@code ip:port}
 * @param readyAddress where readiness is served, {@code ip:port}
 * @param peerAddress where peers connect, {@code ip:port}
 * @param metricsAddress where metrics are served, {@code ip:port}
 * @param storeAddress the address of the platform's store, {@code ip:port}
 * @param dutyAddress where the platform accepts calls of duties, {@code ip:port}
 * @param leaseMillis the time within which the duties must not alternate between two
 * holders
 * @param usageWindowMillis the length of a usage window
 * @param usageLateMillis the time after the end of a window by which its report is due
 * @param graceMillis the time between the termination signal and the kill signal
 * @param statusMillis the time for which results stay readable after their submission
 * @param maxDescriptors the number of descriptors that the process may open; 0 if not
 * known
 * @param memoryBytes the memory of the machine, in bytes; 0 if not known
 */
public record HostSettings(String host, String domain, Set<String> domains, double processors, String frontAddress,
		String readyAddress, String peerAddress, String metricsAddress, String storeAddress, String dutyAddress,
		long leaseMillis, long usageWindowMillis, long usageLateMillis, long graceMillis, long statusMillis,
		int maxDescriptors, long memoryBytes) {

	public HostSettings {
		Objects.requireNonNull(host, "host");
		Objects.requireNonNull(domain, "domain");
		domains = Set.copyOf(domains);
		if (processors <= 0) {
			throw new IllegalArgumentException("processors must be positive: " + processors);
		}
		if (usageWindowMillis <= 0 || leaseMillis <= 0) {
			throw new IllegalArgumentException("durations must be positive: usage window " + usageWindowMillis
					+ " ms, lease " + leaseMillis + " ms");
		}
		if (maxDescriptors < 0 || memoryBytes < 0) {
			throw new IllegalArgumentException("resources must not be negative: " + maxDescriptors + " descriptors, "
					+ memoryBytes + " bytes of memory");
		}
	}

}
