package org.bamboorelay.host.request;

import java.util.List;
import java.util.Objects;
import java.util.function.Consumer;

import org.apache.hc.core5.http.Header;
import org.jspecify.annotations.Nullable;

/**
 * A request that is to be answered by one endpoint of a service.
 * <p>
 * Immutable as long as nobody writes to the body; thread-safe under the same condition.
 *
 * @param id the request id
 * @param method the method
 * @param host the host name that the caller used
 * @param path the path with its query
 * @param headers headers for the endpoint
 * @param body the body
 * @param workspace the workspace; null for none
 * @param service the service
 * @param idempotent whether the request may run more than once
 * @param maxAttempts the most endpoints that it may be sent to
 * @param endMillis when its time is up, by the monotonic clock of the process
 * @param onAbort takes, for each attempt, a task that breaks it off
 */
public record CallOrder(String id, String method, String host, String path, List<Header> headers, byte[] body,
		@Nullable String workspace, String service, boolean idempotent, int maxAttempts, long endMillis,
		Consumer<Runnable> onAbort) {

	public CallOrder {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(service, "service");
		Objects.requireNonNull(onAbort, "onAbort");
		headers = List.copyOf(headers);
	}

}
