package org.bamboorelay.control.process;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import org.bamboorelay.control.connection.PlatformFailure;
import org.bamboorelay.core.process.LeaseState;
import org.bamboorelay.core.process.WeightWaves;
import org.bamboorelay.core.version.Configuration;
import org.bamboorelay.core.version.FailureDomain;
import org.bamboorelay.core.version.Inventory;
import org.bamboorelay.core.version.ServiceId;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Orders endpoints of the own domain to load new weights while the domain's lease is
 * held.
 * <p>
 * Used by one thread; answers of endpoints arrive on others and take the lock of the
 * waves.
 */
final class WeightDuty {

	static final long INTERVAL_MILLIS = 250;

	private static final Logger LOG = LoggerFactory.getLogger(WeightDuty.class);

	private final ControlContext context;

	private final LeaseState lease;

	private final EndpointDirectory directory;

	private final WeightWaves waves;

	WeightDuty(ControlContext context, LeaseState lease, EndpointDirectory directory) {
		this.context = context;
		this.lease = lease;
		this.directory = directory;
		this.waves = WeightWaves.of(context::random);
	}

	void run() {
		long fencing = this.lease.fencing();
		if (fencing == 0 || this.context.configuration().isEmpty()) {
			return;
		}
		Configuration configuration = this.context.configuration().get();
		FailureDomain own = this.context.settings().failureDomain();
		List<FailureDomain> domains = configuration.inventory()
			.failureDomains()
			.stream()
			.map(Inventory.DomainEntry::name)
			.sorted()
			.toList();
		int count = Math.max(1, domains.size());
		int index = Math.max(0, domains.indexOf(own));
		Map<String, String> addresses = new HashMap<>();
		List<WeightWaves.EndpointView> views = this.directory.endpoints()
			.stream()
			.filter((endpoint) -> endpoint.load().isKnown() && !endpoint.info().leaving())
			.peek((endpoint) -> addresses.put(endpoint.info().endpoint().value(), endpoint.info().address()))
			.map((endpoint) -> new WeightWaves.EndpointView(endpoint.info().endpoint(), endpoint.info().service(),
					endpoint.load().versions()))
			.toList();
		Map<ServiceId, Integer> allowed = new HashMap<>();
		long wall = this.context.wall().millis();
		views.forEach((view) -> allowed.computeIfAbsent(view.service(),
				(service) -> WeightWaves.allowed(this.directory.total(service), count, index, wall)));
		boolean allAtOnce = configuration.rules().policies().weights().equals("all-at-once");
		WeightWaves.View view = new WeightWaves.View(views, this.directory.heads(), allowed,
				this.context.settings().weightStoreRate() / count, allAtOnce);
		List<WeightWaves.Swap> swaps;
		synchronized (this.waves) {
			swaps = this.waves.decide(view, this.context.clock().millis());
		}
		swaps.forEach((swap) -> this.context.threads()
			.execute(() -> send(swap, addresses.getOrDefault(swap.endpoint().value(), ""), fencing)));
	}

	private void send(WeightWaves.Swap swap, String address, long fencing) {
		Map<String, Object> body = new LinkedHashMap<>();
		body.put("order_id", "weights-" + swap.endpoint() + "-" + swap.version().line() + "-" + swap.version().number()
				+ "-" + fencing + "-" + swap.failures());
		body.put("fencing", fencing);
		body.put("holder", this.context.incarnation());
		body.put("action", "load_weights");
		body.put("line", swap.version().line());
		body.put("version", swap.version().number());
		Either<PlatformFailure, JsonNode> answer = this.context.platform()
			.order(address, "/orders", body, () -> this.lease.isHeld(fencing));
		this.context.counters().counter("weight_orders_total").inc();
		// An answer that did not come says nothing: the endpoint's own version decides.
		if (answer.isLeft() && !(answer.getLeft() instanceof PlatformFailure.NoAnswer)) {
			this.context.counters().counter("weight_order_failures_total").inc();
			LOG.warn("weight-order-failed endpoint={} version={} code={}", swap.endpoint(), swap.version(),
					answer.getLeft().code());
			synchronized (this.waves) {
				this.waves.onFailed(swap, this.context.clock().millis());
			}
		}
	}

}
