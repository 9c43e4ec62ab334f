package org.bamboorelay.standins.process;

import java.util.Objects;

import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.bamboorelay.runtime.connection.HttpConnectionPool;
import org.bamboorelay.runtime.connection.HttpExchange;
import org.bamboorelay.runtime.connection.HttpLimits;

/**
 * Downloads weights from the weight store over HTTP.
 * <p>
 * Thread-safe.
 */
public final class HttpWeightSource implements WeightSource {

	private static final int TIMEOUT_MILLIS = 10_000;

	private final HttpConnectionPool pool;

	private final String address;

	/**
	 * Creates a source.
	 * @param pool the connection pool
	 * @param address {@code ip:port} of the weight store
	 */
	public HttpWeightSource(HttpConnectionPool pool, String address) {
		this.pool = Objects.requireNonNull(pool, "pool");
		this.address = Objects.requireNonNull(address, "address");
	}

	@Override
	public int fetch(String line, long version) {
		BasicClassicHttpRequest request = new BasicClassicHttpRequest("GET", "/weights/" + line + "/" + version);
		return this.pool.execute(this.address, request, true, TIMEOUT_MILLIS).fold((failure) -> 503, (exchange) -> {
			try (HttpExchange openExchange = exchange) {
				return openExchange.readFully(HttpLimits.MAX_RESPONSE_BYTES)
					.fold((failure) -> 503, (bytes) -> openExchange.response().getCode());
			}
		});
	}

}
