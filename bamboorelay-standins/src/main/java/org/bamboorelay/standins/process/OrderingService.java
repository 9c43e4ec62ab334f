package org.bamboorelay.standins.process;

import java.util.Map;
import java.util.Objects;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Option;
import org.bamboorelay.standins.connection.Faults;
import org.bamboorelay.standins.connection.StandinRequest;
import org.bamboorelay.standins.connection.StandinResponse;
import org.bamboorelay.standins.connection.StandinService;

/**
 * HTTP interface for ordering endpoints. Faults: {@code unavailable} with optional fields
 * {@code domain} and {@code kind}, and {@code ignore-fencing}.
 * <p>
 * Thread-safe.
 */
public final class OrderingService implements StandinService {

	private static final String POOL = "/_pool/";

	private final EndpointPool endpointPool;

	private final Faults faults;

	/**
	 * Creates the service.
	 * @param endpointPool the endpoints and orders
	 * @param faults the active faults
	 */
	public OrderingService(EndpointPool endpointPool, Faults faults) {
		this.endpointPool = Objects.requireNonNull(endpointPool, "endpointPool");
		this.faults = Objects.requireNonNull(faults, "faults");
	}

	@Override
	public StandinResponse serve(StandinRequest request) {
		String endpointId = request.pathAfter(POOL);
		if (request.hasRoute("POST", "/orders")) {
			return order(request.json());
		}
		if (request.hasRoute("GET", "/endpoints")) {
			return StandinResponse.json(200, this.endpointPool.endpoints(request.query().getOrDefault("domain", "")));
		}
		if (!endpointId.isEmpty() && "PUT".equals(request.method())) {
			this.endpointPool.register(HostListService.entry(endpointId, request.json()));
			return StandinResponse.json(200, Map.of("endpoint", endpointId));
		}
		return StandinResponse.problem(404, "no such path: " + request.method() + " " + request.path());
	}

	@Override
	public boolean recordsBody(StandinRequest request) {
		return request.isWrite();
	}

	private StandinResponse order(JsonNode body) {
		if (!body.hasNonNull("order_id") || !body.hasNonNull("domain") || !body.path("fencing").isIntegralNumber()) {
			return StandinResponse.problem(400, "an order requires order_id, domain and an integer fencing");
		}
		EndpointPool.Order order = new EndpointPool.Order(body.path("order_id").asText(), body.path("fencing").asLong(),
				body.path("action").asText(), body.path("service").asText(), body.path("domain").asText(),
				body.path("kind").asText("steady"), body.path("endpoint").asText(""));
		EndpointPool.OrderResult result = this.endpointPool.order(order, !this.faults.isActive("ignore-fencing"),
				isAvailable(order));
		if (result.endpoint() == null) {
			return StandinResponse.problem(result.status(), result.detail());
		}
		return StandinResponse.json(result.status(), Map.of("endpoint", result.endpoint()))
			.withOutcome(result.status() + " " + result.detail() + " " + result.endpoint());
	}

	private boolean isAvailable(EndpointPool.Order order) {
		Option<JsonNode> fault = this.faults.value("unavailable", "");
		if (fault.isEmpty()) {
			return true;
		}
		String domain = fault.get().path("domain").asText(order.domain());
		String kind = fault.get().path("kind").asText(order.kind());
		return !(domain.equals(order.domain()) && kind.equals(order.kind()));
	}

}
