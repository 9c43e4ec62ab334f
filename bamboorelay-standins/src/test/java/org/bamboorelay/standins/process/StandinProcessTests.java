package org.bamboorelay.standins.process;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.StringEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.bamboorelay.core.store.StoreFailure;
import org.bamboorelay.runtime.connection.HttpConnectionPool;
import org.bamboorelay.runtime.connection.HttpExchange;
import org.bamboorelay.runtime.connection.HttpFailure;
import org.bamboorelay.runtime.connection.HttpObjectStore;
import org.bamboorelay.runtime.request.Json;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against faults whose effect on the wire differs from the specified one.
 */
class StandinProcessTests {

	private static final int TIMEOUT_MILLIS = 10_000;

	private static final String COMPLETION = "{\"prompt\":\"a b\",\"max_tokens\":5}";

	private final HttpConnectionPool pool = new HttpConnectionPool();

	@AfterEach
	void closePool() {
		this.pool.close();
	}

	@Test
	void writeTakesEffectIfResponseIsLost() throws IOException {
		try (StandinProcess process = start("--kind", "object-api")) {
			HttpObjectStore store = HttpObjectStore.of(address(process, "object-api"), this.pool, TIMEOUT_MILLIS);
			put(process, "object-api", "lose-answers", "{\"n\":1,\"match\":\"leases/\"}");
			assertThat(store.create("orders/a", new byte[] { 1 }).isRight()).isTrue();
			assertThat(store.create("leases/a", new byte[] { 1 }).getLeft())
				.isInstanceOf(StoreFailure.OutcomeUnknown.class);
			assertThat(store.read("leases/a").get().isDefined()).isTrue();
			assertThat(store.create("leases/b", new byte[] { 1 }).isRight()).isTrue();
		}
	}

	@Test
	void downStoreClosesConnectionOrReturns503() throws IOException {
		try (StandinProcess process = start("--kind", "object-api")) {
			HttpObjectStore store = HttpObjectStore.of(address(process, "object-api"), this.pool, TIMEOUT_MILLIS);
			put(process, "object-api", "down", "true");
			assertThat(store.read("a").getLeft()).isInstanceOf(StoreFailure.OutcomeUnknown.class);
			put(process, "object-api", "down", "\"503\"");
			assertThat(store.create("a", new byte[] { 1 }).getLeft()).isInstanceOf(StoreFailure.Unavailable.class);
			call(process, "object-api", "DELETE", "/_fault/down", "");
			assertThat(store.read("a").get().isEmpty()).isTrue();
		}
	}

	@Test
	void pendingWatchReturnsOnWriteAndIsCountedOnce() throws IOException {
		try (StandinProcess process = start("--kind", "platform")) {
			CompletableFuture<String> watch = CompletableFuture.supplyAsync(
					() -> text(process, "object-api", "GET", "/watch?prefix=config/&after=0&wait_ms=9000", ""));
			text(process, "object-api", "PUT", "/objects/config/head", "{}");
			assertThat(watch.join()).isEqualTo("{\"revision\":1,\"keys\":[\"config/head\"]}");
			assertThat(json(process, "object-api", "/_count").path("WATCH").asInt()).isEqualTo(1);
		}
	}

	@Test
	void completeStreamEndsWithDoneAndTruncatedStreamBreaks() throws IOException {
		try (StandinProcess process = start("--kind", "model-engine", "--tokens-per-second", "1000")) {
			assertThat(text(process, "model-engine", "POST", "/v1/completions", COMPLETION))
				.contains("\"weight_version\":\"base@0\"")
				.endsWith("data: [DONE]\n\n");
			put(process, "model-engine", "truncate", "2");
			assertThat(call(process, "model-engine", "POST", "/v1/completions", COMPLETION).getLeft())
				.isInstanceOf(HttpFailure.Broken.class);
		}
	}

	@Test
	void closedConnectionReleasesBatchSlot() throws IOException {
		try (StandinProcess process = start("--kind", "model-engine", "--tokens-per-second", "1000")) {
			BasicClassicHttpRequest request = new BasicClassicHttpRequest("POST", "/v1/completions");
			request.setEntity(new StringEntity("{\"max_tokens\":100000000}", ContentType.APPLICATION_JSON));
			try (HttpExchange exchange = this.pool
				.execute(address(process, "model-engine"), request, false, TIMEOUT_MILLIS)
				.get()) {
				assertThat(json(process, "model-engine", "/load").path("running").asInt()).isEqualTo(1);
				exchange.abort();
			}
			long deadline = System.nanoTime() + TIMEOUT_MILLIS * 1_000_000L;
			while (json(process, "model-engine", "/load").path("running").asInt() > 0) {
				assertThat(System.nanoTime()).isLessThan(deadline);
			}
		}
	}

	@Test
	void orderedEngineStartsAndAppearsInHostList() throws IOException {
		try (StandinProcess platform = start("--kind", "platform");
				StandinProcess engine = start("--kind", "model-engine", "--pooled", "true", "--cold-start-ms",
						"60000")) {
			assertThat(call(engine, "model-engine", "GET", "/load", "").isLeft()).isTrue();
			text(platform, "ordering", "PUT", "/_pool/e1", "{\"address\":\"" + address(engine, "model-engine")
					+ "\",\"service\":\"s\",\"domain\":\"a\",\"kind\":\"cheap\"}");
			assertThat(text(platform, "ordering", "POST", "/orders",
					"{\"order_id\":\"o\",\"fencing\":1,\"action\":\"start\",\"service\":\"s\",\"domain\":\"a\",\"kind\":\"cheap\"}"))
				.isEqualTo("{\"endpoint\":\"e1\"}");
			assertThat(json(engine, "model-engine", "/load").path("warm").asBoolean()).isFalse();
			assertThat(json(platform, "host-list", "/hosts").path(0).path("endpoint").asText()).isEqualTo("e1");
			assertThat(text(platform, "ordering", "GET", "/_record", "")).contains("\"body\":\"{\\\"order_id");
		}
	}

	private static StandinProcess start(String... arguments) throws IOException {
		return StandinProcess.start(StandinOptions.parse(arguments).get());
	}

	private static String address(StandinProcess process, String kind) {
		return "127.0.0.1:" + process.ports().get(kind);
	}

	private void put(StandinProcess process, String kind, String fault, String value) {
		assertThat(call(process, kind, "PUT", "/_fault/" + fault, value).isRight()).isTrue();
	}

	private JsonNode json(StandinProcess process, String kind, String path) {
		return Json.tree(call(process, kind, "GET", path, "").get()).get();
	}

	private String text(StandinProcess process, String kind, String method, String path, String body) {
		return new String(call(process, kind, method, path, body).get(), StandardCharsets.UTF_8);
	}

	private Either<HttpFailure, byte[]> call(StandinProcess process, String kind, String method, String path,
			String body) {
		BasicClassicHttpRequest request = new BasicClassicHttpRequest(method, path);
		if (!body.isEmpty()) {
			request.setEntity(new StringEntity(body, ContentType.APPLICATION_JSON));
		}
		return this.pool.execute(address(process, kind), request, false, TIMEOUT_MILLIS).flatMap((exchange) -> {
			try (HttpExchange open = exchange) {
				return open.readFully(1_000_000);
			}
		});
	}

}
