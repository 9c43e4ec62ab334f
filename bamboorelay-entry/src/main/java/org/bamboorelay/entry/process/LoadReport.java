package org.bamboorelay.entry.process;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import org.bamboorelay.runtime.request.Json;
import org.bamboorelay.runtime.request.JsonFailure;

/**
 * Load report of an endpoint; see section 4.2 of the design document.
 * <p>
 * Immutable and thread-safe.
 *
 * @param incarnation changes with each start of the endpoint
 * @param warm whether the endpoint can take full load
 * @param capacity the number of requests that it serves concurrently when warm
 * @param leaving whether the endpoint is leaving and must get no new requests
 * @param running the number of requests that it serves or queues
 */
record LoadReport(String incarnation, boolean warm, int capacity, boolean leaving, int running) {

	/**
	 * Parses a report. Fields that routing does not use are ignored.
	 * @param body the report, as JSON in UTF-8
	 * @return the report, or a description of what is wrong with the body
	 */
	static Either<JsonFailure, LoadReport> parse(byte[] body) {
		return Json.tree(body).flatMap(LoadReport::of);
	}

	private static Either<JsonFailure, LoadReport> of(JsonNode tree) {
		if (!tree.path("incarnation").isValueNode() || !tree.path("capacity").isInt()) {
			return Either.left(new JsonFailure("a load report requires \"incarnation\" and an integer \"capacity\""));
		}
		return Either.right(new LoadReport(tree.path("incarnation").asText(), tree.path("warm").asBoolean(true),
				tree.path("capacity").asInt(), tree.path("leaving").asBoolean(false),
				tree.path("running").asInt() + tree.path("waiting").asInt()));
	}

}
