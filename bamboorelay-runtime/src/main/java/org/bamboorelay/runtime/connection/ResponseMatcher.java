package org.bamboorelay.runtime.connection;

import io.vavr.control.Option;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.jspecify.annotations.Nullable;

/**
 * Decides whether a response on a connection belongs to the request that was sent there
 * last. HTTP/1.1 matches responses to requests by their order only, so a second copy of
 * an earlier response, of whatever status, would be taken for that of the next request.
 * <p>
 * Immutable and thread-safe.
 */
final class ResponseMatcher {

	private final @Nullable String requestIdHeader;

	private ResponseMatcher(@Nullable String requestIdHeader) {
		this.requestIdHeader = requestIdHeader;
	}

	/**
	 * Creates a matcher.
	 * @param requestIdHeader the header that carries the id of a request and is echoed in
	 * its response; null if servers echo none, so that each response matches
	 * @return the matcher
	 */
	static ResponseMatcher of(@Nullable String requestIdHeader) {
		return new ResponseMatcher(requestIdHeader);
	}

	/**
	 * Returns why a response belongs to another request. A response without an id, or
	 * with an empty one, matches each request, because servers may reject a request
	 * before they have read its id.
	 * @param address the address of the server, {@code ip:port}
	 * @param request the request
	 * @param response the head of the response, of any status
	 * @return the failure; empty if the response matches
	 */
	Option<HttpFailure> mismatch(String address, HttpRequest request, HttpResponse response) {
		if (this.requestIdHeader == null) {
			return Option.none();
		}
		Header sent = request.getFirstHeader(this.requestIdHeader);
		String expected = (sent != null) ? sent.getValue() : null;
		for (Header echoed : response.getHeaders(this.requestIdHeader)) {
			String id = echoed.getValue();
			if (id != null && !id.isEmpty() && !id.equals(expected)) {
				return Option.some(new HttpFailure.Mismatched(
						"response of " + address + " with status " + response.getCode() + " belongs to request " + id
								+ ", not to " + ((expected != null) ? expected : "a request without an id")));
			}
		}
		return Option.none();
	}

}
