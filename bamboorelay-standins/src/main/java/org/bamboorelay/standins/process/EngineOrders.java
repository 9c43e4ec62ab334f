package org.bamboorelay.standins.process;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Option;
import org.bamboorelay.standins.connection.Faults;
import org.bamboorelay.standins.connection.StandinReply;

/**
 * Orders that an engine was given. It loads one version at a time. An order id gets the
 * same answer again, except where the weight store failed, so that the order can be
 * repeated.
 * <p>
 * Thread-safe.
 */
public final class EngineOrders {

	private final Map<String, StandinReply> answers = new HashMap<>();

	private final EngineState state;

	private final WeightSource weights;

	private final Faults faults;

	private final boolean honoursFencing;

	private long fencing;

	/**
	 * Creates an empty set of orders.
	 * @param state the engine
	 * @param weights the source of weights
	 * @param faults the faults that are on
	 * @param honoursFencing whether an old fencing number is refused
	 */
	public EngineOrders(EngineState state, WeightSource weights, Faults faults, boolean honoursFencing) {
		this.state = Objects.requireNonNull(state, "state");
		this.weights = Objects.requireNonNull(weights, "weights");
		this.faults = Objects.requireNonNull(faults, "faults");
		this.honoursFencing = honoursFencing;
	}

	/**
	 * Carries out an order.
	 * @param order the order as in section 4.2 of the design page
	 * @return the answer
	 */
	public synchronized StandinReply take(JsonNode order) {
		String id = order.path("order_id").asText("");
		String line = order.path("line").asText("");
		if (id.isEmpty() || !"load_weights".equals(order.path("action").asText()) || !this.state.hasLine(line)
				|| !order.path("version").isIntegralNumber()) {
			return StandinReply.problem(400, "not an order to load weights of a line of this engine");
		}
		StandinReply known = this.answers.get(id);
		if (known != null) {
			return known;
		}
		long number = order.path("fencing").asLong();
		if (this.honoursFencing && number < this.fencing) {
			return keep(id, StandinReply.problem(409, "fencing " + number + " is older than " + this.fencing));
		}
		this.fencing = Math.max(this.fencing, number);
		return load(id, line, order.path("version").asLong());
	}

	private StandinReply load(String id, String line, long version) {
		Option<JsonNode> fail = this.faults.value("fail-swap", line);
		if (fail.isDefined()) {
			int status = (int) Faults.number(fail.get(), "status", 500);
			// A value of true reads as 1, which is no status.
			return keep(id, StandinReply.json((status < 100) ? 500 : status, Map.of("order_id", id))
				.withOutcome("fault: kept the old weights"));
		}
		int status = this.weights.fetch(line, version);
		if (status != 200) {
			return StandinReply.problem(503, "the weight store answered " + status);
		}
		this.state.swap(line, version);
		return keep(id,
				StandinReply.json(200, Map.of("order_id", id)).withOutcome("200 swapped to " + line + "@" + version));
	}

	private StandinReply keep(String id, StandinReply reply) {
		this.answers.put(id, reply);
		return reply;
	}

}
