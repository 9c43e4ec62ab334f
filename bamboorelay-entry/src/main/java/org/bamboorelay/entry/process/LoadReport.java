package org.bamboorelay.entry.process;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import org.bamboorelay.runtime.request.Json;
import org.bamboorelay.runtime.request.JsonFailure;

/**
 * What an endpoint says about itself; see section 4.2 of the design page.
 * <p>
 * Immutable and thread-safe.
 *
 * @param incarnation changes with each start of the endpoint
 * @param warm whether it bears full load
 * @param capacity the requests that it serves at once when warm
 * @param leaving whether it must get no new work
 * @param running the requests that it serves or queues
 */
record LoadReport(String incarnation, boolean warm, int capacity, boolean leaving, int running) {

	/**
	 * Reads a report. Fields that routing does not use are ignored.
	 * @param body bytes of JSON in UTF-8
	 * @return the report, or what is wrong with the body
	 */
	static Either<JsonFailure, LoadReport> parse(byte[] body) {
		return Json.tree(body).flatMap(LoadReport::of);
	}

	private static Either<JsonFailure, LoadReport> of(JsonNode tree) {
		if (!tree.path("incarnation").isValueNode() || !tree.path("capacity").isInt()) {
			return Either.left(new JsonFailure("a load report needs \"incarnation\" and \"capacity\""));
		}
		return Either.right(new LoadReport(tree.path("incarnation").asText(), tree.path("warm").asBoolean(true),
				tree.path("capacity").asInt(), tree.path("leaving").asBoolean(false),
				tree.path("running").asInt() + tree.path("waiting").asInt()));
	}

}
