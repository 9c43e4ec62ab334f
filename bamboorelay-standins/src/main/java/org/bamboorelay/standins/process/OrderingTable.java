package org.bamboorelay.standins.process;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

import org.jspecify.annotations.Nullable;

/**
 * Endpoints that can be ordered, and the orders that were given. An order id always gets
 * the answer that it got first; refusals of an unavailable kind are not kept, so that the
 * order can be given again.
 * <p>
 * Thread-safe; endpoints are told to start and stop under the lock, one at a time.
 */
public final class OrderingTable {

	private final Map<String, HostEntry> pool = new TreeMap<>();

	private final Map<String, HostEntry> started = new TreeMap<>();

	private final Map<String, Answer> answers = new HashMap<>();

	private final Map<String, Long> fencing = new HashMap<>();

	private final EndpointStarter starter;

	private final HostTable hosts;

	/**
	 * Creates an empty table.
	 * @param starter starts and stops endpoints
	 * @param hosts the host list that shows started endpoints
	 */
	public OrderingTable(EndpointStarter starter, HostTable hosts) {
		this.starter = Objects.requireNonNull(starter, "starter");
		this.hosts = Objects.requireNonNull(hosts, "hosts");
	}

	/**
	 * Registers an endpoint that a start order can hand out.
	 * @param entry the endpoint
	 */
	public synchronized void register(HostEntry entry) {
		this.pool.put(entry.endpoint(), entry);
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
	 * Carries out an order.
	 * @param order the order
	 * @param honoursFencing whether an old fencing number is refused
	 * @param available whether the ordered kind can be had
	 * @return the answer
	 */
	public synchronized Answer order(Order order, boolean honoursFencing, boolean available) {
		Answer known = this.answers.get(order.orderId());
		if (known != null) {
			return known;
		}
		long highest = this.fencing.getOrDefault(order.domain(), 0L);
		if (honoursFencing && order.fencing() < highest) {
			return keep(order, new Answer(409, null, "fencing " + order.fencing() + " is older than " + highest));
		}
		this.fencing.put(order.domain(), Math.max(highest, order.fencing()));
		return switch (order.action()) {
			case "start" -> start(order, available);
			case "stop" -> stop(order);
			default -> new Answer(400, null, "unknown action \"" + order.action() + "\"");
		};
	}

	private Answer start(Order order, boolean available) {
		if (available) {
			for (HostEntry entry : this.pool.values()) {
				if (!this.started.containsKey(entry.endpoint()) && order.fits(entry)
						&& this.starter.tell(entry.address(), "start")) {
					this.started.put(entry.endpoint(), entry);
					this.hosts.put(entry);
					return keep(order, new Answer(200, entry.endpoint(), "started"));
				}
			}
		}
		return new Answer(503, null,
				order.kind() + " endpoints of " + order.service() + " are unavailable in domain " + order.domain());
	}

	private Answer stop(Order order) {
		HostEntry entry = this.started.get(order.endpoint());
		if (entry == null) {
			return keep(order, new Answer(404, null, "endpoint \"" + order.endpoint() + "\" is not started"));
		}
		this.started.remove(order.endpoint());
		this.hosts.remove(order.endpoint());
		// An endpoint that cannot be reached counts as stopped: it is gone already.
		this.starter.tell(entry.address(), "stop");
		return keep(order, new Answer(200, entry.endpoint(), "stopped"));
	}

	private Answer keep(Order order, Answer answer) {
		this.answers.put(order.orderId(), answer);
		return answer;
	}

	/**
	 * An order; see section 4.3 of the design page.
	 *
	 * @param orderId the id
	 * @param fencing the fencing number of the domain's lease
	 * @param action {@code start} or {@code stop}
	 * @param service the service
	 * @param domain the failure domain
	 * @param kind {@code steady} or {@code cheap}
	 * @param endpoint the endpoint to stop; for a start, the wanted one or empty
	 */
	public record Order(String orderId, long fencing, String action, String service, String domain, String kind,
			String endpoint) {

		boolean fits(HostEntry entry) {
			return entry.service().equals(this.service) && entry.domain().equals(this.domain)
					&& entry.kind().equals(this.kind)
					&& (this.endpoint.isEmpty() || this.endpoint.equals(entry.endpoint()));
		}

	}

	/**
	 * Answer to an order.
	 *
	 * @param status the status code
	 * @param endpoint the endpoint, null where the order was refused
	 * @param detail what happened
	 */
	public record Answer(int status, @Nullable String endpoint, String detail) {
	}

}
