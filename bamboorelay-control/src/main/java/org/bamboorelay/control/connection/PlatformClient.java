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
 * Calls on the platform and on endpoints: reads, and orders that go out only while a
 * lease is held. It never retries.
 * <p>
 * Thread-safe.
 */
public final class PlatformClient {

	/**
	 * The longest wait for an answer, in milliseconds; no longer than a contender waits
	 * for the longest order.
	 */
	private static final int TIMEOUT_MILLIS = 2_000;

	private final HttpConnectionPool pool;

	private PlatformClient(HttpConnectionPool pool) {
		this.pool = Objects.requireNonNull(pool, "pool");
	}

	/**
	 * Creates a client.
	 * @param pool the connections
	 * @return the client
	 */
	public static PlatformClient of(HttpConnectionPool pool) {
		return new PlatformClient(pool);
	}

	/**
	 * Reads JSON.
	 * @param address {@code ip:port}
	 * @param path the path with its query
	 * @return the answer
	 */
	public Either<PlatformFailure, JsonNode> get(String address, String path) {
		return exchange(address, new BasicClassicHttpRequest("GET", path), true);
	}

	/**
	 * Sends an order or a report. Its last byte goes out only if the check passes then.
	 * @param address {@code ip:port}
	 * @param path the path
	 * @param body written as JSON
	 * @param allowed tells whether the lease is held
	 * @return the answer
	 */
	public Either<PlatformFailure, JsonNode> order(String address, String path, Object body, BooleanSupplier allowed) {
		GuardedEntity entity = new GuardedEntity(Json.bytes(body), allowed);
		ClassicHttpRequest request = new BasicClassicHttpRequest("POST", path);
		request.setEntity(entity);
		Either<PlatformFailure, JsonNode> answer = exchange(address, request, false);
		return answer.mapLeft((failure) -> entity.isRefused()
				? new PlatformFailure.LeaseLost("order to " + address + path) : failure);
	}

	private Either<PlatformFailure, JsonNode> exchange(String address, ClassicHttpRequest request, boolean reuse) {
		Either<HttpFailure, HttpExchange> result = this.pool.execute(address, request, reuse, TIMEOUT_MILLIS);
		if (result.isLeft()) {
			return Either.left(new PlatformFailure.NoAnswer(result.getLeft().detail()));
		}
		try (HttpExchange exchange = result.get()) {
			int status = exchange.response().getCode();
			Either<HttpFailure, byte[]> body = exchange.readWhole(HttpLimits.MAX_ANSWER_BYTES);
			if (body.isLeft()) {
				return Either.left(new PlatformFailure.NoAnswer(body.getLeft().detail()));
			}
			if (status >= HttpStatus.SC_REDIRECTION) {
				return Either.left(new PlatformFailure.Refused(status, address + " answered " + status));
			}
			if (body.get().length == 0) {
				return Either.right(Json.MAPPER.createObjectNode());
			}
			return Json.tree(body.get())
				.mapLeft((failure) -> new PlatformFailure.NoAnswer(address + ": " + failure.detail()));
		}
	}

}
