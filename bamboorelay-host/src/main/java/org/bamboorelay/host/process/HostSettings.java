package org.bamboorelay.host.process;

import java.util.Objects;
import java.util.Set;

/**
 * What the platform tells a process at its start.
 * <p>
 * Immutable and thread-safe.
 *
 * @param host the host's name
 * @param domain its failure domain
 * @param domains all failure domains of the deployment
 * @param processors the processor of the host, in cores
 * @param frontAddress where callers connect, {@code ip:port}
 * @param readyAddress where readiness is asked for, {@code ip:port}
 * @param peerAddress where peers connect, {@code ip:port}
 * @param metricsAddress where metrics are served, {@code ip:port}
 * @param storeAddress the platform's store, {@code ip:port}
 * @param dutyAddress where duties report to, {@code ip:port}
 * @param leaseMillis the time in which two holders of the duties must not alternate
 * @param usageWindowMillis the length of a usage window
 * @param usageLateMillis how long after its end a window's report is due
 * @param graceMillis the time from the stop signal to the kill signal
 * @param statusMillis how long results stay readable after their submission
 */
public record HostSettings(String host, String domain, Set<String> domains, double processors, String frontAddress,
		String readyAddress, String peerAddress, String metricsAddress, String storeAddress, String dutyAddress,
		long leaseMillis, long usageWindowMillis, long usageLateMillis, long graceMillis, long statusMillis) {

	public HostSettings {
		Objects.requireNonNull(host, "host");
		Objects.requireNonNull(domain, "domain");
		domains = Set.copyOf(domains);
		if (processors <= 0) {
			throw new IllegalArgumentException("processors must be positive: " + processors);
		}
		if (usageWindowMillis <= 0 || leaseMillis <= 0) {
			throw new IllegalArgumentException(
					"times must be positive: window " + usageWindowMillis + " ms, lease " + leaseMillis + " ms");
		}
	}

}
