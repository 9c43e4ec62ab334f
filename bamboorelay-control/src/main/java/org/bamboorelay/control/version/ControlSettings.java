package org.bamboorelay.control.version;

import java.util.List;
import java.util.Objects;

import org.bamboorelay.core.version.FailureDomain;
import org.bamboorelay.core.version.HostId;

/**
 * Settings of a control process. Addresses are validated when the file is read.
 * <p>
 * Immutable and thread-safe.
 *
 * @param deployment the name of the deployment
 * @param host the host that the process runs on
 * @param failureDomain the failure domain of the host
 * @param objectApiAddress {@code ip:port} of the object API
 * @param orderingAddress {@code ip:port} of the ordering interface
 * @param usageIntakeAddress {@code ip:port} of the usage intake
 * @param hostListAddress {@code ip:port} of the host list
 * @param weightStoreRate weight loads per second that the weight store can serve
 * @param entryAddresses {@code ip:port} of the peer ports of the entry hosts in the
 * domain, used until an inventory has been read
 * @param httpAddress {@code ip:port} on which health and metrics are served
 */
public record ControlSettings(String deployment, HostId host, FailureDomain failureDomain, String objectApiAddress,
		String orderingAddress, String usageIntakeAddress, String hostListAddress, double weightStoreRate,
		List<String> entryAddresses, String httpAddress) {

	public ControlSettings {
		Objects.requireNonNull(deployment, "deployment");
		Objects.requireNonNull(host, "host");
		Objects.requireNonNull(failureDomain, "failure_domain");
		entryAddresses = List.copyOf(entryAddresses);
		if (!(weightStoreRate > 0)) {
			throw new IllegalArgumentException("weight_store_rate must be above 0: " + weightStoreRate);
		}
	}

}
