package org.bamboorelay.entry.version;

import java.util.List;
import java.util.Objects;

import org.bamboorelay.core.version.FailureDomain;
import org.bamboorelay.core.version.HostId;

/**
 * Settings of an entry process that are not part of the configuration. Addresses and
 * names are validated when the file is read.
 * <p>
 * Immutable and thread-safe.
 *
 * @param deployment name of the deployment
 * @param host name of this host
 * @param failureDomain the failure domain that this host runs in
 * @param httpAddress {@code ip:port} to listen on for callers
 * @param peerAddress {@code ip:port} to listen on for peer links
 * @param objectApiAddress {@code ip:port} of the object API
 * @param operatorToken the bearer token of operators
 * @param leaveDelayMillis how long a leaving process continues to accept requests, in
 * milliseconds
 * @param peerAddresses {@code ip:port} of peers to connect to before the inventory is
 * known
 */
public record EntrySettings(String deployment, HostId host, FailureDomain failureDomain, String httpAddress,
		String peerAddress, String objectApiAddress, String operatorToken, long leaveDelayMillis,
		List<String> peerAddresses) {

	private static final int MIN_TOKEN_LENGTH = 8;

	private static final long MAX_LEAVE_DELAY_MILLIS = 600_000;

	public EntrySettings {
		Objects.requireNonNull(deployment, "deployment");
		Objects.requireNonNull(host, "host");
		Objects.requireNonNull(failureDomain, "failure_domain");
		peerAddresses = List.copyOf(peerAddresses);
		if (deployment.isBlank()) {
			throw new IllegalArgumentException("deployment must not be blank");
		}
		if (operatorToken.length() < MIN_TOKEN_LENGTH) {
			throw new IllegalArgumentException("operator_token must have at least " + MIN_TOKEN_LENGTH
					+ " characters, found " + operatorToken.length());
		}
		if (leaveDelayMillis < 0 || leaveDelayMillis > MAX_LEAVE_DELAY_MILLIS) {
			throw new IllegalArgumentException(
					"leave_delay must be 0 to " + MAX_LEAVE_DELAY_MILLIS + " ms: " + leaveDelayMillis);
		}
	}

}
