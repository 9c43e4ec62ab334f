package org.bamboorelay.entry.version;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

import org.bamboorelay.core.version.ConfigurationFault;
import org.bamboorelay.core.version.FailureDomain;
import org.bamboorelay.core.version.HostId;

/**
 * Settings of an entry process. Everything else comes from the configuration.
 * <p>
 * Immutable and thread-safe.
 *
 * @param deployment name of the deployment
 * @param host name of this host
 * @param failureDomain the failure domain that this host runs in
 * @param httpAddress {@code ip:port} to listen on for callers
 * @param peerAddress {@code ip:port} to listen on for peer links
 * @param objectApi {@code ip:port} of the object API
 * @param operatorToken what operators send as bearer token
 * @param leaveDelayMs how long a leaving process goes on accepting, in milliseconds
 * @param peers peer addresses to ask before the inventory is known
 */
public record EntrySettings(String deployment, String host, String failureDomain, String httpAddress,
		String peerAddress, String objectApi, String operatorToken, long leaveDelayMs, List<String> peers) {

	private static final Pattern ADDRESS = Pattern.compile("(\\d{1,3}\\.){3}\\d{1,3}:(\\d{1,5})");

	private static final int MAX_PORT = 65_535;

	private static final int MIN_TOKEN_LENGTH = 8;

	private static final long MAX_LEAVE_DELAY_MILLIS = 600_000;

	public EntrySettings {
		peers = (peers != null) ? List.copyOf(peers) : List.of();
	}

	/**
	 * Returns this host.
	 * @return the name
	 */
	public HostId hostId() {
		return HostId.of(this.host);
	}

	/**
	 * Returns the failure domain of this host.
	 * @return the name
	 */
	public FailureDomain domain() {
		return FailureDomain.of(this.failureDomain);
	}

	/**
	 * Checks all values.
	 * @return the faults, empty where there are none; never with the operator token
	 */
	public List<ConfigurationFault> faults() {
		List<ConfigurationFault> faults = new ArrayList<>();
		if (this.deployment == null || this.deployment.isBlank()) {
			faults.add(new ConfigurationFault("deployment", String.valueOf(this.deployment), "a name"));
		}
		identifier("host", this.host, HostId::of, faults);
		identifier("failure_domain", this.failureDomain, FailureDomain::of, faults);
		address("http_address", this.httpAddress, faults);
		address("peer_address", this.peerAddress, faults);
		address("object_api", this.objectApi, faults);
		this.peers.forEach((peer) -> address("peers", peer, faults));
		if (this.operatorToken == null || this.operatorToken.length() < MIN_TOKEN_LENGTH) {
			faults.add(new ConfigurationFault("operator_token", "(not shown)",
					"at least " + MIN_TOKEN_LENGTH + " characters"));
		}
		if (this.leaveDelayMs < 0 || this.leaveDelayMs > MAX_LEAVE_DELAY_MILLIS) {
			faults.add(new ConfigurationFault("leave_delay_ms", Long.toString(this.leaveDelayMs),
					"0 to " + MAX_LEAVE_DELAY_MILLIS));
		}
		return faults;
	}

	private static void identifier(String key, String value, java.util.function.Function<String, ?> parse,
			List<ConfigurationFault> faults) {
		try {
			parse.apply(value);
		}
		catch (IllegalArgumentException | NullPointerException ex) {
			faults.add(new ConfigurationFault(key, String.valueOf(value),
					"lower-case letters, digits, dots and inner hyphens"));
		}
	}

	private static void address(String key, String value, List<ConfigurationFault> faults) {
		if (value == null || !ADDRESS.matcher(value).matches()
				|| Integer.parseInt(value.substring(value.lastIndexOf(':') + 1)) > MAX_PORT) {
			faults.add(new ConfigurationFault(key, String.valueOf(value),
					"an IPv4 address and a port, such as 127.0.0.1:8080"));
		}
	}

}
