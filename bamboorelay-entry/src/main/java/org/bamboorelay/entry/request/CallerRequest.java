package org.bamboorelay.entry.request;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;

import org.bamboorelay.core.version.WorkspaceId;
import org.jspecify.annotations.Nullable;

/**
 * An authenticated request of a caller. Its headers contain neither the key nor cookies.
 * <p>
 * Immutable and thread-safe, provided that the body is not modified.
 *
 * @param requestId the unique request id, also sent to endpoints
 * @param method the HTTP method
 * @param path the path without its query
 * @param query the raw query; null if there is none
 * @param headers header values by case-insensitive name
 * @param body the body; empty if there is none
 * @param workspace the workspace of the key; null on open routes
 * @param stillAllowed tells at any time whether the key is still valid for the workspace
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
	 * @param name the case-insensitive name
	 * @return the value, if the caller sent the header
	 */
	public Optional<String> header(String name) {
		return Optional.ofNullable(this.headers.get(name));
	}

}
