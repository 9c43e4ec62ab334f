package org.bamboorelay.standins.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import org.bamboorelay.standins.connection.StandinReply;
import org.bamboorelay.standins.connection.StandinRequest;
import org.bamboorelay.standins.connection.StandinService;

/**
 * The usage intake. It accepts every report and checks none, so that a test sees what was
 * sent; {@code GET /reports} lists them in order of arrival.
 * <p>
 * Thread-safe.
 */
public final class UsageIntakeService implements StandinService {

	private final List<JsonNode> reports = new ArrayList<>();

	@Override
	public StandinReply serve(StandinRequest request) {
		if (request.is("POST", "/reports")) {
			JsonNode report = request.json();
			if (!report.isObject()) {
				return StandinReply.problem(400, "the report is not a JSON object");
			}
			synchronized (this.reports) {
				this.reports.add(report);
			}
			return StandinReply.json(200, Map.of("accepted", true));
		}
		if (request.is("GET", "/reports")) {
			synchronized (this.reports) {
				return StandinReply.json(200, List.copyOf(this.reports));
			}
		}
		return StandinReply.problem(404, "no such path: " + request.method() + " " + request.path());
	}

	@Override
	public boolean showsBody(StandinRequest request) {
		return request.isWrite();
	}

}
