package org.bamboorelay.control.connection;

import java.util.Objects;
import java.util.function.BooleanSupplier;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.bamboorelay.runtime.connection.HttpConnectionPool;
import org.bamboorelay.runtime.connection.HttpExchange;
import org.bamboorelay.runtime.connection.HttpFailure;
import org.bamboorelay.runtime.connection.HttpLimits;
import org.bamboorelay.runtime.request.Json;

/**
 * HTTP client for the platform and the endpoints: reads, and orders that are sent only
 * while a lease is held. It never retries.
 * <p>
 * Thread-safe.
 */
public final class PlatformClient {

	/**
	 * Response time-out in milliseconds. It must not exceed the time that a lease
	 * contender allows for the longest order of the previous holder.
	 */
	private static final int TIMEOUT_MILLIS = 2_000;

	private final HttpConnectionPool pool;

	private PlatformClient(HttpConnectionPool pool) {
		this.pool = Objects.requireNonNull(pool, "pool");
	}

	/**
	 * Creates a client.
	 * @param pool the connection pool
	 * @return the client
	 */
	public static PlatformClient of(HttpConnectionPool pool) {
		return new PlatformClient(pool);
	}

	/**
	 * Reads a JSON resource.
	 * @param address {@code ip:port}
	 * @param path the path with its query
	 * @return the response body or the failure
	 */
	public Either<PlatformFailure, JsonNode> get(String address, String path) {
		return exchange(address, new BasicClassicHttpRequest("GET", path), true);
	}

	/**
	 * Sends an order or a report. Its last byte is sent only if the lease is still held
	 * at that moment.
	 * @param address {@code ip:port}
	 * @param path the path
	 * @param body the body, encoded as JSON
	 * @param isLeaseHeld returns whether the lease is held
	 * @return the response body or the failure
	 */
	public Either<PlatformFailure, JsonNode> postWhileLeaseHeld(String address, String path, Object body,
			BooleanSupplier isLeaseHeld) {
		LeaseGuardedEntity entity = new LeaseGuardedEntity(Json.bytes(body), isLeaseHeld);
		ClassicHttpRequest request = new BasicClassicHttpRequest("POST", path);
		request.setEntity(entity);
		Either<PlatformFailure, JsonNode> outcome = exchange(address, request, false);
		return outcome.mapLeft((failure) -> entity.isAborted()
				? new PlatformFailure.LeaseLost("order to " + address + path) : failure);
	}

	private Either<PlatformFailure, JsonNode> exchange(String address, ClassicHttpRequest request, boolean reuse) {
		Either<HttpFailure, HttpExchange> result = this.pool.execute(address, request, reuse, TIMEOUT_MILLIS);
		if (result.isLeft()) {
			return Either.left(new PlatformFailure.NoResponse(result.getLeft().detail()));
		}
		try (HttpExchange exchange = result.get()) {
			int status = exchange.response().getCode();
			Either<HttpFailure, byte[]> body = exchange.readFully(HttpLimits.MAX_RESPONSE_BYTES);
			if (body.isLeft()) {
				return Either.left(new PlatformFailure.NoResponse(body.getLeft().detail()));
			}
			if (status >= HttpStatus.SC_REDIRECTION) {
				return Either.left(new PlatformFailure.Refused(status, address + " responded with status " + status));
			}
			if (body.get().length == 0) {
				return Either.right(Json.MAPPER.createObjectNode());
			}
			return Json.tree(body.get())
				.mapLeft((failure) -> new PlatformFailure.NoResponse(address + ": " + failure.detail()));
		}
	}

}
