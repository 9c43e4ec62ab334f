package org.bamboorelay.standins.process;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.node.IntNode;
import org.bamboorelay.core.time.ManualClock;
import org.bamboorelay.runtime.request.Json;
import org.bamboorelay.standins.connection.CallRecord;
import org.bamboorelay.standins.connection.Faults;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against an engine stand-in that takes orders which a real engine refuses, or
 * tells of weights that it does not have.
 */
class EngineOrdersTests {

	private final Faults faults = new Faults();

	private final Deque<Integer> weightStatuses = new ArrayDeque<>();

	private final EngineState engine = new EngineState(new EngineSettings(new EndpointIdentity("e", "s", "d"), 4, 10,
			List.of("cartas"), 0, 2, true, 0, 0, 0, 64, false), ManualClock.of(0), new CallRecord(10), true);

	@Test
	void oldFencingIsRefusedWhereItIsHonoured() {
		EngineOrders orders = orders(true);
		assertThat(take(orders, "a", 5, 1)).isEqualTo(200);
		assertThat(take(orders, "b", 4, 2)).isEqualTo(409);
		assertThat(version()).isEqualTo(1);
	}

	@Test
	void oldFencingIsTakenWhereItIsIgnored() {
		EngineOrders orders = orders(false);
		take(orders, "a", 5, 1);
		assertThat(take(orders, "b", 4, 2)).isEqualTo(200);
		assertThat(version()).isEqualTo(2);
	}

	@Test
	void repeatedOrderDoesNotSwapAgain() {
		EngineOrders orders = orders(true);
		take(orders, "a", 1, 1);
		take(orders, "b", 1, 2);
		assertThat(take(orders, "a", 1, 1)).isEqualTo(200);
		assertThat(version()).isEqualTo(2);
	}

	@Test
	void failedSwapKeepsTheOldWeightsWhateverItSays() {
		EngineOrders orders = orders(true);
		this.faults.put("fail-swap", IntNode.valueOf(200));
		assertThat(take(orders, "a", 1, 1)).isEqualTo(200);
		this.faults.put("fail-swap", IntNode.valueOf(500));
		assertThat(take(orders, "b", 1, 1)).isEqualTo(500);
		assertThat(version()).isZero();
	}

	@Test
	void orderCanBeRepeatedAfterTheWeightStoreRefused() {
		EngineOrders orders = orders(true);
		this.weightStatuses.add(429);
		assertThat(take(orders, "a", 1, 1)).isEqualTo(503);
		assertThat(take(orders, "a", 1, 1)).isEqualTo(200);
		assertThat(version()).isEqualTo(1);
	}

	private EngineOrders orders(boolean honoursFencing) {
		WeightSource source = (line, version) -> this.weightStatuses.isEmpty() ? 200 : this.weightStatuses.remove();
		return new EngineOrders(this.engine, source, this.faults, honoursFencing);
	}

	private long version() {
		return this.engine.load().weightVersions().get("cartas");
	}

	private static int take(EngineOrders orders, String id, long fencing, long version) {
		return orders
			.take(Json.MAPPER.valueToTree(Map.of("order_id", id, "fencing", fencing, "action", "load_weights", "line",
					"cartas", "version", version)))
			.status();
	}

}
