package org.bamboorelay.host.connection;

import java.util.List;
import java.util.Objects;

import org.apache.hc.core5.http.Header;
import org.jspecify.annotations.Nullable;

/**
 * A request to one endpoint.
 * <p>
 * Immutable as long as nobody writes to the body; thread-safe under the same condition.
 *
 * @param id the request id
 * @param method the method
 * @param host the host name that the caller used
 * @param path the path with its query
 * @param headers further headers
 * @param workspace the workspace; null where the request has none
 * @param endpoint the endpoint that alone may run the request
 * @param timeLeftMillis how long an answer is waited for, in milliseconds
 * @param afterEvent the last event that is known, so that a stream goes on after it; 0 to
 * begin anew
 * @param body the body
 */
public record EndpointCall(String id, String method, String host, String path, List<Header> headers,
		@Nullable String workspace, String endpoint, long timeLeftMillis, long afterEvent, byte[] body) {

	public EndpointCall {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(method, "method");
		Objects.requireNonNull(path, "path");
		Objects.requireNonNull(body, "body");
		headers = List.copyOf(headers);
	}

}
