package org.bamboorelay.load.request;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import org.bamboorelay.load.connection.CallerClient;
import org.bamboorelay.runtime.request.Json;

/**
 * Check 5 of the quick start: usage windows are reported, and no window is reported with
 * two sets of figures.
 * <p>
 * Used by one thread.
 */
final class UsageReportCheck {

	private static final long REPORT_TIMEOUT_MILLIS = 60_000;

	private final QuickstartSettings settings;

	private final CallerClient client;

	UsageReportCheck(QuickstartSettings settings, CallerClient client) {
		this.settings = settings;
		this.client = client;
	}

	String run() {
		Waiting.until(REPORT_TIMEOUT_MILLIS, "a reported usage window with figures",
				() -> reports().values().stream().anyMatch((report) -> !report.path("figures").isEmpty()));
		Map<String, JsonNode> reports = reports();
		long requests = 0;
		for (JsonNode report : reports.values()) {
			for (JsonNode figure : report.path("figures")) {
				requests += figure.path("requests").asLong();
			}
		}
		return reports.size() + " windows reported, each with one set of figures, " + requests + " requests in total";
	}

	private Map<String, JsonNode> reports() {
		String record = this.client.send(this.settings.usageIntakeAddress(), "GET", "/_record", Map.of())
			.getOrElseThrow((failure) -> new CheckFailedException(failure.detail()))
			.text();
		Map<String, JsonNode> reports = new HashMap<>();
		record.lines().filter((line) -> line.contains("/reports")).forEach((line) -> {
			JsonNode body = body(line);
			JsonNode known = reports.putIfAbsent(body.path("window").asText(), body);
			Checks.require(known == null || known.path("figures").equals(body.path("figures")),
					"window " + body.path("window") + " was reported with two sets of figures");
		});
		return reports;
	}

	private static JsonNode body(String line) {
		JsonNode entry = Json.tree(line.getBytes(StandardCharsets.UTF_8))
			.getOrElseThrow((failure) -> new CheckFailedException(failure.detail()));
		JsonNode body = entry.path("body");
		if (body.isTextual()) {
			return Json.tree(body.asText().getBytes(StandardCharsets.UTF_8))
				.getOrElseThrow((failure) -> new CheckFailedException(failure.detail()));
		}
		return body;
	}

}
