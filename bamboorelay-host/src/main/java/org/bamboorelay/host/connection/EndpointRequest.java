package org.bamboorelay.host.connection;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Objects;

import org.apache.hc.core5.http.Header;
import org.bamboorelay.core.request.EnginePriority;
import org.jspecify.annotations.Nullable;

/**
 * A request to one endpoint.
 * <p>
 * Immutable and thread-safe, provided that the bytes and the position of the body are not
 * modified.
 *
 * @param id the request id
 * @param method the method
 * @param host the host name that the caller addressed
 * @param path the path, including the query
 * @param headers the headers to forward
 * @param workspace the workspace; null if the request has none
 * @param endpoint the only endpoint that may execute the request
 * @param remainingMillis the remaining time to wait for a response, in milliseconds
 * @param afterEvent the id of the last known event, after which the stream is to resume;
 * 0 to start from the beginning
 * @param body the body, backed by an array
 * @param priority the priority at the endpoint, 0 first; {@link EnginePriority#NONE} if
 * the request names none
 */
public record EndpointRequest(String id, String method, String host, String path, List<Header> headers,
		@Nullable String workspace, String endpoint, long remainingMillis, long afterEvent, ByteBuffer body,
		int priority) {

	public EndpointRequest {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(method, "method");
		Objects.requireNonNull(path, "path");
		Objects.requireNonNull(body, "body");
		headers = List.copyOf(headers);
	}

	/**
	 * Creates a request that names no priority.
	 * @param id the request id
	 * @param method the method
	 * @param host the host name that the caller addressed
	 * @param path the path, including the query
	 * @param headers the headers to forward
	 * @param workspace the workspace; null if the request has none
	 * @param endpoint the only endpoint that may execute the request
	 * @param remainingMillis the remaining time to wait for a response, in milliseconds
	 * @param afterEvent the id of the last known event; 0 to start from the beginning
	 * @param body the body
	 */
	public EndpointRequest(String id, String method, String host, String path, List<Header> headers,
			@Nullable String workspace, String endpoint, long remainingMillis, long afterEvent, ByteBuffer body) {
		this(id, method, host, path, headers, workspace, endpoint, remainingMillis, afterEvent, body,
				EnginePriority.NONE);
	}

	/**
	 * Returns a copy with a priority.
	 * @param newPriority the priority at the endpoint
	 * @return the copy
	 */
	public EndpointRequest withPriority(int newPriority) {
		return new EndpointRequest(this.id, this.method, this.host, this.path, this.headers, this.workspace,
				this.endpoint, this.remainingMillis, this.afterEvent, this.body, newPriority);
	}

}
