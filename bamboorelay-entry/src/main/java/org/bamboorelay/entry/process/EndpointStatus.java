package org.bamboorelay.entry.process;

import org.bamboorelay.core.version.EndpointId;
import org.bamboorelay.core.version.FailureDomain;
import org.bamboorelay.core.version.HostId;
import org.bamboorelay.core.version.ServiceId;
import org.jspecify.annotations.Nullable;

/**
 * State of an endpoint as one entry host sees it, for operators.
 * <p>
 * Immutable and thread-safe.
 *
 * @param service the service
 * @param endpoint the endpoint
 * @param domain the failure domain
 * @param owner the host that lends its credits; null where no host of the domain lives
 * @param accepting whether it takes new work, as far as this host knows
 * @param ejected whether this host ejected it for repeated failures
 * @param allowance the allowance; 0 at hosts that do not own it
 * @param lent credits that are out; 0 at hosts that do not own it
 */
public record EndpointStatus(ServiceId service, EndpointId endpoint, FailureDomain domain, @Nullable HostId owner,
		boolean accepting, boolean ejected, int allowance, int lent) {
}
