package org.bamboorelay.core.version;

import java.util.List;
import java.util.Objects;

/**
 * What the operators say about a service.
 * <p>
 * Immutable and thread-safe.
 *
 * @param name the service's name
 * @param healthPath the path of its health check
 * @param maxConnections the connections that one endpoint takes from all callers
 * @param coldPerSecond the requests a second that a cold endpoint bears; 0 for no limit
 * @param models the models that its engines hold; empty for a plain service
 * @param minEndpoints the fewest endpoints to order in one failure domain
 * @param maxEndpoints the most endpoints to order in one failure domain; 0 where none can
 * be ordered
 */
public record ServiceRule(String name, String healthPath, int maxConnections, double coldPerSecond, List<String> models,
		int minEndpoints, int maxEndpoints) {

	public ServiceRule {
		Objects.requireNonNull(name, "name");
		Objects.requireNonNull(healthPath, "healthPath");
		models = List.copyOf(models);
	}

	/**
	 * Tells whether the platform starts endpoints of this service on order.
	 * @return whether endpoints can be ordered
	 */
	public boolean isScalable() {
		return this.maxEndpoints > 0;
	}

}
