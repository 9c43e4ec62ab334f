package org.bamboorelay.host.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.vavr.control.Either;
import org.bamboorelay.core.process.DueWork;
import org.bamboorelay.core.process.EndpointEntry;
import org.bamboorelay.core.process.EndpointTable;
import org.bamboorelay.core.process.SpotCapacityPlanner;
import org.bamboorelay.core.version.ServiceRule;
import org.bamboorelay.core.version.SpotScaling;
import org.bamboorelay.host.connection.PlatformCalls;
import org.bamboorelay.runtime.process.Counters;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the orders that follow from the reports of hosts and the platform's responses.
 */
class SpotOrdersTests {

	private static final Set<String> DOMAINS = Set.of("a", "b", "c");

	private static final ServiceRule RULE = new ServiceRule("s", "/health", 100, 0, List.of("m"), 1, 21, 0,
			new SpotScaling(4_000, 0.15, Map.of("a", 1.0, "b", 0.8, "c", 1.25)));

	private final Counters counters = Counters.create();

	private final List<SpotCapacityPlanner.Order> orders = new ArrayList<>();

	private long now = 100_000;

	private final EndpointTable table = EndpointTable.create(() -> this.now);

	private final SpotOrders spotOrders = new SpotOrders(() -> this.now, this.table, this.counters, new EventLog());

	@Test
	void refusedOrderIsReplacedByTheOtherKindInTheSameDecision() {
		// A decision later is half a second later, of the 2 to 3 s that a reclaim notice
		// leaves.
		putEndpoints();
		this.spotOrders.update("host-a", Map.of("s", 300), Map.of("s", work(500_000).slotMillis()));
		order();
		assertThat(this.orders).anyMatch(SpotCapacityPlanner.Order::spot).anyMatch((order) -> !order.spot());
		assertThat(this.counters.text()).contains("endpoint_orders_refused_total{kind=\"spot\"} ")
			.contains("endpoint_orders_total{kind=\"on-demand\"} ");
	}

	@Test
	void reportsOfAbsentHostsAreIgnoredAndThoseOfEarlierReleasesCount() {
		// The work of a host that was lost would otherwise be paid for until the duties
		// move to another host.
		putEndpoints();
		this.spotOrders.update("host-lost", Map.of(), Map.of("s", work(500_000).slotMillis()));
		this.now += 3_500;
		order();
		assertThat(this.orders).isEmpty();
		this.spotOrders.update("host-earlier-release", Map.of("s", 400), Map.of());
		order();
		assertThat(this.orders).isNotEmpty();
	}

	private static DueWork work(long millis) {
		return DueWork.NONE.plus(DueWork.DEFAULT_DUE_MILLIS, millis);
	}

	private void putEndpoints() {
		for (String domain : DOMAINS) {
			this.table.put(new EndpointEntry("e-" + domain, "s", "10.0.0.1:80", domain, 8, false, 0, 1, Map.of()));
		}
	}

	private void order() {
		this.spotOrders.order(RULE, DOMAINS, (order) -> {
			this.orders.add(order);
			return Either.right(
					order.spot() ? new PlatformCalls.OrderReply(409, true) : new PlatformCalls.OrderReply(202, false));
		});
	}

}
