package org.bamboorelay.entry.request;

import java.util.List;
import java.util.Map;

import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpResponse;

/**
 * A complete response of a plain service.
 * <p>
 * Immutable and thread-safe, provided that the body is not modified.
 *
 * @param status the HTTP status
 * @param headers the headers that are returned to the caller
 * @param body the body; empty if there is none
 * @param replayed whether the response is the recorded one of an earlier call
 */
public record PlainResponse(int status, List<Map.Entry<String, String>> headers, byte[] body, boolean replayed) {

	private static final String REPLAYED_HEADER = "Idempotency-Replayed";

	public PlainResponse {
		headers = List.copyOf(headers);
	}

	ClassicHttpResponse toHttpResponse() {
		ClassicHttpResponse response = new BasicClassicHttpResponse(this.status);
		this.headers.forEach((header) -> response.addHeader(header.getKey(), header.getValue()));
		if (this.replayed) {
			response.setHeader(REPLAYED_HEADER, "true");
		}
		if (this.status != HttpStatus.SC_NO_CONTENT && this.status != HttpStatus.SC_NOT_MODIFIED) {
			response.setEntity(new ByteArrayEntity(this.body, null));
			response.removeHeaders(HttpHeaders.CONTENT_LENGTH);
		}
		return response;
	}

}
