package org.bamboorelay.standins.process;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Option;
import org.bamboorelay.standins.connection.Faults;
import org.bamboorelay.standins.connection.StandinResponse;

/**
 * Executes the weight load orders of an engine, one at a time. A repeated order id gets
 * the same response again, except after a failure of the weight store, so that the order
 * can be retried.
 * <p>
 * Thread-safe.
 */
public final class EngineOrders {

	private final Map<String, StandinResponse> responses = new HashMap<>();

	private final SimulatedEngine engine;

	private final WeightSource weights;

	private final Faults faults;

	private final boolean honoursFencing;

	private long highestFencing;

	/**
	 * Creates an executor without orders.
	 * @param engine the engine
	 * @param weights the source of weights
	 * @param faults the active faults
	 * @param honoursFencing whether orders with an outdated fencing number are refused
	 */
	public EngineOrders(SimulatedEngine engine, WeightSource weights, Faults faults, boolean honoursFencing) {
		this.engine = Objects.requireNonNull(engine, "engine");
		this.weights = Objects.requireNonNull(weights, "weights");
		this.faults = Objects.requireNonNull(faults, "faults");
		this.honoursFencing = honoursFencing;
	}

	/**
	 * Executes an order.
	 * @param order the order; see section 4.2 of the design document
	 * @return the response
	 */
	public synchronized StandinResponse execute(JsonNode order) {
		String id = order.path("order_id").asText("");
		String line = order.path("line").asText("");
		if (id.isEmpty() || !"load_weights".equals(order.path("action").asText()) || !this.engine.hasLine(line)
				|| !order.path("version").isIntegralNumber()) {
			return StandinResponse.problem(400,
					"not a load_weights order with order_id, a weight line of this engine and an integer version");
		}
		StandinResponse previous = this.responses.get(id);
		if (previous != null) {
			return previous;
		}
		long fencingNumber = order.path("fencing").asLong();
		if (this.honoursFencing && fencingNumber < this.highestFencing) {
			return store(id,
					StandinResponse.problem(409, "fencing " + fencingNumber + " is older than " + this.highestFencing));
		}
		this.highestFencing = Math.max(this.highestFencing, fencingNumber);
		return load(id, line, order.path("version").asLong());
	}

	private StandinResponse load(String id, String line, long version) {
		Option<JsonNode> failure = this.faults.value("fail-swap", line);
		if (failure.isDefined()) {
			int status = (int) Faults.numberOf(failure.get(), "status", 500);
			// A fault value of true reads as 1, which is not a valid status.
			return store(id, StandinResponse.json((status < 100) ? 500 : status, Map.of("order_id", id))
				.withOutcome("fault: weights not loaded"));
		}
		int status = this.weights.fetch(line, version);
		if (status != 200) {
			return StandinResponse.problem(503, "weight store responded with status " + status);
		}
		this.engine.replaceWeights(line, version);
		return store(id,
				StandinResponse.json(200, Map.of("order_id", id)).withOutcome("200 loaded " + line + "@" + version));
	}

	private StandinResponse store(String id, StandinResponse response) {
		this.responses.put(id, response);
		return response;
	}

}
