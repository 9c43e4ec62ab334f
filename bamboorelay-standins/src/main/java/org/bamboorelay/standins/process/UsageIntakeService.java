package org.bamboorelay.standins.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import org.bamboorelay.standins.connection.StandinRequest;
import org.bamboorelay.standins.connection.StandinResponse;
import org.bamboorelay.standins.connection.StandinService;

/**
 * The usage intake. It accepts every report without validation, so that tests can inspect
 * what was sent; {@code GET /reports} lists them in order of arrival.
 * <p>
 * Thread-safe.
 */
public final class UsageIntakeService implements StandinService {

	private final List<JsonNode> reports = new ArrayList<>();

	@Override
	public StandinResponse serve(StandinRequest request) {
		if (request.hasRoute("POST", "/reports")) {
			JsonNode report = request.json();
			if (!report.isObject()) {
				return StandinResponse.problem(400, "the report is not a JSON object");
			}
			synchronized (this.reports) {
				this.reports.add(report);
			}
			return StandinResponse.json(200, Map.of("accepted", true));
		}
		if (request.hasRoute("GET", "/reports")) {
			synchronized (this.reports) {
				return StandinResponse.json(200, List.copyOf(this.reports));
			}
		}
		return StandinResponse.problem(404, "no such path: " + request.method() + " " + request.path());
	}

	@Override
	public boolean recordsBody(StandinRequest request) {
		return request.isWrite();
	}

}
