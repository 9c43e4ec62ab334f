package org.bamboorelay.standins.process;

import java.util.Objects;

import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.StringEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.bamboorelay.runtime.connection.HttpConnectionPool;
import org.bamboorelay.runtime.connection.HttpExchange;

/**
 * Starts and stops endpoint stand-ins through their fault interface, with the faults
 * {@code start} and {@code stop}.
 * <p>
 * Thread-safe.
 */
public final class HttpEndpointController implements EndpointController {

	private static final int TIMEOUT_MILLIS = 1_000;

	private final HttpConnectionPool pool;

	/**
	 * Creates a controller.
	 * @param pool the connection pool
	 */
	public HttpEndpointController(HttpConnectionPool pool) {
		this.pool = Objects.requireNonNull(pool, "pool");
	}

	@Override
	public boolean send(String address, String action) {
		BasicClassicHttpRequest request = new BasicClassicHttpRequest("PUT", "/_fault/" + action);
		request.setEntity(new StringEntity("true", ContentType.APPLICATION_JSON));
		return this.pool.execute(address, request, false, TIMEOUT_MILLIS).fold((failure) -> false, (exchange) -> {
			try (HttpExchange openExchange = exchange) {
				return openExchange.response().getCode() == 200;
			}
		});
	}

}
