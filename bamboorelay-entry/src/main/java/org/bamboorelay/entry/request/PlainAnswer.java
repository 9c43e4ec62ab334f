package org.bamboorelay.entry.request;

import java.util.List;
import java.util.Map;

import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpResponse;

/**
 * A whole answer of a plain service.
 * <p>
 * Immutable as long as nobody writes to the body; thread-safe under the same condition.
 *
 * @param status the HTTP status
 * @param headers the headers that the caller sees
 * @param body the body, empty where there is none
 * @param replayed whether the answer was recorded for an earlier call
 */
public record PlainAnswer(int status, List<Map.Entry<String, String>> headers, byte[] body, boolean replayed) {

	private static final String REPLAYED = "Idempotency-Replayed";

	public PlainAnswer {
		headers = List.copyOf(headers);
	}

	ClassicHttpResponse toResponse() {
		ClassicHttpResponse response = new BasicClassicHttpResponse(this.status);
		this.headers.forEach((header) -> response.addHeader(header.getKey(), header.getValue()));
		if (this.replayed) {
			response.setHeader(REPLAYED, "true");
		}
		if (this.status != HttpStatus.SC_NO_CONTENT && this.status != HttpStatus.SC_NOT_MODIFIED) {
			response.setEntity(new ByteArrayEntity(this.body, null));
			response.removeHeaders(HttpHeaders.CONTENT_LENGTH);
		}
		return response;
	}

}
