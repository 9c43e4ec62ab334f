package org.bamboorelay.core.version;

import java.util.List;
import java.util.Objects;

/**
 * Settings of a service.
 * <p>
 * Immutable and thread-safe.
 *
 * @param name name of the service
 * @param healthPath path of the health check
 * @param maxConnections maximum number of connections of one endpoint, over all callers
 * @param maxColdRequestsPerSecond maximum request rate of a cold endpoint, in requests
 * per second; 0 for no limit
 * @param models the models that its engines serve; empty for a plain service
 * @param minEndpoints minimum number of endpoints per failure domain
 * @param maxEndpoints maximum number of endpoints per failure domain; 0 if the service is
 * not scalable
 */
public record ServiceRule(String name, String healthPath, int maxConnections, double maxColdRequestsPerSecond,
		List<String> models, int minEndpoints, int maxEndpoints) {

	public ServiceRule {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(healthPath, "healthPath");
		models = List.copyOf(models);
	}

	/**
	 * Returns whether the platform starts endpoints of this service on request.
	 * @return true if endpoints can be ordered
	 */
	public boolean isScalable() {
		return this.maxEndpoints > 0;
	}

}
