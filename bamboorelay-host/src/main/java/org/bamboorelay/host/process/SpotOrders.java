package org.bamboorelay.host.process;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

import io.vavr.control.Either;
import org.bamboorelay.core.process.DueWork;
import org.bamboorelay.core.process.EndpointTable;
import org.bamboorelay.core.process.SpotCapacityPlanner;
import org.bamboorelay.core.time.Clock;
import org.bamboorelay.core.version.ServiceRule;
import org.bamboorelay.host.connection.PlatformCalls;
import org.bamboorelay.runtime.connection.HttpFailure;
import org.bamboorelay.runtime.process.Counters;

/**
 * Orders the endpoints of services with spot endpoints, according to the work that all
 * hosts report.
 * <p>
 * Reports may arrive on any thread; one thread sends orders.
 */
final class SpotOrders {

	/**
	 * Age from which the report of a host is ignored, in milliseconds; hosts report
	 * several times a second.
	 */
	private static final long MAX_REPORT_AGE_MILLIS = 3_000;

	/**
	 * Maximum number of decisions in a row: a refused order is replaced at once, by the
	 * other kind or in another domain.
	 */
	private static final int MAX_ROUNDS = 4;

	private final Clock clock;

	private final SpotCapacityPlanner planner;

	private final EndpointTable table;

	private final Counters counters;

	private final EventLog log;

	private final Map<String, Report> reports = new ConcurrentHashMap<>();

	SpotOrders(Clock clock, EndpointTable table, Counters counters, EventLog log) {
		this.clock = Objects.requireNonNull(clock, "clock");
		this.planner = SpotCapacityPlanner.of(clock);
		this.table = Objects.requireNonNull(table, "table");
		this.counters = Objects.requireNonNull(counters, "counters");
		this.log = Objects.requireNonNull(log, "log");
	}

	// Updates what a host reports: the number of its items and its work, by service.
	void update(String host, Map<String, Integer> items, Map<String, List<Long>> work) {
		Map<String, DueWork> byService = new HashMap<>();
		items.forEach((service, count) -> byService.put(service, DueWork.ofItems(count)));
		work.forEach((service, figures) -> byService.put(service, DueWork.of(figures)));
		this.reports.put(host, new Report(byService, this.clock.millis()));
	}

	// Sends the orders that are due now. The sender returns the response of the platform.
	void order(ServiceRule rule, Set<String> domains,
			Function<SpotCapacityPlanner.Order, Either<HttpFailure, PlatformCalls.OrderReply>> sender) {
		boolean refused = true;
		for (int round = 0; refused && round < MAX_ROUNDS; round++) {
			refused = false;
			DueWork work = work(rule.name());
			for (SpotCapacityPlanner.Order order : this.planner.nextOrders(rule, work, this.table.slots(rule.name()),
					this.table.countsByDomain(rule.name()), domains)) {
				refused |= handle(order, work, sender.apply(order));
			}
		}
	}

	private DueWork work(String service) {
		long oldest = this.clock.millis() - MAX_REPORT_AGE_MILLIS;
		this.reports.values().removeIf((report) -> report.atMillis() < oldest);
		DueWork sum = DueWork.NONE;
		for (Report report : this.reports.values()) {
			sum = sum.plus(report.work().getOrDefault(service, DueWork.NONE));
		}
		return sum;
	}

	private boolean handle(SpotCapacityPlanner.Order order, DueWork work,
			Either<HttpFailure, PlatformCalls.OrderReply> response) {
		SpotCapacityPlanner.Result result = SpotCapacityPlanner.Result.FAILED;
		if (response.isRight() && response.get().isAccepted()) {
			result = SpotCapacityPlanner.Result.ACCEPTED;
		}
		else if (response.isRight() && response.get().noneAvailable()) {
			result = SpotCapacityPlanner.Result.NONE_AVAILABLE;
		}
		String kind = order.spot() ? "spot" : "on-demand";
		this.log.info("endpoints-ordered", "service", order.service(), "domain", order.domain(), "kind", kind, "count",
				order.count(), "work_ms", work.totalMillis(), "outcome",
				response.fold(HttpFailure::code, (reply) -> String.valueOf(reply.status())));
		boolean refused = result == SpotCapacityPlanner.Result.NONE_AVAILABLE;
		this.counters.counter(refused ? "endpoint_orders_refused_total" : "endpoint_orders_total", "kind", kind).inc();
		if (this.planner.onResult(order, result)) {
			this.log.info(refused ? "endpoints-unavailable" : "endpoints-available", "service", order.service(),
					"domain", order.domain(), "kind", kind);
		}
		return refused;
	}

	private record Report(Map<String, DueWork> work, long atMillis) {
	}

}
