package org.bamboorelay.standins.process;

import java.util.Objects;

import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.StringEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.bamboorelay.runtime.connection.HttpConnectionPool;
import org.bamboorelay.runtime.connection.HttpExchange;

/**
 * Starts and stops running stand-ins over their fault interface.
 * <p>
 * Thread-safe.
 */
public final class HttpEndpointStarter implements EndpointStarter {

	private static final int TIMEOUT_MILLIS = 1_000;

	private final HttpConnectionPool pool;

	/**
	 * Creates a starter.
	 * @param pool the connections
	 */
	public HttpEndpointStarter(HttpConnectionPool pool) {
		this.pool = Objects.requireNonNull(pool, "pool");
	}

	@Override
	public boolean tell(String address, String action) {
		BasicClassicHttpRequest request = new BasicClassicHttpRequest("PUT", "/_fault/" + action);
		request.setEntity(new StringEntity("true", ContentType.APPLICATION_JSON));
		return this.pool.execute(address, request, false, TIMEOUT_MILLIS).fold((failure) -> false, (exchange) -> {
			try (HttpExchange open = exchange) {
				return open.response().getCode() == 200;
			}
		});
	}

}
