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
 * @param id the request id that the caller chose; empty where it sent none
 * @param method the method
 * @param host the host name that selects the route
 * @param path the path with its query
 * @param key the caller's key; null where it sent none
 * @param timeLeftMillis how long the caller waits, in milliseconds;
 * {@link Long#MAX_VALUE} where it does not say
 * @param waitMillis how long an answer may be held for a result, in milliseconds
 * @param passedHeaders the headers that concern the endpoint, in order
 */
public record CallerRequest(String id, String method, String host, String path, @Nullable String key,
		long timeLeftMillis, long waitMillis, List<Header> passedHeaders) {

	public CallerRequest {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(method, "method");
		Objects.requireNonNull(host, "host");
		Objects.requireNonNull(path, "path");
		passedHeaders = List.copyOf(passedHeaders);
	}

}
