package org.bamboorelay.load.connection;

import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import org.bamboorelay.runtime.request.Json;

/**
 * A whole answer.
 * <p>
 * Immutable as long as nobody writes to the body; thread-safe under the same condition.
 *
 * @param status the HTTP status
 * @param body the body
 */
public record Answer(int status, byte[] body) {

	/**
	 * Returns the body as text.
	 * @return the text
	 */
	public String text() {
		return new String(this.body, StandardCharsets.UTF_8);
	}

	/**
	 * Returns the body as JSON.
	 * @return the tree; a missing node where the body is no JSON
	 */
	public JsonNode json() {
		return Json.tree(this.body).getOrElse(MissingNode.getInstance());
	}

	/**
	 * Tells whether the request was served.
	 * @return whether the status is 200
	 */
	public boolean isOk() {
		return this.status == 200;
	}

}
