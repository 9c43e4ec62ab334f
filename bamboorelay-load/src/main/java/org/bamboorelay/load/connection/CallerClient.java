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
 * HTTP client of callers, trainers and tests. Truncated responses are reported as
 * failures.
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
	 * @return the complete response, or the failure
	 */
	public Either<HttpFailure, ReceivedResponse> send(String address, String method, String path,
			Map<String, String> headers) {
		return sendRequest(address, new BasicClassicHttpRequest(method, path), headers);
	}

	/**
	 * Sends a request with a JSON body.
	 * @param address {@code ip:port}
	 * @param method the HTTP method
	 * @param path path and query
	 * @param headers header fields
	 * @param body the body, serialized as JSON
	 * @return the complete response, or the failure
	 */
	public Either<HttpFailure, ReceivedResponse> send(String address, String method, String path,
			Map<String, String> headers, Object body) {
		BasicClassicHttpRequest request = new BasicClassicHttpRequest(method, path);
		request.setEntity(new ByteArrayEntity(Json.bytes(body), ContentType.APPLICATION_JSON));
		return sendRequest(address, request, headers);
	}

	/**
	 * Returns the authorization header of a caller.
	 * @param key the API key of the caller
	 * @return the header field
	 */
	public static Map<String, String> bearer(String key) {
		return Map.of(HttpHeaders.AUTHORIZATION, "Bearer " + key);
	}

	@Override
	public void close() {
		this.pool.close();
	}

	private Either<HttpFailure, ReceivedResponse> sendRequest(String address, ClassicHttpRequest request,
			Map<String, String> headers) {
		headers.forEach(request::setHeader);
		return this.pool.execute(address, request, true, READ_TIMEOUT_MILLIS).flatMap((exchange) -> {
			try (exchange) {
				return readResponse(exchange);
			}
		});
	}

	private static Either<HttpFailure, ReceivedResponse> readResponse(HttpExchange exchange) {
		int status = exchange.response().getCode();
		return exchange.readFully(HttpLimits.MAX_RESPONSE_BYTES).map((body) -> new ReceivedResponse(status, body));
	}

}
