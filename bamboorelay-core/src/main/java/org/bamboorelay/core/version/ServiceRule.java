package org.bamboorelay.core.version;

import java.util.List;
import java.util.Objects;

import org.jspecify.annotations.Nullable;

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
 * @param tokenCapacity number of tokens that fit into the memory of one of its engines; 0
 * if it is not limited
 * @param spotScaling times and prices of spot endpoints; null if the service has none
 */
public record ServiceRule(String name, String healthPath, int maxConnections, double maxColdRequestsPerSecond,
		List<String> models, int minEndpoints, int maxEndpoints, long tokenCapacity,
		@Nullable SpotScaling spotScaling) {

	public ServiceRule {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(healthPath, "healthPath");
		models = List.copyOf(models);
		if (tokenCapacity < 0) {
			throw new IllegalArgumentException("tokenCapacity must not be negative: " + tokenCapacity);
		}
	}

	/**
	 * Creates the settings of a service without spot endpoints, whose engines have no
	 * limited memory.
	 * @param name name of the service
	 * @param healthPath path of the health check
	 * @param maxConnections maximum number of connections of one endpoint
	 * @param maxColdRequestsPerSecond maximum request rate of a cold endpoint
	 * @param models the models that its engines serve
	 * @param minEndpoints minimum number of endpoints per failure domain
	 * @param maxEndpoints maximum number of endpoints per failure domain
	 */
	public ServiceRule(String name, String healthPath, int maxConnections, double maxColdRequestsPerSecond,
			List<String> models, int minEndpoints, int maxEndpoints) {
		this(name, healthPath, maxConnections, maxColdRequestsPerSecond, models, minEndpoints, maxEndpoints, 0, null);
	}

	/**
	 * Returns a copy without spot endpoints.
	 * @return the rule of a service that uses on-demand endpoints only
	 */
	public ServiceRule withoutSpot() {
		return new ServiceRule(this.name, this.healthPath, this.maxConnections, this.maxColdRequestsPerSecond,
				this.models, this.minEndpoints, this.maxEndpoints, this.tokenCapacity, null);
	}

	/**
	 * Returns whether the platform starts endpoints of this service on request.
	 * @return true if endpoints can be ordered
	 */
	public boolean isScalable() {
		return this.maxEndpoints > 0;
	}

}
