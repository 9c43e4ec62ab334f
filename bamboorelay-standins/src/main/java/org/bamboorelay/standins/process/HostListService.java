package org.bamboorelay.standins.process;

import java.util.Map;
import java.util.Objects;

import com.fasterxml.jackson.databind.JsonNode;
import org.bamboorelay.standins.connection.StandinRequest;
import org.bamboorelay.standins.connection.StandinResponse;
import org.bamboorelay.standins.connection.StandinService;

/**
 * The host list: the endpoints that are live or leaving.
 * <p>
 * Thread-safe.
 */
public final class HostListService implements StandinService {

	private static final String HOSTS = "/hosts/";

	private final HostTable table;

	/**
	 * Creates the service.
	 * @param table the host list
	 */
	public HostListService(HostTable table) {
		this.table = Objects.requireNonNull(table, "table");
	}

	@Override
	public StandinResponse serve(StandinRequest request) {
		String endpoint = request.pathAfter(HOSTS);
		if (request.hasRoute("GET", "/hosts")) {
			return StandinResponse.json(200, this.table.entries());
		}
		if (!endpoint.isEmpty() && "PUT".equals(request.method())) {
			this.table.put(entry(endpoint, request.json()));
			return StandinResponse.json(200, Map.of("endpoint", endpoint));
		}
		if (!endpoint.isEmpty() && "DELETE".equals(request.method())) {
			this.table.remove(endpoint);
			return StandinResponse.json(200, Map.of("endpoint", endpoint));
		}
		return StandinResponse.problem(404, "no such path: " + request.method() + " " + request.path());
	}

	static HostEntry entry(String endpoint, JsonNode body) {
		return new HostEntry(endpoint, body.path("address").asText(), body.path("domain").asText(),
				body.path("service").asText(), body.path("kind").asText("steady"), body.path("state").asText("live"));
	}

}
