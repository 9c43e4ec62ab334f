package org.bamboorelay.core.scenario;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import org.bamboorelay.core.process.OrderLog.OrderIntent;
import org.bamboorelay.core.process.UsageWindows.WindowRecord;
import org.bamboorelay.core.version.FailureDomain;

/**
 * The platform's ordering interface and its intake of usage reports. Answers can be lost
 * after the order or report took effect.
 */
final class FakePlatform {

	private final World world;

	private final Map<FailureDomain, Set<String>> effective = new HashMap<>();

	private final Map<FailureDomain, Long> fencing = new HashMap<>();

	boolean losesAnswers;

	FakePlatform(World world) {
		this.world = world;
	}

	Set<String> effective(FailureDomain domain) {
		return this.effective.computeIfAbsent(domain, (unused) -> new TreeSet<>());
	}

	boolean order(ControlNode sender, OrderIntent intent, long number) {
		FailureDomain domain = sender.process().domain;
		long highest = this.fencing.getOrDefault(domain, 0L);
		if (this.world.fencedReceiver && number < highest) {
			return false;
		}
		this.fencing.put(domain, Math.max(highest, number));
		effective(domain).add(intent.orderId());
		boolean late = !sender.domainLease.isHeld() && this.world.controls.values()
			.stream()
			.anyMatch(
					(other) -> other != sender && other.process().domain.equals(domain) && other.domainLease.isHeld());
		this.world.emit(new Fact.Order(domain.value(), sender.name(), intent.orderId(), number, late));
		return answered();
	}

	boolean report(ControlNode sender, WindowRecord window) {
		this.world.emit(new Fact.Report(sender.name(), window));
		return answered();
	}

	private boolean answered() {
		return !this.losesAnswers || this.world.random.nextInt(4) > 0;
	}

}
