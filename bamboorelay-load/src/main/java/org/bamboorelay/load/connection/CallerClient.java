package org.bamboorelay.load.connection;

import java.util.Map;

import io.vavr.control.Either;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.bamboorelay.runtime.connection.HttpConnectionPool;
import org.bamboorelay.runtime.connection.HttpExchange;
import org.bamboorelay.runtime.connection.HttpFailure;
import org.bamboorelay.runtime.connection.HttpLimits;
import org.bamboorelay.runtime.request.Json;

/**
 * Sends requests as a caller, a trainer or a test does, and takes only whole answers.
 * <p>
 * Thread-safe.
 */
public final class CallerClient implements AutoCloseable {

	private static final int READ_TIMEOUT_MILLIS = 30_000;

	private final HttpConnectionPool pool = new HttpConnectionPool();

	/**
	 * Sends a request without a body.
	 * @param address {@code ip:port}
	 * @param method the HTTP method
	 * @param path path and query
	 * @param headers header fields
	 * @return the whole answer
	 */
	public Either<HttpFailure, Answer> send(String address, String method, String path, Map<String, String> headers) {
		return exchange(address, new BasicClassicHttpRequest(method, path), headers);
	}

	/**
	 * Sends a request with a JSON body.
	 * @param address {@code ip:port}
	 * @param method the HTTP method
	 * @param path path and query
	 * @param headers header fields
	 * @param body written as JSON
	 * @return the whole answer
	 */
	public Either<HttpFailure, Answer> send(String address, String method, String path, Map<String, String> headers,
			Object body) {
		BasicClassicHttpRequest request = new BasicClassicHttpRequest(method, path);
		request.setEntity(new ByteArrayEntity(Json.bytes(body), ContentType.APPLICATION_JSON));
		return exchange(address, request, headers);
	}

	/**
	 * Returns the header of a caller's key.
	 * @param key the key
	 * @return the header field
	 */
	public static Map<String, String> bearer(String key) {
		return Map.of(HttpHeaders.AUTHORIZATION, "Bearer " + key);
	}

	@Override
	public void close() {
		this.pool.close();
	}

	private Either<HttpFailure, Answer> exchange(String address, ClassicHttpRequest request,
			Map<String, String> headers) {
		headers.forEach(request::setHeader);
		return this.pool.execute(address, request, true, READ_TIMEOUT_MILLIS).flatMap((exchange) -> {
			try (exchange) {
				return read(exchange);
			}
		});
	}

	private static Either<HttpFailure, Answer> read(HttpExchange exchange) {
		int status = exchange.response().getCode();
		return exchange.readWhole(HttpLimits.MAX_ANSWER_BYTES).map((body) -> new Answer(status, body));
	}

}
