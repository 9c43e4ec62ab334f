package org.bamboorelay.control.process;

import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.ThreadLocalRandom;

import io.vavr.control.Option;
import org.bamboorelay.control.connection.EntryLinks;
import org.bamboorelay.control.connection.PlatformClient;
import org.bamboorelay.control.version.ControlSettings;
import org.bamboorelay.core.process.ConfigurationReaders;
import org.bamboorelay.core.process.LeaseContenders;
import org.bamboorelay.core.process.StoreOperation;
import org.bamboorelay.core.process.StoreStateMachine;
import org.bamboorelay.core.store.ObjectStore;
import org.bamboorelay.core.time.Clock;
import org.bamboorelay.core.version.Configuration;
import org.bamboorelay.core.version.FailureDomain;
import org.bamboorelay.core.version.Inventory;
import org.bamboorelay.runtime.process.Counters;
import org.jspecify.annotations.Nullable;

/**
 * State shared by the periodic tasks of a control process.
 * <p>
 * Thread-safe.
 */
final class ControlContext {

	/** Maximum number of operations of a state machine in one run. */
	private static final int MAX_OPERATIONS_PER_RUN = 128;

	/**
	 * Caching time of the contender check: ranking 45 hosts takes about 40 µs, and the
	 * leases check 20 times a second.
	 */
	private static final long CONTENDER_CACHE_MILLIS = 1_000;

	private final ControlSettings settings;

	private final String incarnation;

	private final ObjectStore store;

	private final PlatformClient platform;

	private final EntryLinks links;

	private final Counters counters;

	private final Executor callExecutor;

	private volatile @Nullable Configuration configuration;

	private volatile boolean contender;

	private volatile long contenderValidUntilMillis = Long.MIN_VALUE;

	ControlContext(ControlSettings settings, String incarnation, ObjectStore store, PlatformClient platform,
			EntryLinks links, Counters counters, Executor callExecutor) {
		this.settings = settings;
		this.incarnation = incarnation;
		this.store = store;
		this.platform = platform;
		this.links = links;
		this.counters = counters;
		this.callExecutor = callExecutor;
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

	Executor callExecutor() {
		return this.callExecutor;
	}

	Clock clock() {
		return Clock.monotonic();
	}

	Clock wallClock() {
		return Clock.wall();
	}

	double random() {
		return ThreadLocalRandom.current().nextDouble();
	}

	Option<Configuration> configuration() {
		return Option.of(this.configuration);
	}

	/**
	 * Activates a configuration and connects to the entry hosts of its inventory.
	 * @param next the new configuration
	 */
	void activate(Configuration next) {
		this.configuration = next;
		List<String> peers = next.inventory()
			.hosts()
			.stream()
			.filter((host) -> host.failureDomain().equals(this.settings.failureDomain()))
			.map(Inventory.HostEntry::peerAddress)
			.toList();
		this.links.setAddresses(peers.isEmpty() ? this.settings.entryAddresses() : peers);
	}

	/**
	 * Returns the failure domains in service.
	 * @return the domains, sorted by name; the local domain if no other is known
	 */
	List<FailureDomain> domainsInService() {
		Configuration active = this.configuration;
		List<FailureDomain> domains = (active != null) ? active.inventory()
			.failureDomains()
			.stream()
			.map(Inventory.DomainEntry::name)
			.filter(active::isInService)
			.sorted(Comparator.comparing(FailureDomain::value))
			.toList() : List.of();
		return domains.isEmpty() ? List.of(this.settings.failureDomain()) : domains;
	}

	/**
	 * Returns whether this host publishes configuration and endpoints.
	 * @return true if it is one of the readers of the domain
	 */
	boolean isReader() {
		return ConfigurationReaders.isReader(this.settings.failureDomain(), this.links.liveHosts(),
				this.settings.host());
	}

	/**
	 * Returns whether this host contends for leases.
	 * @return true if it contends; at most 1 s old
	 */
	boolean isContender() {
		long now = clock().millis();
		if (now >= this.contenderValidUntilMillis) {
			this.contender = LeaseContenders.isContender(this.settings.failureDomain(), this.links.liveHosts(),
					this.settings.host());
			this.contenderValidUntilMillis = now + CONTENDER_CACHE_MILLIS;
		}
		return this.contender;
	}

	/**
	 * Executes the store operations that a state machine requests now.
	 * @param stateMachine the state machine
	 */
	void runOperations(StoreStateMachine stateMachine) {
		for (int i = 0; i < MAX_OPERATIONS_PER_RUN; i++) {
			StoreOperation operation = stateMachine.next();
			if (operation == null) {
				return;
			}
			this.counters.counter("store_calls_total").inc();
			stateMachine.onResult(operation, operation.perform(this.store)
				.peekLeft((failure) -> this.counters.counter("store_failures_total", "code", failure.code()).inc()));
		}
	}

}
