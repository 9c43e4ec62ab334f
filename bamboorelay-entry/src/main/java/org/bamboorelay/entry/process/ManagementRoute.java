package org.bamboorelay.entry.process;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.JsonNode;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpStatus;
import org.bamboorelay.core.failure.Refusal;
import org.bamboorelay.core.failure.RefusalReason;
import org.bamboorelay.core.version.Configuration;
import org.bamboorelay.core.version.KeyHash;
import org.bamboorelay.core.version.LiveConfiguration;
import org.bamboorelay.entry.connection.TcpPeerMesh;
import org.bamboorelay.entry.request.CallerRequest;
import org.bamboorelay.entry.request.CallerRoute;
import org.bamboorelay.entry.request.ProblemResponder;
import org.bamboorelay.runtime.connection.HttpListener.Responder;
import org.bamboorelay.runtime.process.Counters;
import org.bamboorelay.runtime.request.Json;

/**
 * Serves the health checks, the metrics and the paths for operators.
 * <p>
 * Thread-safe.
 */
final class ManagementRoute implements CallerRoute {

	private static final String JSON = "application/json";

	private static final Set<String> GET_PATHS = Set.of("/health", "/health/live", "/health/ready", "/health/leaving",
			"/metrics", "/operator/status");

	private static final String WITHDRAWALS_PATH = "/operator/withdrawals";

	private final LiveConfiguration configuration;

	private final TcpPeerMesh mesh;

	private final Counters counters;

	private final ProblemResponder problems;

	private final IntSupplier runningRequests;

	private final Supplier<Object> endpoints;

	private volatile boolean leaving;

	private ManagementRoute(LiveConfiguration configuration, TcpPeerMesh mesh, Counters counters,
			IntSupplier runningRequests, Supplier<Object> endpoints) {
		this.configuration = configuration;
		this.mesh = mesh;
		this.counters = counters;
		this.problems = ProblemResponder.of(counters);
		this.runningRequests = runningRequests;
		this.endpoints = endpoints;
	}

	static ManagementRoute of(LiveConfiguration configuration, TcpPeerMesh mesh, Counters counters,
			IntSupplier runningRequests, Supplier<Object> endpoints) {
		return new ManagementRoute(configuration, mesh, counters, runningRequests, endpoints);
	}

	void startLeaving() {
		this.leaving = true;
	}

	@Override
	public boolean accepts(String method, String path) {
		return ("GET".equals(method) && GET_PATHS.contains(path))
				|| ("POST".equals(method) && WITHDRAWALS_PATH.equals(path));
	}

	@Override
	public void serve(CallerRequest request, Responder responder) throws HttpException, IOException {
		switch (request.path()) {
			case "/health", "/health/ready" -> health(responder, !this.leaving && this.configuration.isReady());
			case "/health/live" -> health(responder, true);
			case "/health/leaving" -> responder.send(this.leaving ? HttpStatus.SC_OK : HttpStatus.SC_NOT_FOUND, JSON,
					Json.text(Map.of("leaving", this.leaving)));
			case "/metrics" -> responder.send(HttpStatus.SC_OK, "text/plain", this.counters.text());
			case WITHDRAWALS_PATH -> withdraw(request, responder);
			default -> responder.send(HttpStatus.SC_OK, JSON, Json.text(status()));
		}
	}

	private void health(Responder responder, boolean healthy) throws HttpException, IOException {
		Map<String, Object> body = new LinkedHashMap<>();
		body.put("ready", this.configuration.isReady() && !this.leaving);
		body.put("leaving", this.leaving);
		body.put("config_version", this.configuration.current().map(Configuration::version).getOrElse(0L));
		responder.send(healthy ? HttpStatus.SC_OK : HttpStatus.SC_SERVICE_UNAVAILABLE, JSON, Json.text(body));
	}

	private void withdraw(CallerRequest request, Responder responder) throws HttpException, IOException {
		JsonNode body = Json.tree(request.body()).getOrNull();
		try {
			KeyHash key = KeyHash.parse((body != null) ? body.path("key_hash").asText() : "");
			int holders = this.mesh.withdraw(List.of(key));
			responder.send(HttpStatus.SC_OK, JSON,
					Json.text(Map.of("withdrawn", this.configuration.withdrawn().size(), "held_by_at_least", holders)));
		}
		catch (IllegalArgumentException ex) {
			this.problems.send(responder, request.requestId(),
					Refusal.notExecuted(RefusalReason.BAD_REQUEST, "key_hash must be 64 hexadecimal digits"));
		}
	}

	private Map<String, Object> status() {
		Map<String, Object> status = new LinkedHashMap<>();
		status.put("host", this.mesh.self().value());
		status.put("domain", this.mesh.domain(this.mesh.self()).value());
		status.put("ready", this.configuration.isReady() && !this.leaving);
		status.put("leaving", this.leaving);
		status.put("config_version", this.configuration.current().map(Configuration::version).getOrElse(0L));
		status.put("held_version", this.configuration.heldVersion());
		status.put("view_age_ms", this.configuration.viewAgeMillis());
		status.put("withdrawn", this.configuration.withdrawn().size());
		List<Map<String, String>> peers = new ArrayList<>();
		this.mesh.states()
			.forEach((host, state) -> peers.add(Map.of("host", host.value(), "domain", this.mesh.domain(host).value(),
					"state", state.name().toLowerCase(Locale.ROOT))));
		status.put("peers", peers);
		status.put("running_requests", this.runningRequests.getAsInt());
		status.put("endpoints", this.endpoints.get());
		return status;
	}

}
