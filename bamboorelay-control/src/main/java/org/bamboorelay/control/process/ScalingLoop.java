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
 * Starts and stops endpoints of the local failure domain while this process holds the
 * domain lease.
 * <p>
 * Used by one thread.
 */
final class ScalingLoop {

	static final long INTERVAL_MILLIS = 500;

	private static final Logger LOG = LoggerFactory.getLogger(ScalingLoop.class);

	private static final long SHORTAGE_READ_INTERVAL_MILLIS = 5_000;

	/**
	 * Time allowed for a started endpoint to be listed, in addition to its cold start.
	 */
	private static final long LISTING_TIMEOUT_MILLIS = 60_000;

	private static final double MODEL_REPEATABLE_SHARE = 0.5;

	private static final double PLAIN_REPEATABLE_SHARE = 0.25;

	private final ControlContext context;

	private final LeaseState lease;

	private final EndpointDirectory directory;

	private final UsageReporter usage;

	private final OrderLog log;

	private final ScalingPlan plan = ScalingPlan.of(ScalingPlan.Tuning.standard());

	private final Map<String, AcceptedOrder> acceptedOrders = new HashMap<>();

	private final Map<FailureDomain, List<Shortage>> remoteShortages = new ConcurrentHashMap<>();

	private long shortagesReadAtMillis;

	ScalingLoop(ControlContext context, LeaseState lease, EndpointDirectory directory, UsageReporter usage) {
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
			this.acceptedOrders.clear();
			return;
		}
		this.log.beginTerm(fencing);
		this.context.runOperations(this.log);
		if (!this.log.isSealed()) {
			return;
		}
		completeListedOrders();
		this.context.configuration().forEach(this::plan);
		this.context.runOperations(this.log);
		this.log.sendableIntents()
			.stream()
			.filter((intent) -> !this.acceptedOrders.containsKey(intent.orderId()))
			.forEach((intent) -> send(intent, fencing));
		this.context.runOperations(this.log);
	}

	private void plan(Configuration configuration) {
		FailureDomain localDomain = this.context.settings().failureDomain();
		List<FailureDomain> domains = this.context.domainsInService();
		// Read before the check: a view that is being discarded is marked unknown before
		// its endpoints are cleared.
		List<EndpointDirectory.Endpoint> endpoints = this.directory.endpoints();
		if (!configuration.isInService(localDomain) || !domains.contains(localDomain) || !this.directory.isKnown()
				|| !this.usage.isRateKnown()) {
			return;
		}
		long now = this.context.clock().millis();
		readRemoteShortages(domains, now);
		boolean allOn = configuration.rules().policies().scaling().equals("all-on");
		for (ServiceEntry service : configuration.inventory().services()) {
			ServiceId name = service.name();
			List<ScalingPlan.EndpointView> views = endpoints.stream()
				.filter((endpoint) -> endpoint.info().service().equals(name))
				.map((endpoint) -> new ScalingPlan.EndpointView(endpoint.info().endpoint(), endpoint.info().cheap(),
						endpoint.info().leaving(), endpoint.load().running(), endpoint.load().waiting(),
						endpoint.firstSeenMillis()))
				.toList();
			ScalingPlan.ServiceView view = new ScalingPlan.ServiceView(service,
					configuration.rules().spending().stream().filter((rule) -> rule.service().equals(name)).findFirst(),
					allOn, repeatableShare(service), domains.size(), domains.indexOf(localDomain),
					this.usage.requestRate(name), views, pendingStarts(name, "steady"), pendingStarts(name, "cheap"),
					coveredShortages(domains, name, "steady"), coveredShortages(domains, name, "cheap"));
			for (ScalingPlan.ScalingOrder change : this.plan.decide(view, now)) {
				OrderIntent intent = this.log.add(change.action(), name, change.kind(), change.endpoint());
				LOG.info("order-decided order={} action={} service={} kind={}", intent.orderId(), change.action(), name,
						change.kind());
			}
		}
		this.log.publishShortages(this.plan.shortages(now, this.context.wallClock().millis()));
	}

	private void send(OrderIntent intent, long fencing) {
		if (intent.endpoint() != null) {
			// Marks the endpoint as leaving first, so that entries stop using it before
			// it stops.
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
		Either<PlatformFailure, JsonNode> response = this.context.platform()
			.postWhileLeaseHeld(this.context.settings().orderingAddress(), "/orders", body,
					() -> this.lease.isHeld(fencing));
		this.context.counters().counter("orders_total", "action", intent.action()).inc();
		if (response.isRight()) {
			String endpoint = response.get().path("endpoint").asText("");
			EndpointId id = (intent.endpoint() != null || endpoint.isEmpty()) ? intent.endpoint()
					: EndpointId.of(endpoint);
			this.acceptedOrders.put(intent.orderId(), new AcceptedOrder(id, this.context.clock().millis()));
			LOG.info("order-answered order={} endpoint={}", intent.orderId(), id);
			return;
		}
		PlatformFailure failure = response.getLeft();
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
	 * Completes orders whose effect is visible in the lists. Until then they stay open,
	 * so that the next lease holder counts them and every reader sees which endpoints are
	 * stopping.
	 */
	private void completeListedOrders() {
		long now = this.context.clock().millis();
		Set<EndpointId> present = new HashSet<>();
		this.directory.endpoints().forEach((endpoint) -> present.add(endpoint.info().endpoint()));
		if (!this.directory.isKnown()) {
			// The view of a new lease holder is empty at first.
			return;
		}
		for (OrderIntent intent : this.log.openIntents()) {
			AcceptedOrder response = this.acceptedOrders.get(intent.orderId());
			if (response == null) {
				continue;
			}
			EndpointId endpoint = response.endpoint();
			boolean listed = endpoint != null && present.contains(endpoint);
			boolean done = intent.action().equals("start")
					? listed || now - response.acceptedAtMillis() >= listingTimeoutMillis(intent)
					: endpoint == null || (!listed && !this.directory.isInOrderingList(endpoint));
			if (done) {
				this.log.complete(intent.orderId());
				this.acceptedOrders.remove(intent.orderId());
			}
		}
	}

	private long listingTimeoutMillis(OrderIntent intent) {
		return LISTING_TIMEOUT_MILLIS + this.context.configuration()
			.flatMap((present) -> Option.ofOptional(present.inventory().service(intent.service())))
			.map(ServiceEntry::coldStartMillis)
			.getOrElse(0L);
	}

	private int pendingStarts(ServiceId service, String kind) {
		return (int) this.log.openIntents()
			.stream()
			.filter((intent) -> intent.action().equals("start") && intent.service().equals(service)
					&& intent.kind().equals(kind))
			.count();
	}

	private void readRemoteShortages(List<FailureDomain> domains, long now) {
		if (now - this.shortagesReadAtMillis < SHORTAGE_READ_INTERVAL_MILLIS) {
			return;
		}
		this.shortagesReadAtMillis = now;
		for (FailureDomain domain : domains) {
			if (!domain.equals(this.context.settings().failureDomain())) {
				this.context.store()
					.read(OrderLog.key(domain))
					.forEach((object) -> this.remoteShortages.put(domain,
							object.map(OrderLog::shortages).getOrElse(List.of())));
			}
		}
	}

	/**
	 * Counts the endpoints that this domain runs to cover shortages of shortDomain
	 * domains. A shortage is covered by the next domain in order that has no shortage of
	 * this kind.
	 * @param domains the failure domains in service
	 * @param service the service
	 * @param kind {@code steady} or {@code cheap}
	 * @return the number of endpoints
	 */
	private int coveredShortages(List<FailureDomain> domains, ServiceId service, String kind) {
		int sum = 0;
		for (FailureDomain shortDomain : domains) {
			int shortageCount = shortageCount(shortDomain, service, kind);
			if (shortageCount == 0 || shortDomain.equals(this.context.settings().failureDomain())) {
				continue;
			}
			List<FailureDomain> following = new ArrayList<>(domains);
			Collections.rotate(following, -domains.indexOf(shortDomain) - 1);
			FailureDomain substitute = following.stream()
				.filter((domain) -> shortageCount(domain, service, kind) == 0)
				.findFirst()
				.orElse(shortDomain);
			if (substitute.equals(this.context.settings().failureDomain())) {
				sum += shortageCount;
			}
		}
		return sum;
	}

	private int shortageCount(FailureDomain domain, ServiceId service, String kind) {
		long wallMillis = this.context.wallClock().millis();
		List<Shortage> shortages = domain.equals(this.context.settings().failureDomain())
				? this.plan.shortages(this.context.clock().millis(), wallMillis)
				: this.remoteShortages.getOrDefault(domain, List.of());
		return shortages.stream()
			.filter((shortage) -> shortage.service().equals(service) && shortage.kind().equals(kind)
					&& shortage.untilMillis() > wallMillis)
			.mapToInt(Shortage::count)
			.sum();
	}

	private static double repeatableShare(ServiceEntry service) {
		if (service.kind() == ServiceKind.MODEL) {
			return MODEL_REPEATABLE_SHARE;
		}
		return service.repeatablePaths().isEmpty() ? 0 : PLAIN_REPEATABLE_SHARE;
	}

	private record AcceptedOrder(@Nullable EndpointId endpoint, long acceptedAtMillis) {
	}

}
