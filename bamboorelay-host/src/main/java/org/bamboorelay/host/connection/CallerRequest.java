package org.bamboorelay.host.connection;

import java.util.List;
import java.util.Objects;

import org.apache.hc.core5.http.Header;
import org.jspecify.annotations.Nullable;

/**
 * The head of a caller's request.
 * <p>
 * Immutable and thread-safe.
 *
 * @param id the request id chosen by the caller; empty if it sent none
 * @param method the method
 * @param host the host name that selects the route
 * @param path the path, including the query
 * @param key the caller's API key; null if it sent none
 * @param remainingMillis the time for which the caller waits, in milliseconds;
 * {@link Long#MAX_VALUE} if it does not specify one
 * @param waitMillis the time for which a response may be delayed until a result is
 * available, in milliseconds
 * @param forwardedHeaders the headers to forward to the endpoint, in order
 */
public record CallerRequest(String id, String method, String host, String path, @Nullable String key,
		long remainingMillis, long waitMillis, List<Header> forwardedHeaders) {

	public CallerRequest {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(method, "method");
		Objects.requireNonNull(host, "host");
		Objects.requireNonNull(path, "path");
		forwardedHeaders = List.copyOf(forwardedHeaders);
	}

}
