package org.bamboorelay.processtests;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.bamboorelay.runtime.connection.HttpConnectionPool;
import org.bamboorelay.runtime.connection.HttpLimits;
import org.bamboorelay.runtime.request.Json;
import org.jspecify.annotations.Nullable;

/**
 * HTTP client for the requests of callers, operators and tests.
 * <p>
 * Thread-safe.
 */
final class Http {

	private static final HttpConnectionPool POOL = new HttpConnectionPool();

	private static final int TIMEOUT_MILLIS = 30_000;

	private Http() {
	}

	static Reply get(String address, String path, String key) {
		return send(address, "GET", path, key, null);
	}

	static Reply get(String address, String path) {
		return send(address, "GET", path, "", null);
	}

	static Reply send(String address, String method, String path, String key, @Nullable Object body) {
		BasicClassicHttpRequest request = new BasicClassicHttpRequest(method, path);
		if (!key.isEmpty()) {
			request.setHeader("Authorization", "Bearer " + key);
		}
		if (body != null) {
			request.setEntity(new ByteArrayEntity(
					(body instanceof String text) ? text.getBytes(StandardCharsets.UTF_8) : Json.bytes(body),
					ContentType.APPLICATION_JSON));
		}
		return POOL.execute(address, request, true, TIMEOUT_MILLIS).flatMap((exchange) -> {
			try (exchange) {
				int status = exchange.response().getCode();
				return exchange.readFully(HttpLimits.MAX_RESPONSE_BYTES)
					.map((bytes) -> new Reply(status, new String(bytes, StandardCharsets.UTF_8)));
			}
		}).fold((failure) -> new Reply(0, failure.detail()), (reply) -> reply);
	}

	static Map<String, Object> completion(String model, int tokens) {
		return Map.of("model", model, "prompt", "Querida vecina", "max_tokens", tokens);
	}

	/**
	 * A complete response.
	 *
	 * @param status the HTTP status code, or 0 if no complete response was received
	 * @param text the body, or the reason for the failure
	 */
	record Reply(int status, String text) {

		JsonNode json() {
			return Json.tree(this.text.getBytes(StandardCharsets.UTF_8)).getOrElse(MissingNode.getInstance());
		}

		boolean isOk() {
			return this.status == 200;
		}

		Reply ok() {
			if (!isOk()) {
				throw new AssertionError("expected 200, found " + this.status + " " + this.text);
			}
			return this;
		}

	}

	/**
	 * Client of a stand-in.
	 *
	 * @param address {@code ip:port} on which it listens
	 */
	record Standin(String address) {

		void fault(String name, String json) {
			send(this.address, "PUT", "/_fault/" + name, "", json).ok();
		}

		void clear(String name) {
			send(this.address, "DELETE", "/_fault/" + name, "", null).ok();
		}

		long count(String name) {
			return get(this.address, "/_count").ok().json().path(name).asLong();
		}

		/**
		 * Returns the requests other than GET that the stand-in has recorded.
		 * @param path the prefix of the request path
		 * @return the requests in order, with parsed JSON bodies
		 */
		List<RecordedRequest> recordedRequests(String path) {
			List<RecordedRequest> result = new ArrayList<>();
			get(this.address, "/_record").ok().text().lines().forEach((line) -> {
				JsonNode node = new Reply(200, line).json();
				if (node.path("path").asText().startsWith(path) && !node.path("method").asText().equals("GET")) {
					result.add(new RecordedRequest(new Reply(200, node.path("body").asText()).json(),
							node.path("outcome").asText()));
				}
			});
			return result;
		}

	}

	/**
	 * A request that a stand-in has recorded.
	 *
	 * @param body the JSON body
	 * @param outcome how the stand-in handled the request
	 */
	record RecordedRequest(JsonNode body, String outcome) {
	}

}
