package org.bamboorelay.entry.request;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import org.bamboorelay.core.failure.Refusal;
import org.bamboorelay.core.failure.RefusalReason;
import org.bamboorelay.core.process.RendezvousHash;
import org.bamboorelay.core.version.KeyHash;
import org.bamboorelay.core.version.LineId;
import org.bamboorelay.core.version.ServiceId;
import org.bamboorelay.core.version.WorkspaceId;
import org.bamboorelay.entry.connection.EngineClient.EngineRequest;
import org.bamboorelay.runtime.request.Json;
import org.jspecify.annotations.Nullable;

/**
 * The body of a completion request. Unknown fields are ignored, since clients of the
 * OpenAI API send many.
 * <p>
 * Immutable and thread-safe.
 *
 * @param service the model service
 * @param prompt the prompt
 * @param maxTokens the maximum number of tokens to generate
 * @param stream whether the response is streamed
 * @param line the weight line; null for the engine's default
 * @param seed the sampling seed
 */
record CompletionRequest(ServiceId service, String prompt, int maxTokens, boolean stream, @Nullable LineId line,
		long seed) {

	private static final int DEFAULT_MAX_TOKENS = 256;

	private static final int MAX_TOKENS = 1_000_000;

	/** Length of the prompt prefix by which requests are routed to a warm cache. */
	private static final int PREFIX_CHARS = 256;

	private static final int CHARS_PER_TOKEN = 4;

	private static final int SALT_CHARS = 16;

	static Either<Refusal, CompletionRequest> parse(byte[] body) {
		JsonNode tree = Json.tree(body).getOrNull();
		if (tree == null || !tree.isObject()) {
			return badRequest("the body is not a JSON object");
		}
		JsonNode text = tree.path("prompt");
		if (text.isArray() && text.size() == 1) {
			text = text.get(0);
		}
		if (!tree.path("model").isTextual() || !text.isTextual()) {
			return badRequest("model and prompt must be strings");
		}
		JsonNode limit = tree.path("max_tokens");
		int tokens = (limit.isMissingNode() || limit.isNull()) ? DEFAULT_MAX_TOKENS : limit.asInt(0);
		if (tokens <= 0 || tokens > MAX_TOKENS) {
			return badRequest("max_tokens must be between 1 and " + MAX_TOKENS);
		}
		if (tree.path("n").asInt(1) != 1) {
			return badRequest("n must be 1");
		}
		try {
			JsonNode lineName = tree.path("line");
			return Either.right(new CompletionRequest(ServiceId.of(tree.path("model").asText()), text.asText(), tokens,
					tree.path("stream").asBoolean(false), lineName.isTextual() ? LineId.of(lineName.asText()) : null,
					tree.path("seed").asLong(0)));
		}
		catch (IllegalArgumentException ex) {
			return badRequest("model or line is not a valid name");
		}
	}

	/**
	 * Returns the hash of the prompt prefix, salted so that no two workspaces share a
	 * cache prefix.
	 * @param workspace the workspace
	 * @return the hash, never 0
	 */
	long prefixHash(WorkspaceId workspace) {
		String prefix = this.prompt.substring(0, Math.min(PREFIX_CHARS, this.prompt.length()));
		long hash = RendezvousHash.hash(workspace.value() + '\0' + prefix);
		return (hash != 0) ? hash : 1;
	}

	long expectedTokens() {
		return this.prompt.length() / CHARS_PER_TOKEN + (long) this.maxTokens;
	}

	EngineRequest toEngineRequest(String requestId, WorkspaceId workspace) {
		String salt = KeyHash.ofKey("cache-salt " + workspace.value()).value().substring(0, SALT_CHARS);
		return new EngineRequest(requestId, this.service, this.prompt, this.maxTokens, true, this.line, salt, "", 0,
				this.seed);
	}

	private static Either<Refusal, CompletionRequest> badRequest(String detail) {
		return Either.left(Refusal.notExecuted(RefusalReason.BAD_REQUEST, detail));
	}

}
