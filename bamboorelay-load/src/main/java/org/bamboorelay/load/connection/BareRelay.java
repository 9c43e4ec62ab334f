package org.bamboorelay.load.connection;

import java.io.IOException;
import java.io.InputStream;
import java.util.Objects;

import io.vavr.control.Either;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.entity.InputStreamEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.apache.hc.core5.http.message.BasicClassicHttpResponse;
import org.bamboorelay.runtime.connection.HttpConnectionPool;
import org.bamboorelay.runtime.connection.HttpExchange;
import org.bamboorelay.runtime.connection.HttpFailure;
import org.bamboorelay.runtime.connection.HttpLimits;
import org.bamboorelay.runtime.connection.HttpListener;

/**
 * Relay without routing or admission: forwards each request to a fixed target with the
 * HTTP classes of the entry process. Serves as the baseline when the entry process is
 * measured.
 * <p>
 * Thread-safe.
 */
public final class BareRelay implements HttpListener.HttpHandler {

	private static final int READ_TIMEOUT_MILLIS = 30_000;

	private static final String REQUEST_ID = "X-Request-Id";

	private final HttpConnectionPool pool = new HttpConnectionPool();

	private final String target;

	private final String strippedPrefix;

	/**
	 * Creates a relay.
	 * @param target {@code ip:port} of the endpoint
	 * @param strippedPrefix path prefix to remove before forwarding, as the entry process
	 * removes the service name; empty to forward paths unchanged
	 */
	public BareRelay(String target, String strippedPrefix) {
		this.target = Objects.requireNonNull(target, "target");
		this.strippedPrefix = Objects.requireNonNull(strippedPrefix, "plainPrefix");
	}

	@Override
	public void handle(ClassicHttpRequest request, HttpListener.Responder responder) throws HttpException, IOException {
		String path = request.getPath();
		if (!this.strippedPrefix.isEmpty() && path.startsWith(this.strippedPrefix)) {
			path = path.substring(this.strippedPrefix.length());
		}
		BasicClassicHttpRequest forwarded = new BasicClassicHttpRequest(request.getMethod(), path);
		Header id = request.getFirstHeader(REQUEST_ID);
		forwarded.setHeader(REQUEST_ID, (id != null) ? id.getValue() : "bare");
		HttpEntity entity = request.getEntity();
		if (entity != null) {
			byte[] body = entity.getContent().readNBytes(HttpLimits.MAX_REQUEST_BYTES);
			forwarded.setEntity(new ByteArrayEntity(body, ContentType.parseLenient(entity.getContentType())));
		}
		Either<HttpFailure, HttpExchange> result = this.pool.execute(this.target, forwarded, true, READ_TIMEOUT_MILLIS);
		if (result.isLeft()) {
			responder.send(HttpStatus.SC_BAD_GATEWAY, "text/plain", result.getLeft().detail());
			return;
		}
		try (HttpExchange exchange = result.get()) {
			sendResponse(exchange, responder);
		}
	}

	private static void sendResponse(HttpExchange exchange, HttpListener.Responder responder)
			throws HttpException, IOException {
		BasicClassicHttpResponse response = new BasicClassicHttpResponse(exchange.response().getCode());
		HttpEntity entity = exchange.response().getEntity();
		ContentType type = ContentType.parseLenient((entity != null) ? entity.getContentType() : null);
		if (entity != null && entity.isChunked()) {
			InputStream body = exchange.body();
			response.setEntity(new InputStreamEntity(body, -1, type));
			responder.send(response);
			exchange.markComplete();
			return;
		}
		Either<HttpFailure, byte[]> body = exchange.readFully(HttpLimits.MAX_RESPONSE_BYTES);
		if (body.isLeft()) {
			responder.send(HttpStatus.SC_BAD_GATEWAY, "text/plain", body.getLeft().detail());
			return;
		}
		response.setEntity(new ByteArrayEntity(body.get(), type));
		responder.send(response);
	}

}
