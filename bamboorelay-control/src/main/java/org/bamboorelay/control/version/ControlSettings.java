package org.bamboorelay.control.version;

import java.util.List;
import java.util.Objects;
import java.util.regex.Pattern;

import org.bamboorelay.core.version.FailureDomain;
import org.bamboorelay.core.version.HostId;

/**
 * Settings of a control process.
 * <p>
 * Immutable and thread-safe.
 *
 * @param deployment the name of the deployment
 * @param host the host that the process runs on
 * @param failureDomain the failure domain of the host
 * @param objectApi {@code ip:port} of the object API
 * @param ordering {@code ip:port} of the ordering interface
 * @param usageIntake {@code ip:port} of the usage intake
 * @param hostList {@code ip:port} of the host list
 * @param weightStoreRate loads that the weight store serves, in loads a second
 * @param entries {@code ip:port} of the peer ports of the domain's entry hosts, used
 * until an inventory is known
 * @param httpAddress {@code ip:port} for health and metrics
 */
public record ControlSettings(String deployment, HostId host, FailureDomain failureDomain, String objectApi,
		String ordering, String usageIntake, String hostList, double weightStoreRate, List<String> entries,
		String httpAddress) {

	private static final Pattern ADDRESS = Pattern.compile("(\\d{1,3}\\.){3}\\d{1,3}:\\d{1,5}");

	public ControlSettings {
		Objects.requireNonNull(deployment, "deployment");
		Objects.requireNonNull(host, "host");
		Objects.requireNonNull(failureDomain, "failure_domain");
		address("object_api", objectApi);
		address("ordering", ordering);
		address("usage_intake", usageIntake);
		address("host_list", hostList);
		address("http_address", httpAddress);
		Objects.requireNonNull(entries, "entries");
		entries.forEach((entry) -> address("entries", entry));
		entries = List.copyOf(entries);
		if (!(weightStoreRate > 0)) {
			throw new IllegalArgumentException("weight_store_rate must be above 0: " + weightStoreRate);
		}
	}

	private static void address(String key, String value) {
		if (value == null || !ADDRESS.matcher(value).matches()) {
			throw new IllegalArgumentException(
					key + ": found \"" + value + "\", allowed: an IPv4 address and a port, such as 127.0.0.1:8080");
		}
	}

}
