package org.bamboorelay.host.request;

import java.util.function.Function;

import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.message.BasicClassicHttpResponse;
import org.bamboorelay.host.connection.EndpointResponse;
import org.jspecify.annotations.Nullable;

/**
 * Builds the responses to callers from those of endpoints.
 */
final class CallerResponses {

	private CallerResponses() {
	}

	/**
	 * Creates the response to a caller. A status whose responses have no body gets none,
	 * as HTTP requires.
	 * @param endpointResponse the head of the endpoint's response
	 * @param defaultType the type of the body if the endpoint names none; null for none
	 * @param body creates the body from its type
	 * @return the response
	 */
	static ClassicHttpResponse forward(EndpointResponse endpointResponse, @Nullable ContentType defaultType,
			Function<@Nullable ContentType, HttpEntity> body) {
		ClassicHttpResponse response = new BasicClassicHttpResponse(endpointResponse.status());
		boolean hasBody = mayHaveBody(endpointResponse.status());
		ContentType type = defaultType;
		for (Header header : endpointResponse.forwardedHeaders()) {
			if (hasBody && header.getName().equalsIgnoreCase(HttpHeaders.CONTENT_TYPE)) {
				type = ContentType.parseLenient(header.getValue());
			}
			else {
				response.addHeader(header);
			}
		}
		if (hasBody) {
			response.setEntity(body.apply(type));
		}
		return response;
	}

	private static boolean mayHaveBody(int status) {
		return status != HttpStatus.SC_NO_CONTENT && status != HttpStatus.SC_NOT_MODIFIED;
	}

}
