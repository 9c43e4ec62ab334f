package org.bamboorelay.control.process;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import org.bamboorelay.control.connection.PlatformFailure;
import org.bamboorelay.core.process.LeaseState;
import org.bamboorelay.core.process.RollingWeightUpdate;
import org.bamboorelay.core.version.Configuration;
import org.bamboorelay.core.version.FailureDomain;
import org.bamboorelay.core.version.Inventory;
import org.bamboorelay.core.version.ServiceId;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Orders the endpoints of the local failure domain to load new weights while this process
 * holds the domain lease.
 * <p>
 * The periodic task runs on one thread. Endpoint responses are handled on other threads,
 * which lock the rolling update.
 */
final class WeightUpdateLoop {

	static final long INTERVAL_MILLIS = 250;

	private static final Logger LOG = LoggerFactory.getLogger(WeightUpdateLoop.class);

	private final ControlContext context;

	private final LeaseState lease;

	private final EndpointDirectory directory;

	private final RollingWeightUpdate rollingUpdate;

	WeightUpdateLoop(ControlContext context, LeaseState lease, EndpointDirectory directory) {
		this.context = context;
		this.lease = lease;
		this.directory = directory;
		this.rollingUpdate = RollingWeightUpdate.of(context::random);
	}

	void run() {
		long fencing = this.lease.fencing();
		if (fencing == 0 || this.context.configuration().isEmpty()) {
			return;
		}
		Configuration configuration = this.context.configuration().get();
		FailureDomain localDomain = this.context.settings().failureDomain();
		List<FailureDomain> domains = configuration.inventory()
			.failureDomains()
			.stream()
			.map(Inventory.DomainEntry::name)
			.sorted()
			.toList();
		int count = Math.max(1, domains.size());
		int index = Math.max(0, domains.indexOf(localDomain));
		Map<String, String> addresses = new HashMap<>();
		List<RollingWeightUpdate.EndpointView> views = this.directory.endpoints()
			.stream()
			.filter((endpoint) -> endpoint.load().isKnown() && !endpoint.info().leaving())
			.peek((endpoint) -> addresses.put(endpoint.info().endpoint().value(), endpoint.info().address()))
			.map((endpoint) -> new RollingWeightUpdate.EndpointView(endpoint.info().endpoint(),
					endpoint.info().service(), endpoint.load().versions()))
			.toList();
		Map<ServiceId, Integer> allowed = new HashMap<>();
		long wallMillis = this.context.wallClock().millis();
		views.forEach((view) -> allowed.computeIfAbsent(view.service(), (service) -> RollingWeightUpdate
			.allowedSwaps(this.directory.endpointCount(service), count, index, wallMillis)));
		boolean allAtOnce = configuration.rules().policies().weights().equals("all-at-once");
		RollingWeightUpdate.DomainView view = new RollingWeightUpdate.DomainView(views, this.directory.latestVersions(),
				allowed, this.context.settings().weightStoreRate() / count, allAtOnce);
		List<RollingWeightUpdate.Swap> swaps;
		synchronized (this.rollingUpdate) {
			swaps = this.rollingUpdate.decide(view, this.context.clock().millis());
		}
		swaps.forEach((swap) -> this.context.callExecutor()
			.execute(() -> send(swap, addresses.getOrDefault(swap.endpoint().value(), ""), fencing)));
	}

	private void send(RollingWeightUpdate.Swap swap, String address, long fencing) {
		Map<String, Object> body = new LinkedHashMap<>();
		body.put("order_id", "weights-" + swap.endpoint() + "-" + swap.version().line() + "-" + swap.version().number()
				+ "-" + fencing + "-" + swap.failures());
		body.put("fencing", fencing);
		body.put("holder", this.context.incarnation());
		body.put("action", "load_weights");
		body.put("line", swap.version().line());
		body.put("version", swap.version().number());
		Either<PlatformFailure, JsonNode> response = this.context.platform()
			.postWhileLeaseHeld(address, "/orders", body, () -> this.lease.isHeld(fencing));
		this.context.counters().counter("weight_orders_total").inc();
		// A missing response is not a failure: the version that the endpoint reports
		// shows whether it loaded the weights.
		if (response.isLeft() && !(response.getLeft() instanceof PlatformFailure.NoResponse)) {
			this.context.counters().counter("weight_order_failures_total").inc();
			LOG.warn("weight-order-failed endpoint={} version={} code={}", swap.endpoint(), swap.version(),
					response.getLeft().code());
			synchronized (this.rollingUpdate) {
				this.rollingUpdate.onFailed(swap, this.context.clock().millis());
			}
		}
	}

}
