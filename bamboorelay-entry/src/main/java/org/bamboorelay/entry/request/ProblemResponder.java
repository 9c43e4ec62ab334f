package org.bamboorelay.entry.request;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;

import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpResponse;
import org.bamboorelay.core.failure.Refusal;
import org.bamboorelay.runtime.connection.HttpListener.Responder;
import org.bamboorelay.runtime.process.Counters;
import org.bamboorelay.runtime.request.Json;

/**
 * Sends refusals as problem details, and counts them by reason.
 * <p>
 * Thread-safe.
 */
public final class ProblemResponder {

	/** Media type of problem details. */
	public static final ContentType MEDIA_TYPE = ContentType.create("application/problem+json");

	private static final long MILLIS_PER_SECOND = 1_000;

	private final Counters counters;

	private ProblemResponder(Counters counters) {
		this.counters = counters;
	}

	/**
	 * Creates the responder of a process.
	 * @param counters the process's metrics
	 * @return the responder
	 */
	public static ProblemResponder of(Counters counters) {
		return new ProblemResponder(counters);
	}

	/**
	 * Sends a refusal.
	 * @param responder sends the response
	 * @param requestId id of the request
	 * @param refusal the refusal
	 * @throws HttpException if the response violates the HTTP protocol
	 * @throws IOException if the caller's connection fails
	 */
	public void send(Responder responder, String requestId, Refusal refusal) throws HttpException, IOException {
		this.counters.refusal(refusal.reason()).inc();
		BasicClassicHttpResponse response = new BasicClassicHttpResponse(refusal.reason().status());
		if (refusal.retryAfterMillis() > 0) {
			response.setHeader(HttpHeaders.RETRY_AFTER, toSecondsRoundedUp(refusal.retryAfterMillis()));
		}
		response.setEntity(new ByteArrayEntity(Json.bytes(body(requestId, refusal)), MEDIA_TYPE));
		responder.send(response);
	}

	/**
	 * Returns the problem details of a refusal.
	 * @param requestId id of the request
	 * @param refusal the refusal
	 * @return the JSON fields in serialization order
	 */
	public static Map<String, Object> body(String requestId, Refusal refusal) {
		Map<String, Object> body = new LinkedHashMap<>();
		body.put("type", "urn:bamboorelay:problem:" + refusal.code());
		body.put("title", refusal.detail());
		body.put("status", refusal.reason().status());
		body.put("reason", refusal.code());
		body.put("run", refusal.executionState().code());
		body.put("request_id", requestId);
		return body;
	}

	private static String toSecondsRoundedUp(long millis) {
		return Long.toString((millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND);
	}

}
