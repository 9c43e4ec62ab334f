package org.bamboorelay.standins.process;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.node.IntNode;
import org.bamboorelay.core.time.ManualClock;
import org.bamboorelay.runtime.request.Json;
import org.bamboorelay.standins.connection.Faults;
import org.bamboorelay.standins.connection.RequestRecord;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against an engine stand-in that accepts orders that a real engine refuses, or
 * reports weights that it has not loaded.
 */
class EngineOrdersTests {

	private final Faults faults = new Faults();

	private final Deque<Integer> weightStatuses = new ArrayDeque<>();

	private final SimulatedEngine engine = new SimulatedEngine(new EngineSettings(new EndpointIdentity("e", "s", "d"),
			4, 10, List.of("cartas"), 0, 2, true, 0, 0, 0, 64, false), ManualClock.of(0), new RequestRecord(10), true);

	@Test
	void outdatedFencingIsRefusedIfFencingIsHonoured() {
		EngineOrders orders = orders(true);
		assertThat(execute(orders, "a", 5, 1)).isEqualTo(200);
		assertThat(execute(orders, "b", 4, 2)).isEqualTo(409);
		assertThat(version()).isEqualTo(1);
	}

	@Test
	void outdatedFencingIsAcceptedIfFencingIsIgnored() {
		EngineOrders orders = orders(false);
		execute(orders, "a", 5, 1);
		assertThat(execute(orders, "b", 4, 2)).isEqualTo(200);
		assertThat(version()).isEqualTo(2);
	}

	@Test
	void repeatedOrderDoesNotLoadWeightsAgain() {
		EngineOrders orders = orders(true);
		execute(orders, "a", 1, 1);
		execute(orders, "b", 1, 2);
		assertThat(execute(orders, "a", 1, 1)).isEqualTo(200);
		assertThat(version()).isEqualTo(2);
	}

	@Test
	void failSwapFaultKeepsLoadedWeightsForAnyStatus() {
		EngineOrders orders = orders(true);
		this.faults.activate("fail-swap", IntNode.valueOf(200));
		assertThat(execute(orders, "a", 1, 1)).isEqualTo(200);
		this.faults.activate("fail-swap", IntNode.valueOf(500));
		assertThat(execute(orders, "b", 1, 1)).isEqualTo(500);
		assertThat(version()).isZero();
	}

	@Test
	void orderCanBeRetriedAfterWeightStoreRefusal() {
		EngineOrders orders = orders(true);
		this.weightStatuses.add(429);
		assertThat(execute(orders, "a", 1, 1)).isEqualTo(503);
		assertThat(execute(orders, "a", 1, 1)).isEqualTo(200);
		assertThat(version()).isEqualTo(1);
	}

	private EngineOrders orders(boolean honoursFencing) {
		WeightSource source = (line, version) -> this.weightStatuses.isEmpty() ? 200 : this.weightStatuses.remove();
		return new EngineOrders(this.engine, source, this.faults, honoursFencing);
	}

	private long version() {
		return this.engine.load().weightVersions().get("cartas");
	}

	private static int execute(EngineOrders orders, String id, long fencing, long version) {
		return orders
			.execute(Json.MAPPER.valueToTree(Map.of("order_id", id, "fencing", fencing, "action", "load_weights",
					"line", "cartas", "version", version)))
			.status();
	}

}
