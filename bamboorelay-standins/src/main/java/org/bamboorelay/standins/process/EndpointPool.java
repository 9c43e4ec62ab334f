package org.bamboorelay.standins.process;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

import org.jspecify.annotations.Nullable;

/**
 * Pool of the endpoints that can be ordered, and the executed orders. A repeated order id
 * gets its first result again; a refusal because no endpoint is available is not stored,
 * so that the order can be retried.
 * <p>
 * Thread-safe. Endpoints are started and stopped under the lock, one at a time.
 */
public final class EndpointPool {

	private final Map<String, HostEntry> registered = new TreeMap<>();

	private final Map<String, HostEntry> started = new TreeMap<>();

	private final Map<String, OrderResult> results = new HashMap<>();

	private final Map<String, Long> fencing = new HashMap<>();

	private final EndpointController controller;

	private final HostTable hosts;

	/**
	 * Creates an empty pool.
	 * @param controller starts and stops endpoints
	 * @param hosts the host list to which started endpoints are added
	 */
	public EndpointPool(EndpointController controller, HostTable hosts) {
		this.controller = Objects.requireNonNull(controller, "controller");
		this.hosts = Objects.requireNonNull(hosts, "hosts");
	}

	/**
	 * Registers an endpoint that a start order can select.
	 * @param entry the endpoint
	 */
	public synchronized void register(HostEntry entry) {
		this.registered.put(entry.endpoint(), entry);
	}

	/**
	 * Returns the started endpoints of a domain.
	 * @param domain the domain, empty for all
	 * @return the endpoints
	 */
	public synchronized List<HostEntry> endpoints(String domain) {
		return this.started.values()
			.stream()
			.filter((entry) -> domain.isEmpty() || entry.domain().equals(domain))
			.toList();
	}

	/**
	 * Executes an order.
	 * @param order the order
	 * @param honoursFencing whether orders with an outdated fencing number are refused
	 * @param available whether the ordered kind is available
	 * @return the result
	 */
	public synchronized OrderResult order(Order order, boolean honoursFencing, boolean available) {
		OrderResult previous = this.results.get(order.orderId());
		if (previous != null) {
			return previous;
		}
		long highest = this.fencing.getOrDefault(order.domain(), 0L);
		if (honoursFencing && order.fencing() < highest) {
			return store(order, new OrderResult(409, null, "fencing " + order.fencing() + " is older than " + highest));
		}
		this.fencing.put(order.domain(), Math.max(highest, order.fencing()));
		return switch (order.action()) {
			case "start" -> start(order, available);
			case "stop" -> stop(order);
			default -> new OrderResult(400, null, "unknown action \"" + order.action() + "\"");
		};
	}

	private OrderResult start(Order order, boolean available) {
		if (available) {
			for (HostEntry entry : this.registered.values()) {
				if (!this.started.containsKey(entry.endpoint()) && order.matches(entry)
						&& this.controller.send(entry.address(), "start")) {
					this.started.put(entry.endpoint(), entry);
					this.hosts.put(entry);
					return store(order, new OrderResult(200, entry.endpoint(), "started"));
				}
			}
		}
		return new OrderResult(503, null,
				order.kind() + " endpoints of " + order.service() + " are unavailable in domain " + order.domain());
	}

	private OrderResult stop(Order order) {
		HostEntry entry = this.started.get(order.endpoint());
		if (entry == null) {
			return store(order, new OrderResult(404, null, "endpoint \"" + order.endpoint() + "\" is not started"));
		}
		this.started.remove(order.endpoint());
		this.hosts.remove(order.endpoint());
		// An unreachable endpoint counts as stopped, so the outcome of the call is
		// ignored.
		this.controller.send(entry.address(), "stop");
		return store(order, new OrderResult(200, entry.endpoint(), "stopped"));
	}

	private OrderResult store(Order order, OrderResult result) {
		this.results.put(order.orderId(), result);
		return result;
	}

	/**
	 * An order; see section 4.3 of the design document.
	 *
	 * @param orderId the id
	 * @param fencing the fencing number of the domain's lease
	 * @param action {@code start} or {@code stop}
	 * @param service the service
	 * @param domain the failure domain
	 * @param kind {@code steady} or {@code cheap}
	 * @param endpoint the endpoint to stop; for a start order, the requested endpoint, or
	 * empty for any
	 */
	public record Order(String orderId, long fencing, String action, String service, String domain, String kind,
			String endpoint) {

		boolean matches(HostEntry entry) {
			return entry.service().equals(this.service) && entry.domain().equals(this.domain)
					&& entry.kind().equals(this.kind)
					&& (this.endpoint.isEmpty() || this.endpoint.equals(entry.endpoint()));
		}

	}

	/**
	 * Result of an order.
	 *
	 * @param status the status code
	 * @param endpoint the endpoint, null if the order was refused
	 * @param detail description of the result
	 */
	public record OrderResult(int status, @Nullable String endpoint, String detail) {
	}

}
