package org.bamboorelay.host.connection;

import java.util.Map;

import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;

/**
 * Encoding of requests to endpoints and of their responses.
 * <p>
 * Implementations are stateless and thread-safe.
 */
public interface EndpointProtocol {

	/**
	 * Encodes a request.
	 * @param request the request
	 * @return the request to send, including its body
	 */
	ClassicHttpRequest encodeRequest(EndpointRequest request);

	/**
	 * Decodes the head of a response.
	 * @param response the response
	 * @return the decoded head
	 */
	EndpointResponse decodeHead(ClassicHttpResponse response);

	/**
	 * Parses a line that precedes the data of an event and gives the weight version from
	 * that event on.
	 * @param line the line
	 * @return the version; 0 if the line contains none
	 */
	long parseVersionLine(String line);

	/**
	 * Returns the maximum number of tokens that the response to a request may have.
	 * @param headers the headers of the request
	 * @return the number; {@link Long#MAX_VALUE} if the request names none
	 */
	long maxOutputTokens(Map<String, String> headers);

	/**
	 * Returns the number of tokens of the prompt of a request.
	 * @param headers the headers of the request
	 * @return the tokens; {@link PromptTokens#UNKNOWN} if the request does not name them
	 */
	default PromptTokens promptTokens(Map<String, String> headers) {
		return PromptTokens.UNKNOWN;
	}

}
