package org.bamboorelay.control.process;

import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.ThreadLocalRandom;

import io.vavr.control.Option;
import org.bamboorelay.control.connection.EntryLinks;
import org.bamboorelay.control.connection.PlatformClient;
import org.bamboorelay.control.version.ControlSettings;
import org.bamboorelay.core.process.LeaseElection;
import org.bamboorelay.core.process.ReaderElection;
import org.bamboorelay.core.process.StoreDecision;
import org.bamboorelay.core.process.StoreStep;
import org.bamboorelay.core.store.ObjectStore;
import org.bamboorelay.core.time.Clock;
import org.bamboorelay.core.version.Configuration;
import org.bamboorelay.core.version.FailureDomain;
import org.bamboorelay.core.version.Inventory;
import org.bamboorelay.runtime.process.Counters;
import org.jspecify.annotations.Nullable;

/**
 * What the loops of a control process share.
 * <p>
 * Thread-safe.
 */
final class ControlContext {

	/** The most steps of a decision in one run of a loop. */
	private static final int MAX_STEPS = 128;

	/** Ranking 45 hosts takes about 40 µs, and leases ask 20 times a second. */
	private static final long CONTENDER_MILLIS = 1_000;

	private final ControlSettings settings;

	private final String incarnation;

	private final ObjectStore store;

	private final PlatformClient platform;

	private final EntryLinks links;

	private final Counters counters;

	private final Executor threads;

	private volatile @Nullable Configuration configuration;

	private volatile boolean contender;

	private volatile long contenderUntil = Long.MIN_VALUE;

	ControlContext(ControlSettings settings, String incarnation, ObjectStore store, PlatformClient platform,
			EntryLinks links, Counters counters, Executor threads) {
		this.settings = settings;
		this.incarnation = incarnation;
		this.store = store;
		this.platform = platform;
		this.links = links;
		this.counters = counters;
		this.threads = threads;
	}

	ControlSettings settings() {
		return this.settings;
	}

	String incarnation() {
		return this.incarnation;
	}

	ObjectStore store() {
		return this.store;
	}

	PlatformClient platform() {
		return this.platform;
	}

	EntryLinks links() {
		return this.links;
	}

	Counters counters() {
		return this.counters;
	}

	Executor threads() {
		return this.threads;
	}

	Clock clock() {
		return Clock.monotonic();
	}

	Clock wall() {
		return Clock.wall();
	}

	double random() {
		return ThreadLocalRandom.current().nextDouble();
	}

	Option<Configuration> configuration() {
		return Option.of(this.configuration);
	}

	/**
	 * Puts a configuration in force and follows its list of entry hosts.
	 * @param next the configuration
	 */
	void accept(Configuration next) {
		this.configuration = next;
		List<String> peers = next.inventory()
			.hosts()
			.stream()
			.filter((host) -> host.failureDomain().equals(this.settings.failureDomain()))
			.map(Inventory.HostEntry::peerAddress)
			.toList();
		this.links.keep(peers.isEmpty() ? this.settings.entryAddresses() : peers);
	}

	/**
	 * Returns the failure domains in service.
	 * @return the domains in order; at least the own one
	 */
	List<FailureDomain> domainsInService() {
		Configuration present = this.configuration;
		List<FailureDomain> domains = (present != null) ? present.inventory()
			.failureDomains()
			.stream()
			.map(Inventory.DomainEntry::name)
			.filter(present::isInService)
			.sorted(Comparator.comparing(FailureDomain::value))
			.toList() : List.of();
		return domains.isEmpty() ? List.of(this.settings.failureDomain()) : domains;
	}

	/**
	 * Tells whether this host passes on configuration and endpoints.
	 * @return true where it is one of the domain's readers
	 */
	boolean isReader() {
		return ReaderElection.isReader(this.settings.failureDomain(), this.links.liveHosts(), this.settings.host());
	}

	/**
	 * Tells whether this host is one of those that contend for leases.
	 * @return whether it contends, as of the last second
	 */
	boolean isContender() {
		long now = clock().millis();
		if (now >= this.contenderUntil) {
			this.contender = LeaseElection.isContender(this.settings.failureDomain(), this.links.liveHosts(),
					this.settings.host());
			this.contenderUntil = now + CONTENDER_MILLIS;
		}
		return this.contender;
	}

	/**
	 * Performs the steps that a decision asks for now.
	 * @param decision the decision
	 */
	void drive(StoreDecision decision) {
		for (int i = 0; i < MAX_STEPS; i++) {
			StoreStep step = decision.next();
			if (step == null) {
				return;
			}
			this.counters.counter("store_calls_total").inc();
			decision.onResult(step, step.perform(this.store)
				.peekLeft((failure) -> this.counters.counter("store_failures_total", "code", failure.code()).inc()));
		}
	}

}
