package org.bamboorelay.standins.process;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A completion request; see section 4.2 of the design page.
 * <p>
 * Immutable and thread-safe.
 *
 * @param id the request id
 * @param prompt the prompt
 * @param maxTokens the most tokens in all, resumed ones included
 * @param interactive whether it goes before rollout requests
 * @param line the line of weights
 * @param cacheSalt keeps prefix caches apart
 * @param resumeTokens tokens that another endpoint generated before
 * @param seed seed of the sampling
 */
public record EngineRequest(String id, String prompt, int maxTokens, boolean interactive, String line, String cacheSalt,
		int resumeTokens, long seed) {

	private static final int DEFAULT_MAX_TOKENS = 16;

	static EngineRequest of(String id, JsonNode body, String defaultLine) {
		return new EngineRequest(id, body.path("prompt").asText(""), body.path("max_tokens").asInt(DEFAULT_MAX_TOKENS),
				!"rollout".equals(body.path("priority").asText("interactive")), body.path("line").asText(defaultLine),
				body.path("cache_salt").asText(""), body.path("resume_tokens").asInt(0), body.path("seed").asLong(0));
	}

}
