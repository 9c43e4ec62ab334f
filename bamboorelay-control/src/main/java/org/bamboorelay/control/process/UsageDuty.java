package org.bamboorelay.control.process;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import org.bamboorelay.control.connection.EntryLinks;
import org.bamboorelay.control.connection.PlatformFailure;
import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.core.connection.PeerMessage.UsageCount;
import org.bamboorelay.core.connection.PeerMessage.UsageCounters;
import org.bamboorelay.core.process.Backoff;
import org.bamboorelay.core.process.LeaseState;
import org.bamboorelay.core.process.UsageParts;
import org.bamboorelay.core.process.UsageWindows;
import org.bamboorelay.core.process.UsageWindows.WindowRecord;
import org.bamboorelay.core.version.Configuration;
import org.bamboorelay.core.version.Inventory;
import org.bamboorelay.core.version.Rules.UsageRule;
import org.bamboorelay.core.version.ServiceId;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Counts usage of the own domain while its lease is held, and reports the windows of the
 * deployment while the usage lease is held.
 * <p>
 * Thread-safe; each loop runs on one thread.
 */
final class UsageDuty {

	static final long INTERVAL_MILLIS = 1_000;

	private static final Logger LOG = LoggerFactory.getLogger(UsageDuty.class);

	private static final long RETRY_CAP_MILLIS = 10_000;

	private static final int READINGS_FOR_A_RATE = 2;

	private final ControlContext context;

	private final LeaseState domainLease;

	private final LeaseState usageLease;

	private final UsageParts parts;

	private final UsageWindows windows;

	private final Backoff backoff;

	private final Map<String, UsageCounters> latest = new ConcurrentHashMap<>();

	private final Map<ServiceId, Double> rates = new ConcurrentHashMap<>();

	private long pulledAt;

	private volatile int readings;

	private long nextSendAt;

	UsageDuty(ControlContext context, LeaseState domainLease, LeaseState usageLease) {
		this.context = context;
		this.domainLease = domainLease;
		this.usageLease = usageLease;
		this.parts = UsageParts.of(context.settings().failureDomain(), context.incarnation(), context.clock(),
				domainLease::isHeld, context::random);
		this.windows = UsageWindows.of(context.incarnation(), context.clock(), usageLease::isHeld, context::random);
		this.backoff = Backoff.of(INTERVAL_MILLIS, RETRY_CAP_MILLIS, context::random);
	}

	/**
	 * Returns the rate of answered requests in this domain.
	 * @param service the service
	 * @return requests a second
	 */
	double rate(ServiceId service) {
		return this.rates.getOrDefault(service, 0.0);
	}

	/**
	 * Tells whether {@link #rate} is known, which takes two readings of the counters.
	 * @return false at first after the lease was taken
	 */
	boolean isRateKnown() {
		return this.readings >= READINGS_FOR_A_RATE;
	}

	/**
	 * Pulls the counters of the domain where this process holds its lease, or held it
	 * last.
	 */
	void pull() {
		// Without the lease the last term's windows stay in memory: a holder that lost
		// the store for a while goes on with them.
		long fencing = this.domainLease.fencing();
		if (this.context.configuration().isEmpty()) {
			return;
		}
		if (!this.domainLease.isLastHolder()) {
			this.readings = 0;
			this.latest.clear();
			this.rates.clear();
			return;
		}
		if (fencing > 0) {
			this.parts.begin(fencing);
		}
		tick();
		long now = this.context.clock().millis();
		List<EntryLinks.Answer> answers = this.context.links()
			.callAll((link) -> new PeerMessage.UsagePull(this.context.wall().millis()));
		Map<ServiceId, Long> requests = new LinkedHashMap<>();
		for (EntryLinks.Answer answer : answers) {
			if (answer.host() == null) {
				continue;
			}
			if (answer.result().isRight() && answer.result().get() instanceof UsageCounters counters) {
				this.parts.onCounters(answer.host(), counters);
				UsageCounters before = this.latest.put(answer.host().value(), counters);
				if (before != null && before.incarnation().equals(counters.incarnation())) {
					counters.counts().forEach((count) -> requests.merge(count.service(), count.requests(), Long::sum));
					before.counts().forEach((count) -> requests.merge(count.service(), -count.requests(), Long::sum));
				}
			}
			else {
				this.parts.onSilence(answer.host());
			}
		}
		double seconds = Math.max(1, now - this.pulledAt) / 1000.0;
		this.pulledAt = now;
		requests.forEach((service, count) -> this.rates.put(service, count / seconds));
		this.readings++;
	}

	/**
	 * Writes what is due of the domain's parts.
	 */
	void checkpoint() {
		this.context.drive(this.parts);
	}

	/**
	 * Freezes and sends the windows that are due.
	 */
	void report() {
		long fencing = this.usageLease.fencing();
		if (fencing == 0 || this.context.configuration().isEmpty()) {
			return;
		}
		Configuration configuration = this.context.configuration().get();
		UsageRule rule = configuration.rules().usage();
		this.windows.begin(fencing);
		this.windows.onTick(this.context.wall().millis(),
				configuration.inventory().failureDomains().stream().map(Inventory.DomainEntry::name).toList(),
				rule.windowMillis(), rule.graceMillis());
		this.context.drive(this.windows);
		if (this.context.clock().millis() < this.nextSendAt) {
			return;
		}
		this.windows.sendable().forEach((record) -> {
			if (send(record, fencing)) {
				this.backoff.reset();
				this.windows.sent(record.window());
				this.context.drive(this.windows);
			}
			else {
				this.nextSendAt = this.context.clock().millis() + this.backoff.failed();
			}
		});
	}

	private void tick() {
		UsageRule rule = this.context.configuration().get().rules().usage();
		this.parts.onTick(this.context.wall().millis(), rule.windowMillis(), rule.graceMillis());
	}

	private boolean send(WindowRecord record, long fencing) {
		List<UsageCount> figures = new ArrayList<>(record.figures());
		Map<String, Object> body = new LinkedHashMap<>();
		body.put("window", record.window());
		body.put("reporter", this.context.settings().host());
		body.put("fencing", fencing);
		body.put("figures", figures.stream().map(UsageDuty::figure).toList());
		body.put("corrections",
				record.corrections()
					.stream()
					.map((correction) -> Map.of("source", correction.source(), "window", correction.window(), "figures",
							correction.counts().stream().map(UsageDuty::figure).toList()))
					.toList());
		body.put("gaps", record.gaps());
		Either<PlatformFailure, JsonNode> answer = this.context.platform()
			.order(this.context.settings().usageIntakeAddress(), "/reports", body,
					() -> this.usageLease.isHeld(fencing));
		answer.peek((unused) -> LOG.info("usage-reported window={} gaps={}", record.window(), record.gaps().size()))
			.peekLeft((failure) -> LOG.warn("usage-report-failed window={} code={}", record.window(), failure.code()));
		this.context.counters().counter("usage_reports_total", "result", answer.isRight() ? "ok" : "failed").inc();
		return answer.isRight();
	}

	private static Map<String, Object> figure(UsageCount count) {
		return Map.of("workspace", count.workspace(), "service", count.service(), "requests", count.requests(),
				"tokens", count.tokens());
	}

}
