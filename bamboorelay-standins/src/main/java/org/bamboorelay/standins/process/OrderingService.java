package org.bamboorelay.standins.process;

import java.util.Map;
import java.util.Objects;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Option;
import org.bamboorelay.standins.connection.Faults;
import org.bamboorelay.standins.connection.StandinReply;
import org.bamboorelay.standins.connection.StandinRequest;
import org.bamboorelay.standins.connection.StandinService;

/**
 * The interface for ordering endpoints. Faults: {@code unavailable} with optional fields
 * {@code domain} and {@code kind}, and {@code ignore-fencing}.
 * <p>
 * Thread-safe.
 */
public final class OrderingService implements StandinService {

	private static final String POOL = "/_pool/";

	private final OrderingTable table;

	private final Faults faults;

	/**
	 * Creates the service.
	 * @param table the endpoints and orders
	 * @param faults the faults that are on
	 */
	public OrderingService(OrderingTable table, Faults faults) {
		this.table = Objects.requireNonNull(table, "table");
		this.faults = Objects.requireNonNull(faults, "faults");
	}

	@Override
	public StandinReply serve(StandinRequest request) {
		String pooled = request.after(POOL);
		if (request.is("POST", "/orders")) {
			return order(request.json());
		}
		if (request.is("GET", "/endpoints")) {
			return StandinReply.json(200, this.table.endpoints(request.query().getOrDefault("domain", "")));
		}
		if (!pooled.isEmpty() && "PUT".equals(request.method())) {
			this.table.register(HostListService.entry(pooled, request.json()));
			return StandinReply.json(200, Map.of("endpoint", pooled));
		}
		return StandinReply.problem(404, "no such path: " + request.method() + " " + request.path());
	}

	@Override
	public boolean showsBody(StandinRequest request) {
		return request.isWrite();
	}

	private StandinReply order(JsonNode body) {
		if (!body.hasNonNull("order_id") || !body.hasNonNull("domain") || !body.path("fencing").isIntegralNumber()) {
			return StandinReply.problem(400, "an order has order_id, domain and a whole number fencing");
		}
		OrderingTable.Order order = new OrderingTable.Order(body.path("order_id").asText(),
				body.path("fencing").asLong(), body.path("action").asText(), body.path("service").asText(),
				body.path("domain").asText(), body.path("kind").asText("steady"), body.path("endpoint").asText(""));
		OrderingTable.Answer answer = this.table.order(order, !this.faults.isOn("ignore-fencing"), isAvailable(order));
		if (answer.endpoint() == null) {
			return StandinReply.problem(answer.status(), answer.detail());
		}
		return StandinReply.json(answer.status(), Map.of("endpoint", answer.endpoint()))
			.withOutcome(answer.status() + " " + answer.detail() + " " + answer.endpoint());
	}

	private boolean isAvailable(OrderingTable.Order order) {
		Option<JsonNode> fault = this.faults.value("unavailable", "");
		if (fault.isEmpty()) {
			return true;
		}
		String domain = fault.get().path("domain").asText(order.domain());
		String kind = fault.get().path("kind").asText(order.kind());
		return !(domain.equals(order.domain()) && kind.equals(order.kind()));
	}

}
