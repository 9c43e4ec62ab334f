package org.bamboorelay.entry.request;

import java.util.List;
import java.util.Objects;

import org.bamboorelay.core.version.EndpointId;
import org.bamboorelay.core.version.LineId;
import org.bamboorelay.core.version.ServiceId;
import org.bamboorelay.core.version.WorkspaceId;
import org.jspecify.annotations.Nullable;

/**
 * The properties of a request that determine its routing.
 * <p>
 * Immutable and thread-safe.
 *
 * @param service the service
 * @param workspace the workspace; null on open routes
 * @param interactive whether the request is interactive; false for rollout samples
 * @param repeatable whether the request may be resumed or repeated, so that a cheap
 * endpoint can serve it
 * @param prefixHash hash of the prompt prefix, salted by workspace; 0 for none
 * @param expectedTokens the expected cost, in tokens; 1 for plain requests
 * @param line the weight line; null for plain requests
 * @param excluded endpoints at which earlier attempts of this request failed
 */
public record RouteRequest(ServiceId service, @Nullable WorkspaceId workspace, boolean interactive, boolean repeatable,
		long prefixHash, long expectedTokens, @Nullable LineId line, List<EndpointId> excluded) {

	public RouteRequest {
		Objects.requireNonNull(service, "service");
		excluded = List.copyOf(excluded);
		if (expectedTokens <= 0) {
			throw new IllegalArgumentException("expectedTokens must be positive, got " + expectedTokens);
		}
	}

}
