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
 * Collects the usage of the local failure domain while this process holds the domain
 * lease, and reports the usage windows of the deployment while it holds the usage lease.
 * <p>
 * Thread-safe; each periodic task runs on one thread.
 */
final class UsageReporter {

	static final long INTERVAL_MILLIS = 1_000;

	private static final Logger LOG = LoggerFactory.getLogger(UsageReporter.class);

	private static final long MAX_RETRY_DELAY_MILLIS = 10_000;

	private static final int MIN_READINGS_FOR_RATE = 2;

	private final ControlContext context;

	private final LeaseState domainLease;

	private final LeaseState usageLease;

	private final UsageParts parts;

	private final UsageWindows windows;

	private final Backoff backoff;

	private final Map<String, UsageCounters> latestCounters = new ConcurrentHashMap<>();

	private final Map<ServiceId, Double> rates = new ConcurrentHashMap<>();

	private long pulledAtMillis;

	private volatile int readings;

	private long nextSendAtMillis;

	UsageReporter(ControlContext context, LeaseState domainLease, LeaseState usageLease) {
		this.context = context;
		this.domainLease = domainLease;
		this.usageLease = usageLease;
		this.parts = UsageParts.of(context.settings().failureDomain(), context.incarnation(), context.clock(),
				domainLease::isHeld, context::random);
		this.windows = UsageWindows.of(context.incarnation(), context.clock(), usageLease::isHeld, context::random);
		this.backoff = Backoff.of(INTERVAL_MILLIS, MAX_RETRY_DELAY_MILLIS, context::random);
	}

	/**
	 * Returns the rate of served requests in this domain.
	 * @param service the service
	 * @return requests per second
	 */
	double requestRate(ServiceId service) {
		return this.rates.getOrDefault(service, 0.0);
	}

	/**
	 * Returns whether {@link #requestRate} is known, which takes two readings of the
	 * counters.
	 * @return false until the second reading after the lease was acquired
	 */
	boolean isRateKnown() {
		return this.readings >= MIN_READINGS_FOR_RATE;
	}

	/**
	 * Pulls the usage counters of the domain if this process holds the domain lease or is
	 * its last known holder.
	 */
	void pullCounters() {
		// The windows of the last term stay in memory without the lease, so that a holder
		// that lost the store temporarily can continue with them.
		long fencing = this.domainLease.fencing();
		if (this.context.configuration().isEmpty()) {
			return;
		}
		if (!this.domainLease.isLastKnownHolder()) {
			this.readings = 0;
			this.latestCounters.clear();
			this.rates.clear();
			return;
		}
		if (fencing > 0) {
			this.parts.beginTerm(fencing);
		}
		advanceWindows();
		long now = this.context.clock().millis();
		List<EntryLinks.CallResult> responses = this.context.links()
			.callAll((link) -> new PeerMessage.UsagePull(this.context.wallClock().millis()));
		Map<ServiceId, Long> requests = new LinkedHashMap<>();
		for (EntryLinks.CallResult response : responses) {
			if (response.host() == null) {
				continue;
			}
			if (response.result().isRight() && response.result().get() instanceof UsageCounters counters) {
				this.parts.onCounters(response.host(), counters);
				UsageCounters previous = this.latestCounters.put(response.host().value(), counters);
				if (previous != null && previous.incarnation().equals(counters.incarnation())) {
					counters.counts().forEach((count) -> requests.merge(count.service(), count.requests(), Long::sum));
					previous.counts().forEach((count) -> requests.merge(count.service(), -count.requests(), Long::sum));
				}
			}
			else {
				this.parts.onNoAnswer(response.host());
			}
		}
		double seconds = Math.max(1, now - this.pulledAtMillis) / 1000.0;
		this.pulledAtMillis = now;
		requests.forEach((service, count) -> this.rates.put(service, count / seconds));
		this.readings++;
	}

	/**
	 * Writes the usage parts of the domain that are due.
	 */
	void writeParts() {
		this.context.runOperations(this.parts);
	}

	/**
	 * Closes and sends the usage windows that are due.
	 */
	void reportWindows() {
		long fencing = this.usageLease.fencing();
		if (fencing == 0 || this.context.configuration().isEmpty()) {
			return;
		}
		Configuration configuration = this.context.configuration().get();
		UsageRule rule = configuration.rules().usage();
		this.windows.beginTerm(fencing);
		this.windows.onTick(this.context.wallClock().millis(),
				configuration.inventory().failureDomains().stream().map(Inventory.DomainEntry::name).toList(),
				rule.windowMillis(), rule.graceMillis());
		this.context.runOperations(this.windows);
		if (this.context.clock().millis() < this.nextSendAtMillis) {
			return;
		}
		this.windows.sendable().forEach((record) -> {
			if (send(record, fencing)) {
				this.backoff.reset();
				this.windows.sent(record.window());
				this.context.runOperations(this.windows);
			}
			else {
				this.nextSendAtMillis = this.context.clock().millis() + this.backoff.nextDelayMillis();
			}
		});
	}

	private void advanceWindows() {
		UsageRule rule = this.context.configuration().get().rules().usage();
		this.parts.onTick(this.context.wallClock().millis(), rule.windowMillis(), rule.graceMillis());
	}

	private boolean send(WindowRecord record, long fencing) {
		List<UsageCount> figures = new ArrayList<>(record.figures());
		Map<String, Object> body = new LinkedHashMap<>();
		body.put("window", record.window());
		body.put("reporter", this.context.settings().host());
		body.put("fencing", fencing);
		body.put("figures", figures.stream().map(UsageReporter::encodeCount).toList());
		body.put("corrections",
				record.corrections()
					.stream()
					.map((correction) -> Map.of("source", correction.source(), "window", correction.window(), "figures",
							correction.counts().stream().map(UsageReporter::encodeCount).toList()))
					.toList());
		body.put("gaps", record.gaps());
		Either<PlatformFailure, JsonNode> response = this.context.platform()
			.postWhileLeaseHeld(this.context.settings().usageIntakeAddress(), "/reports", body,
					() -> this.usageLease.isHeld(fencing));
		response.peek((unused) -> LOG.info("usage-reported window={} gaps={}", record.window(), record.gaps().size()))
			.peekLeft((failure) -> LOG.warn("usage-report-failed window={} code={}", record.window(), failure.code()));
		this.context.counters().counter("usage_reports_total", "result", response.isRight() ? "ok" : "failed").inc();
		return response.isRight();
	}

	private static Map<String, Object> encodeCount(UsageCount count) {
		return Map.of("workspace", count.workspace(), "service", count.service(), "requests", count.requests(),
				"tokens", count.tokens());
	}

}
