package org.bamboorelay.control.process;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.apache.hc.core5.http.HttpStatus;
import org.bamboorelay.control.connection.PlatformFailure;
import org.bamboorelay.core.process.LeaseState;
import org.bamboorelay.core.process.OrderLog;
import org.bamboorelay.core.process.OrderLog.OrderIntent;
import org.bamboorelay.core.process.OrderLog.Shortage;
import org.bamboorelay.core.process.ScalingPlan;
import org.bamboorelay.core.version.Configuration;
import org.bamboorelay.core.version.EndpointId;
import org.bamboorelay.core.version.FailureDomain;
import org.bamboorelay.core.version.Inventory.ServiceEntry;
import org.bamboorelay.core.version.Inventory.ServiceKind;
import org.bamboorelay.core.version.ServiceId;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Starts and stops endpoints of the own domain while the domain's lease is held.
 * <p>
 * Used by one thread.
 */
final class OrderDuty {

	static final long INTERVAL_MILLIS = 500;

	private static final Logger LOG = LoggerFactory.getLogger(OrderDuty.class);

	private static final long NEIGHBOUR_MILLIS = 5_000;

	/** Wait for a started endpoint to be listed, beyond its cold start. */
	private static final long LISTING_MILLIS = 60_000;

	private static final double MODEL_REPEATABLE_SHARE = 0.5;

	private static final double PLAIN_REPEATABLE_SHARE = 0.25;

	private final ControlContext context;

	private final LeaseState lease;

	private final EndpointDirectory directory;

	private final UsageDuty usage;

	private final OrderLog log;

	private final ScalingPlan plan = ScalingPlan.of(ScalingPlan.Tuning.standard());

	private final Map<String, Answered> answered = new HashMap<>();

	private final Map<FailureDomain, List<Shortage>> neighbours = new ConcurrentHashMap<>();

	private long neighboursAt;

	OrderDuty(ControlContext context, LeaseState lease, EndpointDirectory directory, UsageDuty usage) {
		this.context = context;
		this.lease = lease;
		this.directory = directory;
		this.usage = usage;
		this.log = OrderLog.of(context.settings().failureDomain(), context.incarnation(), context.clock(),
				lease::isHeld, context::random);
	}

	void run() {
		long fencing = this.lease.fencing();
		if (fencing == 0) {
			this.answered.clear();
			return;
		}
		this.log.begin(fencing);
		this.context.drive(this.log);
		if (!this.log.isSealed()) {
			return;
		}
		settle();
		this.context.configuration().forEach(this::plan);
		this.context.drive(this.log);
		this.log.sendable()
			.stream()
			.filter((intent) -> !this.answered.containsKey(intent.orderId()))
			.forEach((intent) -> send(intent, fencing));
		this.context.drive(this.log);
	}

	private void plan(Configuration configuration) {
		FailureDomain own = this.context.settings().failureDomain();
		List<FailureDomain> domains = this.context.domainsInService();
		// Taken before the check, as a view that ends is no longer known before it is
		// empty.
		List<EndpointDirectory.Endpoint> endpoints = this.directory.endpoints();
		if (!configuration.isInService(own) || !domains.contains(own) || !this.directory.isKnown()
				|| !this.usage.isRateKnown()) {
			return;
		}
		long now = this.context.clock().millis();
		readNeighbours(domains, now);
		boolean allOn = configuration.rules().policies().scaling().equals("all-on");
		for (ServiceEntry service : configuration.inventory().services()) {
			ServiceId name = service.name();
			List<ScalingPlan.EndpointView> views = endpoints.stream()
				.filter((endpoint) -> endpoint.info().service().equals(name))
				.map((endpoint) -> new ScalingPlan.EndpointView(endpoint.info().endpoint(), endpoint.info().cheap(),
						endpoint.info().leaving(), endpoint.load().running(), endpoint.load().waiting(),
						endpoint.since()))
				.toList();
			ScalingPlan.View view = new ScalingPlan.View(service,
					configuration.rules().spending().stream().filter((rule) -> rule.service().equals(name)).findFirst(),
					allOn, repeatableShare(service), domains.size(), domains.indexOf(own), this.usage.rate(name), views,
					pending(name, "steady"), pending(name, "cheap"), borrowed(domains, name, "steady"),
					borrowed(domains, name, "cheap"));
			for (ScalingPlan.Change change : this.plan.decide(view, now)) {
				OrderIntent intent = this.log.add(change.action(), name, change.kind(), change.endpoint());
				LOG.info("order-decided order={} action={} service={} kind={}", intent.orderId(), change.action(), name,
						change.kind());
			}
		}
		this.log.publish(this.plan.shortages(now, this.context.wall().millis()));
	}

	private void send(OrderIntent intent, long fencing) {
		if (intent.endpoint() != null) {
			// Entries stop using it before it stops.
			this.directory.onStopOrdered(intent.endpoint());
		}
		Map<String, Object> body = new LinkedHashMap<>();
		body.put("order_id", intent.orderId());
		body.put("fencing", fencing);
		body.put("holder", this.context.incarnation());
		body.put("action", intent.action());
		body.put("service", intent.service());
		body.put("domain", intent.domain());
		body.put("kind", intent.kind());
		if (intent.endpoint() != null) {
			body.put("endpoint", intent.endpoint());
		}
		Either<PlatformFailure, JsonNode> answer = this.context.platform()
			.order(this.context.settings().orderingAddress(), "/orders", body, () -> this.lease.isHeld(fencing));
		this.context.counters().counter("orders_total", "action", intent.action()).inc();
		if (answer.isRight()) {
			String endpoint = answer.get().path("endpoint").asText("");
			EndpointId id = (intent.endpoint() != null || endpoint.isEmpty()) ? intent.endpoint()
					: EndpointId.of(endpoint);
			this.answered.put(intent.orderId(), new Answered(id, this.context.clock().millis()));
			LOG.info("order-answered order={} endpoint={}", intent.orderId(), id);
			return;
		}
		PlatformFailure failure = answer.getLeft();
		this.context.counters().counter("order_failures_total", "code", failure.code()).inc();
		LOG.warn("order-failed order={} code={} detail={}", intent.orderId(), failure.code(), failure.detail());
		if (failure instanceof PlatformFailure.Refused refused) {
			if (refused.status() == HttpStatus.SC_SERVICE_UNAVAILABLE) {
				this.plan.onUnavailable(intent.service(), intent.kind(), this.context.clock().millis());
				this.log.complete(intent.orderId());
			}
			else if (refused.status() < HttpStatus.SC_INTERNAL_SERVER_ERROR
					&& refused.status() != HttpStatus.SC_CONFLICT) {
				this.log.complete(intent.orderId());
			}
		}
	}

	/**
	 * Completes orders whose effect is listed. Until then they stay open, so that a
	 * successor counts them and every reader sees what is stopping.
	 */
	private void settle() {
		long now = this.context.clock().millis();
		Set<EndpointId> present = new HashSet<>();
		this.directory.endpoints().forEach((endpoint) -> present.add(endpoint.info().endpoint()));
		if (!this.directory.isKnown()) {
			// A new holder's view is empty at first.
			return;
		}
		for (OrderIntent intent : this.log.open()) {
			Answered answer = this.answered.get(intent.orderId());
			if (answer == null) {
				continue;
			}
			EndpointId endpoint = answer.endpoint();
			boolean listed = endpoint != null && present.contains(endpoint);
			boolean done = intent.action().equals("start") ? listed || now - answer.at() >= patience(intent)
					: endpoint == null || (!listed && !this.directory.isOrdered(endpoint));
			if (done) {
				this.log.complete(intent.orderId());
				this.answered.remove(intent.orderId());
			}
		}
	}

	private long patience(OrderIntent intent) {
		return LISTING_MILLIS + this.context.configuration()
			.flatMap((present) -> Option.ofOptional(present.inventory().service(intent.service())))
			.map(ServiceEntry::coldStartMillis)
			.getOrElse(0L);
	}

	private int pending(ServiceId service, String kind) {
		return (int) this.log.open()
			.stream()
			.filter((intent) -> intent.action().equals("start") && intent.service().equals(service)
					&& intent.kind().equals(kind))
			.count();
	}

	private void readNeighbours(List<FailureDomain> domains, long now) {
		if (now - this.neighboursAt < NEIGHBOUR_MILLIS) {
			return;
		}
		this.neighboursAt = now;
		for (FailureDomain domain : domains) {
			if (!domain.equals(this.context.settings().failureDomain())) {
				this.context.store()
					.read(OrderLog.key(domain))
					.forEach((object) -> this.neighbours.put(domain,
							object.map(OrderLog::shortages).getOrElse(List.of())));
			}
		}
	}

	/**
	 * Counts what other domains lack and this one runs for them: the next domain in order
	 * that does not lack the same kind.
	 * @param domains the failure domains in service
	 * @param service the service
	 * @param kind {@code steady} or {@code cheap}
	 * @return the number of endpoints
	 */
	private int borrowed(List<FailureDomain> domains, ServiceId service, String kind) {
		int sum = 0;
		for (FailureDomain other : domains) {
			int lacking = lacking(other, service, kind);
			if (lacking == 0 || other.equals(this.context.settings().failureDomain())) {
				continue;
			}
			List<FailureDomain> following = new ArrayList<>(domains);
			Collections.rotate(following, -domains.indexOf(other) - 1);
			FailureDomain helper = following.stream()
				.filter((domain) -> lacking(domain, service, kind) == 0)
				.findFirst()
				.orElse(other);
			if (helper.equals(this.context.settings().failureDomain())) {
				sum += lacking;
			}
		}
		return sum;
	}

	private int lacking(FailureDomain domain, ServiceId service, String kind) {
		long wall = this.context.wall().millis();
		List<Shortage> shortages = domain.equals(this.context.settings().failureDomain())
				? this.plan.shortages(this.context.clock().millis(), wall)
				: this.neighbours.getOrDefault(domain, List.of());
		return shortages.stream()
			.filter((shortage) -> shortage.service().equals(service) && shortage.kind().equals(kind)
					&& shortage.untilMillis() > wall)
			.mapToInt(Shortage::count)
			.sum();
	}

	private static double repeatableShare(ServiceEntry service) {
		if (service.kind() == ServiceKind.MODEL) {
			return MODEL_REPEATABLE_SHARE;
		}
		return service.repeatablePaths().isEmpty() ? 0 : PLAIN_REPEATABLE_SHARE;
	}

	private record Answered(@Nullable EndpointId endpoint, long at) {
	}

}
