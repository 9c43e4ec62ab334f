package org.bamboorelay.load.connection;

import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import org.bamboorelay.runtime.request.Json;

/**
 * A complete HTTP response.
 * <p>
 * Immutable and thread-safe, provided that the body array is not modified.
 *
 * @param status the HTTP status code
 * @param body the response body
 */
public record ReceivedResponse(int status, byte[] body) {

	/**
	 * Decodes the body as UTF-8.
	 * @return the text
	 */
	public String text() {
		return new String(this.body, StandardCharsets.UTF_8);
	}

	/**
	 * Parses the body as JSON.
	 * @return the tree, or a missing node if the body is not valid JSON
	 */
	public JsonNode json() {
		return Json.tree(this.body).getOrElse(MissingNode.getInstance());
	}

	/**
	 * Tells whether the request succeeded.
	 * @return whether the status is 200
	 */
	public boolean isOk() {
		return this.status == 200;
	}

}
