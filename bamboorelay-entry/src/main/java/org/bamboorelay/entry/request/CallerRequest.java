package org.bamboorelay.entry.request;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;

import org.bamboorelay.core.version.WorkspaceId;
import org.jspecify.annotations.Nullable;

/**
 * An authenticated request of a caller. Its headers hold neither the key nor cookies.
 * <p>
 * Immutable as long as nobody writes to the body; thread-safe under the same condition.
 *
 * @param requestId unique id, also sent to endpoints
 * @param method the HTTP method
 * @param path the path without its query
 * @param query the raw query; null where there is none
 * @param headers header values by name, in any case
 * @param body the body, empty where there is none
 * @param workspace the workspace of the key; null on open routes
 * @param stillAllowed tells at any later time whether the key still works
 */
public record CallerRequest(String requestId, String method, String path, @Nullable String query,
		Map<String, String> headers, byte[] body, @Nullable WorkspaceId workspace, BooleanSupplier stillAllowed) {

	public CallerRequest {
		Objects.requireNonNull(requestId, "requestId");
		Objects.requireNonNull(method, "method");
		Objects.requireNonNull(path, "path");
		Objects.requireNonNull(body, "body");
		Objects.requireNonNull(stillAllowed, "stillAllowed");
		Map<String, String> byName = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
		byName.putAll(headers);
		headers = byName;
	}

	/**
	 * Finds a header.
	 * @param name the name, in any case
	 * @return the value, if the caller sent the header
	 */
	public Optional<String> header(String name) {
		return Optional.ofNullable(this.headers.get(name));
	}

}
