import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import java.util.Map;

/** The desired state, the batch submissions and the calls of a small deployment. */
final class Site {

	static final String HOST = "calls.example";

	static final String MODEL = "letters";

	static final String MODEL_SERVICE = "engines";

	static final String PLAIN_SERVICE = "plain";

	static final int MAX_ATTEMPTS = 3;

	private Site() {
	}

	static Map<String, Object> rolloutRoute(String name, String host, String prefix) {
		return Json.map("name", name, "host", host, "path_prefix", prefix, "route_type", "rollout", "goal_ms", 400,
				"timeout_ms", 10_000, "priority", 0, "service", MODEL_SERVICE, "max_attempts", MAX_ATTEMPTS, "public",
				false, "result_due_ms", 7_500, "max_age_s", 40, "single_version", false);
	}

	static Map<String, Object> plainRoute(String name, String host, String prefix, boolean open) {
		return Json.map("name", name, "host", host, "path_prefix", prefix, "route_type", "safe", "goal_ms", 200,
				"timeout_ms", 1_500, "priority", 2, "service", PLAIN_SERVICE, "max_attempts", 4, "public", open);
	}

	// Each tenant has one key, "key-" and its name.
	static Map<String, Object> desiredState(long version, List<?> routes, String... tenants) {
		return Json.map("version", version, "routes", routes, "services",
				List.of(Json.map("name", MODEL_SERVICE, "health_path", "/health", "max_conns", 160, "protocol", "h1",
						"tls", false, "cold_start_s", 3.0, "cold_per_s", 15.0, "engine",
						Json.map("slots", 16, "kv_capacity", 55_021, "kv_token_bytes", 163_840, "models",
								List.of(Json.map("name", MODEL)))),
						Json.map("name", PLAIN_SERVICE, "health_path", "/health", "max_conns", 96, "protocol", "h1",
								"tls", false, "cold_start_s", 0.0, "cold_per_s", 0.0)),
				"limits",
				Json.map("max_header_bytes", 16_384, "max_body_bytes", 33_554_432, "header_timeout_ms", 3_000,
						"idle_timeout_ms", 15_000),
				"tenants",
				Arrays.stream(tenants)
					.map((name) -> Json.map("name", name, "api_keys", List.of("key-" + name), "priority", 1))
					.toList());
	}

	static Map<String, Object> item(String id, String path, String group, int outputTokens) {
		return Json.map("id", id, "path", path, "headers",
				Json.map("X-Model", MODEL, "X-Token-Counts", "271," + outputTokens, "X-Prompt-Prefix",
						"9c2e41:255,5d07b8:16"),
				"body", Base64.getEncoder().encodeToString(("prompt " + id).getBytes(StandardCharsets.UTF_8)), "tokens",
				271 + outputTokens, "group", group);
	}

	static byte[] submission(int step, int desired, List<?> items) {
		return Json.bytes(Json.map("step", step, "model", MODEL, "min_version", 1, "desired", desired, "items", items));
	}

	static Message submit(Deployment.Host host, String tenant, String path, String id, byte[] body)
			throws IOException {
		return Client.call(host.ip, Deployment.FRONT, "POST", path, body, 5_000, "Host", HOST, "Authorization",
				"Bearer key-" + tenant, "X-Request-Id", id, "X-Deadline-Ms", "4000", "Content-Type",
				"application/json");
	}

	static Message results(Deployment.Host host, String tenant, String id, int after) throws IOException {
		return Client.call(host.ip, Deployment.FRONT, "GET", "/lots/" + id + "?after=" + after, 4_000, "Host", HOST,
				"Authorization", "Bearer key-" + tenant, "X-Wait-Ms", "1000");
	}

	static Message end(Deployment.Host host, String tenant, String id) throws IOException {
		return Client.call(host.ip, Deployment.FRONT, "DELETE", "/lots/" + id, 4_000, "Host", HOST, "Authorization",
				"Bearer key-" + tenant);
	}

	// Reads results until all are listed or the time is up, twice a second.
	@SuppressWarnings("unchecked")
	static List<Map<String, Object>> readAll(Deployment.Host host, String tenant, String id, int total, double seconds)
			throws IOException {
		List<Map<String, Object>> results = new ArrayList<>();
		long end = System.nanoTime() + (long) (seconds * 1e9);
		while (results.size() < total && System.nanoTime() < end) {
			Message answer = results(host, tenant, id, results.size());
			if (answer.status() == 200) {
				((List<Object>) Json.object(answer.body).get("results"))
					.forEach((result) -> results.add((Map<String, Object>) result));
			}
			Platform.pause(200);
		}
		return results;
	}

}
