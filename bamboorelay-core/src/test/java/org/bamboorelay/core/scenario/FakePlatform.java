package org.bamboorelay.core.scenario;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import org.bamboorelay.core.process.OrderLog.OrderIntent;
import org.bamboorelay.core.process.UsageWindows.WindowRecord;
import org.bamboorelay.core.version.FailureDomain;

/**
 * A fake of the platform interfaces for orders and usage reports. Responses can be lost
 * after the order or report has taken effect.
 */
final class FakePlatform {

	private final Simulation simulation;

	private final Map<FailureDomain, Set<String>> acceptedOrders = new HashMap<>();

	private final Map<FailureDomain, Long> highestFencing = new HashMap<>();

	boolean losesResponses;

	FakePlatform(Simulation simulation) {
		this.simulation = simulation;
	}

	Set<String> acceptedOrders(FailureDomain domain) {
		return this.acceptedOrders.computeIfAbsent(domain, (unused) -> new TreeSet<>());
	}

	/**
	 * Accepts an order unless its fencing number is outdated. Returns whether the sender
	 * receives a positive response.
	 */
	boolean order(ControlNode sender, OrderIntent intent, long fencingNumber) {
		FailureDomain domain = sender.process().domain;
		long highest = this.highestFencing.getOrDefault(domain, 0L);
		if (this.simulation.platformChecksFencing && fencingNumber < highest) {
			return false;
		}
		this.highestFencing.put(domain, Math.max(highest, fencingNumber));
		acceptedOrders(domain).add(intent.orderId());
		boolean fromFormerHolder = !sender.domainLease.isHeld() && this.simulation.controls.values()
			.stream()
			.anyMatch(
					(other) -> other != sender && other.process().domain.equals(domain) && other.domainLease.isHeld());
		this.simulation.observe(new Observation.OrderAccepted(domain.value(), sender.name(), intent.orderId(),
				fencingNumber, fromFormerHolder));
		return isResponseDelivered();
	}

	/** Accepts a usage report. Returns whether the sender receives the response. */
	boolean report(ControlNode sender, WindowRecord window) {
		this.simulation.observe(new Observation.UsageReported(sender.name(), window));
		return isResponseDelivered();
	}

	private boolean isResponseDelivered() {
		return !this.losesResponses || this.simulation.random.nextInt(4) > 0;
	}

}
