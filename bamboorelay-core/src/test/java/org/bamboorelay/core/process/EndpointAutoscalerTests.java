package org.bamboorelay.core.process;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.bamboorelay.core.time.ManualClock;
import org.bamboorelay.core.version.ServiceRule;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link EndpointAutoscaler} with submissions that arrive in bursts every few
 * seconds.
 */
class EndpointAutoscalerTests {

	private static final ServiceRule RULE = new ServiceRule("s", "/health", 100, 0, List.of("m"), 1, 4);

	private static final Set<String> DOMAINS = Set.of("a", "b", "c");

	private final ManualClock clock = ManualClock.of(100_000);

	private final EndpointAutoscaler orders = EndpointAutoscaler.of(this.clock);

	@Test
	void processThatTakesOverTheDutyDoesNotReduceTheNumberAtFirst() {
		// Without a delay each new holder of the duty ordered the minimum, because it
		// had not seen any demand yet.
		for (int tick = 0; tick < 20; tick++) {
			assertThat(next(0, Map.of("a", 2, "b", 2, "c", 2))).isEmpty();
			this.clock.advance(1_000);
		}
	}

	@Test
	void burstRaisesTheNumberImmediatelyWithinTheBounds() {
		assertThat(next(100, Map.of("a", 1, "b", 1, "c", 1)))
			.allSatisfy((order) -> assertThat(order.count()).isLessThanOrEqualTo(4))
			.extracting(EndpointAutoscaler.Order::domain)
			.containsExactly("a", "b", "c");
	}

	@Test
	void numberIsReducedOnlyAfterTheDelay() {
		next(100, Map.of("a", 4, "b", 4, "c", 4));
		long start = this.clock.millis();
		List<EndpointAutoscaler.Order> reduction = List.of();
		while (reduction.isEmpty()) {
			this.clock.advance(500);
			reduction = next(0, Map.of("a", 4, "b", 4, "c", 4));
		}
		assertThat(this.clock.millis() - start).isGreaterThanOrEqualTo(30_000);
		assertThat(reduction).allSatisfy((order) -> assertThat(order.count()).isGreaterThanOrEqualTo(1));
	}

	@Test
	void disabledDomainGetsNoOrder() {
		assertThat(this.orders.nextOrders(RULE, 100, 8, Map.of(), Set.of("a")))
			.extracting(EndpointAutoscaler.Order::domain)
			.containsExactly("a");
	}

	private List<EndpointAutoscaler.Order> next(int demand, Map<String, Integer> present) {
		return this.orders.nextOrders(RULE, demand, 8, present, DOMAINS);
	}

}
