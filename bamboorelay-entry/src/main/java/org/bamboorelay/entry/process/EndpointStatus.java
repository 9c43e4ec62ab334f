package org.bamboorelay.entry.process;

import org.bamboorelay.core.version.EndpointId;
import org.bamboorelay.core.version.FailureDomain;
import org.bamboorelay.core.version.HostId;
import org.bamboorelay.core.version.ServiceId;
import org.jspecify.annotations.Nullable;

/**
 * Status of an endpoint as seen by one entry host. Written as JSON for operators under
 * the names of its components.
 * <p>
 * Immutable and thread-safe.
 *
 * @param service the service
 * @param endpoint the endpoint
 * @param domain the failure domain
 * @param owner the host that grants its credits; null if no host of the failure domain is
 * live
 * @param accepting whether it accepts requests, as far as this host knows
 * @param ejected whether this host ejected it after repeated failures
 * @param allowance its concurrency limit; 0 at hosts that do not own it
 * @param lent its outstanding credits; 0 at hosts that do not own it
 */
public record EndpointStatus(ServiceId service, EndpointId endpoint, FailureDomain domain, @Nullable HostId owner,
		boolean accepting, boolean ejected, int allowance, int lent) {
}
