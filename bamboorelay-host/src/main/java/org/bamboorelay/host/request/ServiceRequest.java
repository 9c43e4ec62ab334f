package org.bamboorelay.host.request;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Objects;
import java.util.function.Consumer;

import org.apache.hc.core5.http.Header;
import org.bamboorelay.core.request.RequestOrigin;
import org.jspecify.annotations.Nullable;

/**
 * A request to a service, which any endpoint of the service may answer.
 * <p>
 * Immutable and thread-safe, provided that the bytes and the position of the body are not
 * modified.
 *
 * @param origin where the request comes from
 * @param id the request id
 * @param method the method
 * @param host the host name that the caller addressed
 * @param path the path, including the query
 * @param headers the headers to forward to the endpoint
 * @param body the body, backed by an array
 * @param workspace the workspace; null for none
 * @param route the name of the route
 * @param service the service
 * @param idempotent whether the request may be executed more than once
 * @param maxAttempts the maximum number of endpoints to send it to, one after another
 * @param maxEndpoints the maximum number of endpoints to send it to if it is hedged; at
 * least {@code maxAttempts}
 * @param deadlineMillis the deadline, in milliseconds of the monotonic clock of the
 * process
 * @param onAbort receives, for each attempt, a task that aborts all attempts under way
 * @param onExtraRun called if a hedged copy may have been executed besides another
 * attempt; possibly by another thread, after the response
 */
public record ServiceRequest(RequestOrigin origin, String id, String method, String host, String path,
		List<Header> headers, ByteBuffer body, @Nullable String workspace, String route, String service,
		boolean idempotent, int maxAttempts, int maxEndpoints, long deadlineMillis, Consumer<Runnable> onAbort,
		Runnable onExtraRun) {

	private static final int FINGERPRINT_BYTES = 12;

	public ServiceRequest {
		Objects.requireNonNull(origin, "origin");
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(route, "route");
		Objects.requireNonNull(service, "service");
		Objects.requireNonNull(onAbort, "onAbort");
		Objects.requireNonNull(onExtraRun, "onExtraRun");
		if (maxEndpoints < maxAttempts) {
			throw new IllegalArgumentException(
					"maxEndpoints must be at least maxAttempts " + maxAttempts + ": " + maxEndpoints);
		}
		headers = List.copyOf(headers);
	}

	/**
	 * Returns a fingerprint that repetitions of the request share, whatever their id.
	 * @return a hash of the method, the address, the workspace and the body
	 */
	public String fingerprint() {
		try {
			MessageDigest digest = MessageDigest.getInstance("SHA-256");
			String head = String.join("\n", this.method, String.valueOf(this.host), this.path,
					String.valueOf(this.workspace), "");
			digest.update(head.getBytes(StandardCharsets.UTF_8));
			digest.update(this.body.duplicate());
			return HexFormat.of().formatHex(digest.digest(), 0, FINGERPRINT_BYTES);
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is missing, which each Java platform provides", ex);
		}
	}

}
