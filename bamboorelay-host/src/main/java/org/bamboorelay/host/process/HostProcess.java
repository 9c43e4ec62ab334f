package org.bamboorelay.host.process;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Collectors;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.HttpException;
import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.core.process.DomainCutOff;
import org.bamboorelay.core.process.DomainIsolation;
import org.bamboorelay.core.process.EndpointCounts;
import org.bamboorelay.core.process.EndpointEntry;
import org.bamboorelay.core.process.EndpointRequirements;
import org.bamboorelay.core.process.EndpointTable;
import org.bamboorelay.core.process.LeaseState;
import org.bamboorelay.core.process.MemoryAccount;
import org.bamboorelay.core.process.MemoryOrigin;
import org.bamboorelay.core.process.MigrationReason;
import org.bamboorelay.core.process.PlacementCounts;
import org.bamboorelay.core.process.PlacementReason;
import org.bamboorelay.core.process.PoisonRequestDetector;
import org.bamboorelay.core.process.WeightLoadScheduler;
import org.bamboorelay.core.request.HedgingPolicy;
import org.bamboorelay.core.request.HedgingSettings;
import org.bamboorelay.core.request.ItemOrder;
import org.bamboorelay.core.request.RequestOrigin;
import org.bamboorelay.core.request.ShutdownAdmission;
import org.bamboorelay.core.store.StoreFailure;
import org.bamboorelay.core.store.StoredObject;
import org.bamboorelay.core.store.WatchableStore;
import org.bamboorelay.core.time.Clock;
import org.bamboorelay.core.time.SuspendAwareClock;
import org.bamboorelay.core.version.CoreJson;
import org.bamboorelay.core.version.RoutingTable;
import org.bamboorelay.core.version.ServiceRule;
import org.bamboorelay.host.connection.CallerProtocol;
import org.bamboorelay.host.connection.EndpointProtocol;
import org.bamboorelay.host.connection.HostMesh;
import org.bamboorelay.host.connection.PlatformCalls;
import org.bamboorelay.host.request.CallerMonitor;
import org.bamboorelay.host.request.CallerRequestHandler;
import org.bamboorelay.host.request.EndpointAcquirer;
import org.bamboorelay.host.request.EndpointClient;
import org.bamboorelay.host.request.EndpointExchanges;
import org.bamboorelay.host.request.EndpointNotices;
import org.bamboorelay.host.request.HedgedCalls;
import org.bamboorelay.host.request.ItemRunner;
import org.bamboorelay.host.request.PoisonGuard;
import org.bamboorelay.host.request.RateSlots;
import org.bamboorelay.host.request.StreamRelay;
import org.bamboorelay.host.request.SubmissionDirectory;
import org.bamboorelay.host.request.SubmissionHandler;
import org.bamboorelay.host.request.SubmissionRunner;
import org.bamboorelay.host.version.DirectoryFormat;
import org.bamboorelay.host.version.KindWatcher;
import org.bamboorelay.host.version.PeerFallbackStore;
import org.bamboorelay.host.version.SubmissionStore;
import org.bamboorelay.runtime.connection.HttpConnectionPool;
import org.bamboorelay.runtime.connection.HttpListener;
import org.bamboorelay.runtime.connection.ListenerOptions;
import org.bamboorelay.runtime.process.Counters;
import org.bamboorelay.runtime.request.JsonFailure;
import org.jspecify.annotations.Nullable;

/**
 * The process that runs on each host: serves callers, runs submissions, and contends for
 * the duties of the deployment.
 * <p>
 * Thread-safe.
 */
public final class HostProcess {

	private static final String HOSTS_KIND = "hosts";

	/** Interval between two status messages to other hosts, in milliseconds. */
	private static final long STATUS_INTERVAL_MILLIS = 300;

	/** Interval between two checks for submissions of lost hosts, in milliseconds. */
	private static final long TAKEOVER_INTERVAL_MILLIS = 300;

	/**
	 * Interval at which the records of running submissions are read, in milliseconds:
	 * changes that no watch reported are thus found well within the 3 s in which a
	 * submission must stop after it was ended.
	 */
	private static final long CONFIRM_INTERVAL_MILLIS = 1_000;

	/** Number of renewals per lease duration. */
	private static final int RENEWALS_PER_LEASE = 3;

	/**
	 * Delay after the end of a lease before another host may acquire it, in milliseconds.
	 */
	private static final long LEASE_ACQUIRE_MARGIN_MILLIS = 700;

	/**
	 * Maximum wait for results to be listed during shutdown, in milliseconds.
	 */
	private static final long LISTING_TIMEOUT_MILLIS = 1_000;

	/**
	 * Time before the kill signal at which a process that shuts down ends, in
	 * milliseconds.
	 */
	private static final long SHUTDOWN_MARGIN_MILLIS = 200;

	/**
	 * Time before the end of a process that shuts down by which the last requests are
	 * answered, in milliseconds.
	 */
	private static final long ANSWER_MARGIN_MILLIS = 100;

	/**
	 * Time without requests after which the listener for callers closes during shutdown,
	 * in milliseconds.
	 */
	private static final long DRAIN_IDLE_MILLIS = 500;

	private final HostSettings settings;

	private final HostOptions options;

	private final PeerFallbackStore store;

	private final DirectoryFormat format;

	private final EventLog log = new EventLog();

	private final Counters counters = Counters.create();

	/** Never runs ahead of real time; stands still while the machine is suspended. */
	private final Clock steadyClock = Clock.monotonic();

	private final Clock clock = SuspendAwareClock.of(this.steadyClock, Clock.wall());

	private final ExecutorService executor = Executors.newCachedThreadPool((task) -> {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		return thread;
	});

	private final AtomicReference<@Nullable RoutingTable> routing = new AtomicReference<>();

	private final EndpointTable table = EndpointTable.create(this.clock, new SplittableRandom(System.nanoTime()));

	private final PoisonRequestDetector poisonRequests = PoisonRequestDetector.create(this.clock);

	private final WeightLoadScheduler weightLoadScheduler = WeightLoadScheduler.of(this.clock);

	private final Set<String> disabledDomains = ConcurrentHashMap.newKeySet();

	private final List<HttpListener> listeners = new CopyOnWriteArrayList<>();

	private final Map<String, KindWatcher> watchersByKind = new ConcurrentHashMap<>();

	private final List<KindWatcher> requiredWatchers = new ArrayList<>();

	private final HostMesh mesh;

	private final LeaseState lease;

	private final AtomicLong lastHeldMillis;

	private final UsageMeter usage;

	private final @Nullable HedgedCalls hedgedCalls;

	private final EndpointAcquirer acquirer;

	private final SubmissionRunner runner;

	private final SubmissionDirectory directory;

	private final CallerMonitor callerMonitor = new CallerMonitor(this.log);

	private final HttpConnectionPool pool;

	private final CallerLimiter callerLimiter;

	private final CallerRequestHandler callerRequestHandler;

	private final DutyLoop duties;

	private final String incarnation;

	private volatile String peerAddress = "";

	private volatile @Nullable HttpListener frontListener;

	private volatile boolean shuttingDown;

	private volatile boolean domainCutOff;

	private boolean loggedIsolated;

	private final DomainIsolation isolation = DomainIsolation.of(this.clock);

	private final DomainCutOff cutOff = DomainCutOff.of(this.clock);

	private volatile boolean stopped;

	private final ShutdownAdmission shutdownAdmission = ShutdownAdmission.of(this.clock);

	private final AtomicBoolean confirmationInProgress = new AtomicBoolean();

	private long nextTakeoverMillis;

	private long nextStatusMillis;

	private long nextConfirmMillis;

	/**
	 * Creates a process that is not started yet.
	 * @param settings the settings of the process
	 * @param options the options of the operator
	 * @param store the platform's store
	 * @param pool the connections to endpoints
	 * @param format decodes the platform's objects
	 * @param callers decodes requests of callers
	 * @param endpoints encodes requests to endpoints and decodes their responses
	 * @param calls sends the calls of duties
	 */
	public HostProcess(HostSettings settings, HostOptions options, WatchableStore store, HttpConnectionPool pool,
			DirectoryFormat format, CallerProtocol callers, EndpointProtocol endpoints, PlatformCalls calls) {
		this.settings = Objects.requireNonNull(settings, "settings");
		this.options = Objects.requireNonNull(options, "options");
		this.format = Objects.requireNonNull(format, "format");
		this.pool = Objects.requireNonNull(pool, "pool");
		this.incarnation = Long.toHexString(System.currentTimeMillis()) + "-"
				+ Integer.toHexString(ThreadLocalRandom.current().nextInt());
		this.mesh = HostMesh.of(settings.host(), settings.domain(), settings.processors(), this.incarnation, this.clock,
				this.executor, this.log);
		this.store = new PeerFallbackStore(Objects.requireNonNull(store, "store"), this.mesh, this.clock, this.counters,
				this.log);
		this.usage = new UsageMeter(this.incarnation, settings.usageWindowMillis());
		AtomicLong lastHeldMillis = new AtomicLong(this.steadyClock.millis());
		long leaseDurationMillis = settings.leaseMillis() * 2 / 3;
		LeaseState.Timing timing = new LeaseState.Timing(leaseDurationMillis, leaseDurationMillis / RENEWALS_PER_LEASE,
				leaseDurationMillis + LEASE_ACQUIRE_MARGIN_MILLIS, leaseDurationMillis / RENEWALS_PER_LEASE);
		// Two holders must not alternate, so a host that held the lease, possibly before
		// a restart, waits before it contends again. A host that receives the status of a
		// live holder does not contend.
		this.lease = LeaseState
			.of(DutyLoop.LEASE_KEY, settings.host() + "/" + this.incarnation, this.steadyClock, () -> timing,
					() -> ThreadLocalRandom.current().nextDouble())
			.withExpiryClock(this.clock)
			.withPredecessorPrefix(settings.host() + "/")
			.contendingWhen(() -> this.steadyClock.millis() - lastHeldMillis.get() > settings.leaseMillis()
					&& this.mesh.dutyHolder() == null && this.mesh.mayHoldDuties());
		this.lastHeldMillis = lastHeldMillis;
		registerPlacementCounts();
		EndpointNotices notices = new EndpointNotices(this.table, this.poisonRequests,
				options.schedulingOrDefaults().reportedPlacement(), this.mesh::publish, this.log);
		EndpointExchanges exchanges = new EndpointExchanges(endpoints, pool, notices, this.counters);
		PoisonGuard poisonGuard = new PoisonGuard(this.poisonRequests, this.table, this.mesh::publish, this.counters,
				this.log);
		registerPoisonReports();
		RateSlots rateSlots = new RateSlots(settings.host(), this.table, this.mesh, this.clock, this.counters,
				this.log);
		registerRateMessages(rateSlots);
		HedgingSettings hedging = options.hedging();
		this.hedgedCalls = (hedging != null && hedging.budget() > 0)
				? new HedgedCalls(HedgingPolicy.of(hedging, this.clock), this.table, poisonGuard,
						this.shutdownAdmission, this.clock, this.counters, this.log)
				: null;
		this.acquirer = new EndpointAcquirer(this.table, rateSlots, this.routing::get,
				new SplittableRandom(ThreadLocalRandom.current().nextLong()), this.clock, this.counters, this.log);
		EndpointClient endpointClient = EndpointClient.of(this.table, this.acquirer, poisonGuard, exchanges, this.clock,
				this.counters, this.log, this.hedgedCalls);
		ItemRunner itemRunner = new ItemRunner(this.table, endpoints, exchanges, endpointClient, this.routing::get,
				this.clock, this.counters, this.log);
		SubmissionStore submissions = SubmissionStore.of(this.store);
		this.runner = new SubmissionRunner(settings.host(), submissions, this.table, rateSlots, itemRunner,
				this.routing::get, ItemOrder.LONGEST_WANTED_FIRST, options.schedulingOrDefaults().engineShares(),
				this.mesh, this.executor, this.log);
		this.directory = new SubmissionDirectory(settings.host(), submissions, this.runner, this.mesh, this.log);
		this.directory.onSilentOwner(this.isolation::onSilentHostActive);
		SubmissionHandler submissionHandler = new SubmissionHandler(settings.host(), callers, submissions,
				this.directory, this.runner, this.log);
		StreamRelay streamRelay = new StreamRelay(this.table, this.acquirer, poisonGuard, exchanges, this.usage,
				this.clock, this.log);
		this.callerLimiter = new CallerLimiter(settings, options, this.routing::get, this.clock, this.counters,
				this.log);
		this.callerRequestHandler = new CallerRequestHandler(this.routing::get, callers, endpointClient, streamRelay,
				submissionHandler, this.callerMonitor, this.usage, this.shutdownAdmission, this.clock, this.counters,
				this.log);
		MemoryAccount memory = this.callerLimiter.memory();
		memory.countElsewhere(MemoryOrigin.ENDPOINT_RESPONSES, pool::bufferedBytes);
		memory.countElsewhere(MemoryOrigin.HOST_MESSAGES, this.mesh::outboundBytes);
		memory.countElsewhere(MemoryOrigin.STORE_RELAYS, this.store::relayedBytes);
		memory.countElsewhere(MemoryOrigin.ITEM_TEXTS, this.runner::textBytes);
		this.duties = new DutyLoop(settings, this.lease, this.store, calls, this.table, this.weightLoadScheduler,
				this.usage, this.runner::demand, this::ownWork, this.mesh::publish, this.executor, this.counters,
				this.log);
	}

	private void registerPlacementCounts() {
		PlacementCounts counts = this.table.placementCounts();
		this.counters.gauge("endpoint_load_reports_total", counts::reports);
		for (PlacementReason reason : PlacementReason.CHOSEN) {
			this.counters.gauge("endpoint_choices_total{reason=\"" + reason.label() + "\"}",
					() -> counts.choices(reason));
		}
		for (MigrationReason reason : MigrationReason.values()) {
			this.counters.gauge("item_migrations_total{reason=\"" + reason.label() + "\"}",
					() -> counts.migrations(reason));
		}
	}

	/**
	 * Starts serving.
	 * @throws IOException if an address cannot be bound
	 */
	public void start() throws IOException {
		this.log.info("process-starting", "host", this.settings.host(), "domain", this.settings.domain(), "incarnation",
				this.incarnation, "options", this.options.toString());
		registerCapacityMetrics();
		this.mesh.onStatus((host, status) -> {
			this.table.peerLoad(host, status.running());
			this.table.leaving(status.leavingEndpoints());
			this.usage.merge(status.usage());
			this.duties.updateDemand(host, status.demand(), status.work());
			this.runner.onTrainerLoads(host, status.trainers());
			if (status.holdsDuties()) {
				this.lease.onVersionAnnounced(status.leaseVersion());
				this.table.loading(Set.copyOf(status.loading()));
				this.table.assignedModels(status.assigned());
			}
		});
		this.mesh.register(PeerMessage.ResultsRequest.class, this.directory::handleResultsRequest);
		this.mesh.register(PeerMessage.TextCopy.class, this.runner::handleTextCopy);
		this.mesh.register(PeerMessage.TextFetch.class, this.runner::handleTextFetch);
		this.mesh.onChanges((message) -> {
			KindWatcher watch = this.watchersByKind.get(message.kind());
			if (watch != null) {
				watch.onChanges(message);
			}
		});
		this.mesh.onWeightLoad(
				(load) -> this.table.onWeightLoad(load.endpoint(), load.model(), load.version(), load.inProgress()));
		this.peerAddress = this.mesh.open(this.settings.peerAddress());
		startWatcher(this.format.routingKind(), false, true, this::onRouting, (name) -> {
		});
		startWatcher(this.format.endpointKind(), true, true, this::onEndpoint, this::onEndpointRemoved);
		startWatcher(this.format.weightKind(), false, false, this::onWeights, (name) -> {
		});
		startWatcher(this.format.disabledDomainKind(), false, true, (name, object) -> {
			this.disabledDomains.add(name);
			this.table.disabledDomains(this.disabledDomains);
			this.log.info("domain-closed", "domain", name);
		}, (name) -> {
			this.disabledDomains.remove(name);
			this.table.disabledDomains(this.disabledDomains);
			this.log.info("domain-opened", "domain", name);
		});
		startWatcher(this.format.retirementKind(), false, false, this::onRetirement, (name) -> {
		});
		startWatcher(HOSTS_KIND, false, true, this::onHost, this.mesh::removeHost);
		KindWatcher submissions = KindWatcher.of(this.store, SubmissionStore.RECORDS_KIND, false, true, this.directory,
				this.mesh::isStoreWatcher, this.mesh::publish, this.log);
		this.watchersByKind.put(SubmissionStore.RECORDS_KIND, submissions);
		this.requiredWatchers.add(submissions);
		this.executor.execute(submissions);
		this.executor.execute(this::register);
		this.executor.execute(this::maintenanceLoop);
		this.executor.execute(this.runner::runLoop);
		this.executor.execute(this.duties);
		HttpListener listener = listen(this.settings.frontAddress(), this.callerRequestHandler,
				this.callerLimiter.callerOptions());
		this.callerLimiter.observe(listener);
		this.frontListener = listener;
		listen(this.settings.readyAddress(), this::answerReady, this.callerLimiter.probeOptions());
		listen(this.settings.metricsAddress(),
				(request, responder) -> responder.send(200, "text/plain", this.counters.text()),
				this.callerLimiter.probeOptions());
	}

	/**
	 * Returns whether this host is ready for requests of callers.
	 * @return whether all objects needed to serve were listed once, the process is not
	 * shutting down, and its failure domain is not isolated from the store and all other
	 * domains, which serve callers better in that case
	 */
	public boolean isReady() {
		return !this.shuttingDown && !this.domainCutOff && this.routing.get() != null
				&& this.requiredWatchers.stream().allMatch((watch) -> watch.listed().getCount() == 0);
	}

	/**
	 * Logs that the settings file changed. Addresses and names are fixed while a process
	 * runs, so no setting is applied.
	 */
	public void reload() {
		this.log.info("settings-reloaded", "host", this.settings.host());
	}

	/**
	 * Shuts down gracefully: refuses new requests of callers, releases the duties, hands
	 * submissions over to other hosts, and lets running requests complete until shortly
	 * before the kill signal.
	 */
	public void shutDown() {
		if (this.shuttingDown) {
			return;
		}
		this.shuttingDown = true;
		long deadlineMillis = this.clock.millis() + this.settings.graceMillis() - SHUTDOWN_MARGIN_MILLIS;
		this.shutdownAdmission.begin(deadlineMillis - ANSWER_MARGIN_MILLIS);
		this.log.info("process-leaving", "running", runningRequests(), "submissions",
				this.runner.runningSubmissions().size());
		try {
			HttpListener listener = this.frontListener;
			if (listener != null) {
				listener.disableKeepAlive();
			}
			this.duties.shutDown(this.settings.graceMillis() / 8);
			this.runner.drain(LISTING_TIMEOUT_MILLIS);
			this.directory.handOver();
			this.runner.close();
			if (listener != null) {
				listener.drain(DRAIN_IDLE_MILLIS, Math.max(0, deadlineMillis - this.clock.millis()));
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		this.stopped = true;
		this.log.info("process-stopped", "running", runningRequests());
	}

	/**
	 * Stops immediately, without waiting for running requests.
	 */
	public void close() {
		this.stopped = true;
		this.shuttingDown = true;
		this.duties.shutDown(0);
		this.runner.close();
		this.mesh.close();
		if (this.hedgedCalls != null) {
			this.hedgedCalls.close();
		}
		this.listeners.forEach(HttpListener::close);
		this.watchersByKind.values().forEach(KindWatcher::close);
		this.executor.shutdownNow();
	}

	/**
	 * Returns the address on which this host serves callers.
	 * @return {@code ip:port}, with the actual port if the settings leave it open
	 * @throws IllegalStateException if the process was not started
	 */
	public String frontAddress() {
		HttpListener listener = this.frontListener;
		if (listener == null) {
			throw new IllegalStateException("host " + this.settings.host() + " was not started");
		}
		String address = this.settings.frontAddress();
		return address.substring(0, address.lastIndexOf(':') + 1) + listener.port();
	}

	/**
	 * Returns the live hosts.
	 * @return this host and the others whose status was received recently
	 */
	public Set<String> liveHosts() {
		return this.mesh.liveHosts();
	}

	/**
	 * Returns the number of endpoints of a service that can accept a request now.
	 * @param service the service
	 * @return the number of endpoints
	 */
	public int availableEndpoints(String service) {
		return this.table.availableCount(EndpointRequirements.plain(RequestOrigin.CALLER, service, Set.of()));
	}

	/**
	 * Returns whether an endpoint is known at an address.
	 * @param address {@code ip:port}
	 * @return whether the endpoint table contains the address
	 */
	public boolean isEndpointAt(String address) {
		return this.table.hasAddress(address);
	}

	private void registerRateMessages(RateSlots rateSlots) {
		this.mesh.register(PeerMessage.RateSlotRequest.class, rateSlots::handleRequest);
		this.mesh.register(PeerMessage.RateNamed.class, (named) -> {
			if (this.table.onRateNamedToPeer(named.endpoint(), named.startedAtMillis(), named.requestsPerSecond())) {
				this.log.info("endpoint-rate-learned", "endpoint", named.endpoint(), "requests_per_second",
						named.requestsPerSecond());
				this.mesh.forward(named);
			}
			return new PeerMessage.Ack(true);
		});
	}

	private void registerPoisonReports() {
		this.mesh.openingMessages(this.poisonRequests::reports);
		this.mesh.register(PeerMessage.EndpointCrash.class, (report) -> {
			if (this.poisonRequests.onReport(report)) {
				this.log.info("endpoint-crash-reported", "fingerprint", report.fingerprint(), "endpoint",
						report.endpoint(), "crashes", this.poisonRequests.crashes(report.fingerprint()));
				this.mesh.forward(report);
			}
			return new PeerMessage.Ack(true);
		});
		this.mesh.register(PeerMessage.RequestServed.class, (report) -> {
			if (this.poisonRequests.onServed(report.fingerprint())) {
				this.mesh.forward(report);
			}
			return new PeerMessage.Ack(true);
		});
	}

	private int runningRequests() {
		HttpListener listener = this.frontListener;
		return (listener != null) ? listener.activeRequests() : 0;
	}

	private HttpListener listen(String address, HttpListener.HttpHandler handler, ListenerOptions options)
			throws IOException {
		int colon = address.lastIndexOf(':');
		HttpListener listener = HttpListener.open(address.substring(0, colon),
				Integer.parseInt(address.substring(colon + 1)), handler,
				(error) -> this.counters.counter("broken_connections_total").inc(), options);
		this.listeners.add(listener);
		return listener;
	}

	private void answerReady(ClassicHttpRequest request, HttpListener.Responder responder)
			throws HttpException, IOException {
		boolean ready = isReady();
		responder.send(ready ? 200 : 503, "text/plain", ready ? "ready" : "not ready");
	}

	private void startWatcher(String kind, boolean retainsExpired, boolean isRequired, ChangeHandler changed,
			RemovalHandler removed) {
		KindWatcher watch = KindWatcher.of(this.store, kind, retainsExpired, isRequired, new KindWatcher.Listener() {

			@Override
			public void changed(String name, StoredObject object) {
				changed.changed(name, object);
			}

			@Override
			public void removed(String name) {
				removed.removed(name);
			}

		}, this.mesh::isStoreWatcher, this.mesh::publish, this.log);
		this.watchersByKind.put(kind, watch);
		if (isRequired) {
			this.requiredWatchers.add(watch);
		}
		this.executor.execute(watch);
	}

	private void onRouting(String name, StoredObject object) {
		Either<JsonFailure, RoutingTable> read = this.format.routing(object.body());
		if (read.isLeft()) {
			this.log.warn("configuration-unreadable", "name", name, "revision", object.version(), "detail",
					read.getLeft().detail());
			return;
		}
		RoutingTable next = read.get();
		RoutingTable currentRouting = this.routing.get();
		if (currentRouting != null && next.version() < currentRouting.version()) {
			this.log.warn("configuration-older", "version", next.version(), "in_force", currentRouting.version());
			return;
		}
		this.table.services(this.options.schedulingOrDefaults().spotCapacity() ? next.services()
				: next.services().stream().map(ServiceRule::withoutSpot).toList());
		this.routing.set(next);
		this.log.info("configuration-in-force", "version", next.version(), "revision", object.version());
		HedgingSettings hedging = this.options.hedging();
		if (hedging != null) {
			List<String> unknown = hedging.routes().stream().filter((route) -> !next.hasRoute(route)).toList();
			if (!unknown.isEmpty()) {
				this.log.warn("hedging-routes-unknown", "routes", unknown, "configuration", next.version());
			}
		}
	}

	private void onEndpoint(String name, StoredObject object) {
		Either<JsonFailure, EndpointEntry> read = this.format.endpoint(name, object.body());
		if (read.isLeft()) {
			this.log.info("endpoint-unusable", "endpoint", name, "detail", read.getLeft().detail());
			return;
		}
		noteReclaim(read.get());
		this.table.put(read.get());
		this.log.info("endpoint-learned", "endpoint", name, "service", read.get().service(), "leaving",
				read.get().leaving(), "cold_ms", read.get().coldRemainingMillis(), "versions", read.get().versions());
	}

	private void noteReclaim(EndpointEntry entry) {
		boolean known = this.table.reclaimed().containsKey(entry.id());
		if (entry.isReclaimed() && !known) {
			this.counters.counter("reclaim_notices_total").inc();
			this.log.info("endpoint-reclaim-noticed", "endpoint", entry.id(), "domain", entry.domain(), "leaves_ms",
					entry.leavesMillis());
		}
		else if (!entry.isReclaimed() && known) {
			this.log.info("endpoint-reclaim-ended", "endpoint", entry.id(), "reason", "ready-again");
		}
	}

	private void onEndpointRemoved(String name) {
		if (this.table.reclaimed().containsKey(name)) {
			this.log.info("endpoint-reclaim-ended", "endpoint", name, "reason", "removed");
		}
		this.table.remove(name);
	}

	private void registerCapacityMetrics() {
		for (String domain : this.settings.domains()) {
			for (boolean spot : new boolean[] { false, true }) {
				this.counters.gauge(
						"scalable_endpoints{domain=\"" + domain + "\",kind=\"" + (spot ? "spot" : "on-demand") + "\"}",
						() -> this.table.serviceRules()
							.stream()
							.filter((rule) -> rule.spotScaling() != null)
							.mapToLong((rule) -> this.table.countsByDomain(rule.name())
								.getOrDefault(domain, EndpointCounts.NONE)
								.count(spot))
							.sum());
			}
		}
		this.counters.gauge("reclaimed_runs_moved_total", this.runner::movedCount);
	}

	private void onWeights(String name, StoredObject object) {
		Either<JsonFailure, DirectoryFormat.LatestWeights> read = this.format.weights(object.body());
		if (read.isLeft()) {
			this.log.warn("weights-unreadable", "name", name, "detail", read.getLeft().detail());
			return;
		}
		this.weightLoadScheduler.targetVersion(read.get().model(), read.get().version());
		this.log.info("weights-named", "model", read.get().model(), "version", read.get().version());
	}

	// Disk hosts store no durable data, so they count as emptied at once.
	private void onRetirement(String name, StoredObject object) {
		if (!this.lease.isLastKnownHolder() && this.mesh.dutyHolder() != null) {
			return;
		}
		this.executor.execute(() -> {
			Either<StoreFailure, Long> written = this.store.writeStatus(object.key(), this.format.emptiedStatus());
			this.log.info("disk-host-retired", "name", name, "outcome",
					written.isRight() ? "ok" : written.getLeft().code());
		});
	}

	private void onHost(String name, StoredObject object) {
		Option<HostRecord> read = CoreJson.read(object.body(), HostRecord.class);
		read.forEach((record) -> this.mesh.putHost(name, record.address(), record.domain(), record.processors()));
	}

	// Registers this host with the others. A restarted host keeps its name, but its
	// address may have changed.
	private void register() {
		String key = HOSTS_KIND + "/" + this.settings.host();
		byte[] body = CoreJson
			.bytes(new HostRecord(this.peerAddress, this.settings.domain(), this.settings.processors()));
		while (!this.stopped) {
			Either<StoreFailure, Long> created = this.store.create(key, body);
			if (created.isRight()) {
				return;
			}
			Either<StoreFailure, Option<StoredObject>> read = this.store.read(key);
			if (read.isRight() && read.get().isDefined()) {
				StoredObject known = read.get().get();
				if (Arrays.equals(known.body(), body) || this.store.replace(key, body, known.version()).isRight()) {
					return;
				}
			}
			pause(STATUS_INTERVAL_MILLIS);
		}
	}

	private void maintenanceLoop() {
		while (!this.stopped) {
			LoopGuard.run(this.log, "beats", this::runMaintenance);
		}
	}

	private void runMaintenance() {
		long now = this.clock.millis();
		if (this.lease.isHeld()) {
			this.lastHeldMillis.set(this.steadyClock.millis());
			this.table.loading(this.weightLoadScheduler.loading());
			this.table.assignedModels(this.weightLoadScheduler.assignedModels());
		}
		if (now >= this.nextStatusMillis) {
			this.nextStatusMillis = now + STATUS_INTERVAL_MILLIS;
			this.mesh.sendStatus(this::status);
			this.table.hostCount(this.mesh.liveHosts().size());
			if (this.hedgedCalls != null) {
				this.hedgedCalls.hostCount(this.mesh.liveHosts().size());
			}
		}
		this.acquirer.logShares();
		checkIsolation();
		this.table.silentDomains(this.mesh.silentDomains());
		if (now >= this.nextTakeoverMillis) {
			this.nextTakeoverMillis = now + TAKEOVER_INTERVAL_MILLIS;
			if (!isIsolated() && this.isolation.areRecordsStale()) {
				// Submissions may have been ended while this domain was isolated.
				confirmRunning();
			}
			if (isReady() && this.store.isDirectlyReachable()
					&& this.isolation.mayTakeOver(this.lease.isHeld() || this.mesh.dutyHolder() != null)) {
				this.directory.takeOver();
			}
		}
		if (now >= this.nextConfirmMillis) {
			this.nextConfirmMillis = now + CONFIRM_INTERVAL_MILLIS;
			confirmRunning();
		}
		this.callerMonitor.checkAll();
		this.pool.closeStalledWrites();
		HttpListener listener = this.frontListener;
		if (listener != null) {
			this.callerLimiter.check(listener);
		}
		pause(CallerMonitor.CHECK_INTERVAL_MILLIS);
	}

	private void checkIsolation() {
		if (this.cutOff.observe(this.mesh.outsideSilenceMillis(), this.store.lastResponseMillis())) {
			this.executor.execute(() -> this.store.probe(DutyLoop.LEASE_KEY));
		}
		boolean isolated = isIsolated();
		this.isolation.observe(isolated, this.cutOff.isOutsideSilent() && !this.mesh.haveOutsideHostsLeft());
		if (isolated) {
			this.runner.suspend(true);
		}
		if (isolated != this.loggedIsolated) {
			this.loggedIsolated = isolated;
			this.log.warn(isolated ? "domain-isolated" : "domain-not-isolated", "domain", this.settings.domain(),
					"silent_ms", this.mesh.outsideSilenceMillis(), "store_answering", this.cutOff.isStoreAnswering());
		}
		boolean nowCutOff = this.cutOff.isCutOff();
		if (nowCutOff != this.domainCutOff) {
			this.domainCutOff = nowCutOff;
			this.store.domainCutOff(nowCutOff);
			this.log.warn(nowCutOff ? "domain-cut-off" : "domain-rejoined", "domain", this.settings.domain());
		}
	}

	// A domain that reaches the store learns there what the silent domains would tell it.
	private boolean isIsolated() {
		return this.cutOff.isOutsideSilent() && !this.cutOff.isStoreAnswering();
	}

	private void confirmRunning() {
		if (!this.confirmationInProgress.compareAndSet(false, true)) {
			return;
		}
		this.executor.execute(() -> {
			try {
				boolean wasIsolated = isIsolated();
				if (this.directory.confirmRunning()) {
					this.isolation.onRecordsRead(wasIsolated);
					this.runner.suspend(this.isolation.areRecordsStale());
				}
			}
			finally {
				this.confirmationInProgress.set(false);
			}
		});
	}

	private PeerMessage.HostStatus status() {
		Map<Long, Map<String, Map<String, Long>>> usageCounts = new HashMap<>(
				this.usage.recentCounts(System.currentTimeMillis()));
		return new PeerMessage.HostStatus(this.shuttingDown, this.lease.isHeld(), this.lease.heldVersion(),
				this.store.isDirectlyReachable(), this.runner.demand(), List.copyOf(this.weightLoadScheduler.loading()),
				this.lease.isHeld() ? this.weightLoadScheduler.assignedModels() : Map.of(),
				new HashMap<>(this.table.ownLoad()), this.table.leaving(), usageCounts, this.runner.trainerLoads(),
				ownWork());
	}

	private Map<String, List<Long>> ownWork() {
		return this.runner.work(this.table.serviceRules()
			.stream()
			.filter((rule) -> rule.spotScaling() != null)
			.map(ServiceRule::name)
			.collect(Collectors.toSet()));
	}

	private static void pause(long millis) {
		try {
			TimeUnit.MILLISECONDS.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	@FunctionalInterface
	private interface ChangeHandler {

		void changed(String name, StoredObject object);

	}

	@FunctionalInterface
	private interface RemovalHandler {

		void removed(String name);

	}

	/**
	 * Record with which a host registers in the store.
	 *
	 * @param address the address to which peers connect, {@code ip:port}
	 * @param domain the failure domain of the host
	 * @param processors the processor capacity of the host, in cores
	 */
	record HostRecord(String address, String domain, double processors) {
	}

}
