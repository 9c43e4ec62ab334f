package org.bamboorelay.host.process;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.HttpException;
import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.core.process.DomainIsolation;
import org.bamboorelay.core.process.EndpointDemand;
import org.bamboorelay.core.process.EndpointEntry;
import org.bamboorelay.core.process.EndpointTable;
import org.bamboorelay.core.process.LeaseState;
import org.bamboorelay.core.process.WeightSwaps;
import org.bamboorelay.core.request.ItemOrder;
import org.bamboorelay.core.store.StoreFailure;
import org.bamboorelay.core.store.StoredObject;
import org.bamboorelay.core.store.WatchedStore;
import org.bamboorelay.core.time.Clock;
import org.bamboorelay.core.time.SuspendAwareClock;
import org.bamboorelay.core.version.CoreJson;
import org.bamboorelay.core.version.RoutingTable;
import org.bamboorelay.host.connection.CallerProtocol;
import org.bamboorelay.host.connection.EndpointProtocol;
import org.bamboorelay.host.connection.HostMesh;
import org.bamboorelay.host.connection.PlatformCalls;
import org.bamboorelay.host.request.CallerWatch;
import org.bamboorelay.host.request.EndpointCaller;
import org.bamboorelay.host.request.FrontHandler;
import org.bamboorelay.host.request.ItemRunner;
import org.bamboorelay.host.request.StreamRelay;
import org.bamboorelay.host.request.SubmissionDirectory;
import org.bamboorelay.host.request.SubmissionRoutes;
import org.bamboorelay.host.request.SubmissionRunner;
import org.bamboorelay.host.version.DirectoryFormat;
import org.bamboorelay.host.version.KindWatch;
import org.bamboorelay.host.version.RelayedStore;
import org.bamboorelay.host.version.SubmissionStore;
import org.bamboorelay.runtime.connection.HttpConnectionPool;
import org.bamboorelay.runtime.connection.HttpListener;
import org.bamboorelay.runtime.process.Counters;
import org.bamboorelay.runtime.request.JsonFailure;
import org.jspecify.annotations.Nullable;

/**
 * The one process of a host: serves callers, runs submissions, and takes its turn at the
 * duties.
 * <p>
 * Thread-safe.
 */
public final class HostProcess {

	private static final String HOSTS = "hosts";

	/** Interval of statuses between hosts, in milliseconds. */
	private static final long BEAT_MILLIS = 300;

	/** How often hosts that are gone are looked for, in milliseconds. */
	private static final long TAKEOVER_MILLIS = 300;

	/**
	 * How often the records of running submissions are read, in milliseconds: changes
	 * that no watch told of are found well within the 3 s in which an end must be obeyed.
	 */
	private static final long CONFIRM_MILLIS = 1_000;

	/** How often a holder renews its lease, as a share of the lease. */
	private static final int RENEWALS_PER_LEASE = 3;

	/** Wait beyond the lease before another host takes over, in milliseconds. */
	private static final long TAKEOVER_MARGIN_MILLIS = 700;

	/**
	 * The longest wait for results to be listed before a host leaves, in milliseconds.
	 */
	private static final long LEAVE_MILLIS = 1_000;

	/** Share of the time until the kill signal that running requests may use. */
	private static final double DRAIN_SHARE = 0.8;

	/** Quiet time after which a leaving front closes, in milliseconds. */
	private static final long QUIET_MILLIS = 500;

	private final HostSettings settings;

	private final RelayedStore store;

	private final DirectoryFormat format;

	private final EventLog log = new EventLog();

	private final Counters counters = Counters.create();

	private final Clock clock = SuspendAwareClock.of(Clock.monotonic(), Clock.wall());

	private final ExecutorService threads = Executors.newCachedThreadPool((task) -> {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		return thread;
	});

	private final AtomicReference<@Nullable RoutingTable> routing = new AtomicReference<>();

	private final EndpointTable table = EndpointTable.create(this.clock);

	private final WeightSwaps swaps = WeightSwaps.of(this.clock);

	private final Set<String> closedDomains = ConcurrentHashMap.newKeySet();

	private final List<HttpListener> listeners = new CopyOnWriteArrayList<>();

	private final Map<String, KindWatch> watches = new ConcurrentHashMap<>();

	private final List<KindWatch> required = new ArrayList<>();

	private final HostMesh mesh;

	private final LeaseState lease;

	private final AtomicLong lastHeld;

	private final UsageMeter usage;

	private final SubmissionRunner runner;

	private final SubmissionDirectory directory;

	private final CallerWatch callerWatch = new CallerWatch(this.log);

	private final FrontHandler front;

	private final DutyLoop duties;

	private final String incarnation;

	private @Nullable HttpListener frontListener;

	private volatile boolean leaving;

	private volatile boolean cutOff;

	private final DomainIsolation isolation = DomainIsolation.of(this.clock);

	private volatile boolean stopped;

	private final AtomicBoolean confirming = new AtomicBoolean();

	private long nextTakeover;

	private long nextBeat;

	private long nextConfirm;

	/**
	 * Creates a process that does nothing yet.
	 * @param settings the settings
	 * @param store the platform's store
	 * @param pool the connections to endpoints
	 * @param format how the platform's objects are read
	 * @param callers how callers write requests
	 * @param endpoints how requests to endpoints are written
	 * @param calls the calls of duties
	 */
	public HostProcess(HostSettings settings, WatchedStore store, HttpConnectionPool pool, DirectoryFormat format,
			CallerProtocol callers, EndpointProtocol endpoints, PlatformCalls calls) {
		this.settings = Objects.requireNonNull(settings, "settings");
		this.format = Objects.requireNonNull(format, "format");
		this.incarnation = Long.toHexString(System.currentTimeMillis()) + "-"
				+ Integer.toHexString(ThreadLocalRandom.current().nextInt());
		this.mesh = HostMesh.of(settings.host(), settings.domain(), settings.processors(), this.incarnation, this.clock,
				this.threads, this.log);
		this.store = new RelayedStore(Objects.requireNonNull(store, "store"), this.mesh, this.clock, this.counters,
				this.log);
		this.usage = new UsageMeter(this.incarnation, settings.usageWindowMillis());
		AtomicLong lastHeld = new AtomicLong(this.clock.millis());
		long length = settings.leaseMillis() * 2 / 3;
		LeaseState.Terms terms = new LeaseState.Terms(length, length / RENEWALS_PER_LEASE,
				length + TAKEOVER_MARGIN_MILLIS, length / RENEWALS_PER_LEASE);
		// Two holders must not alternate, so a host that held the lease, maybe before a
		// restart, waits before it contends again. A host that hears the holder does not
		// contend.
		this.lease = LeaseState
			.of(DutyLoop.LEASE_KEY, settings.host() + "/" + this.incarnation, this.clock, () -> terms,
					() -> ThreadLocalRandom.current().nextDouble())
			.succeeding(settings.host() + "/")
			.where(() -> this.clock.millis() - lastHeld.get() > settings.leaseMillis() && this.mesh.dutyHolder() == null
					&& this.mesh.mayHoldDuties());
		this.lastHeld = lastHeld;
		EndpointCaller caller = EndpointCaller.of(this.table, endpoints, pool, this.clock, this.counters, this.log);
		ItemRunner items = new ItemRunner(this.table, endpoints, pool, caller, this.routing::get, this.clock,
				this.counters, this.log);
		SubmissionStore submissions = SubmissionStore.of(this.store);
		this.runner = new SubmissionRunner(settings.host(), submissions, this.table, items, this.routing::get,
				ItemOrder.LONGEST_WANTED_FIRST, this.mesh, this.threads, this.log);
		this.directory = new SubmissionDirectory(settings.host(), submissions, this.runner, this.mesh, this.log);
		SubmissionRoutes routes = new SubmissionRoutes(settings.host(), callers, submissions, this.directory,
				this.runner, this.log);
		StreamRelay streams = new StreamRelay(this.table, endpoints, pool, this.usage, this.clock, this.log);
		this.front = new FrontHandler(this.routing::get, callers, caller, streams, routes, this.callerWatch, this.usage,
				this.clock, this.counters, this.log);
		this.duties = new DutyLoop(settings, this.lease, this.store, calls, this.table, this.swaps, this.usage,
				this.runner::demand, this.threads, this.counters, this.log);
	}

	/**
	 * Starts to serve.
	 * @throws IOException where an address cannot be bound
	 */
	public void start() throws IOException {
		this.log.info("process-starting", "host", this.settings.host(), "domain", this.settings.domain(), "incarnation",
				this.incarnation);
		this.mesh.onStatus((host, status) -> {
			this.table.peerLoad(host, status.running());
			this.table.leaving(status.leavingEndpoints());
			this.usage.merge(status.usage());
			this.duties.demand(host, status.demand());
			if (status.holdsDuties()) {
				this.lease.heard(status.leaseVersion());
				this.table.loading(Set.copyOf(status.loading()));
				this.table.assigned(status.assigned());
			}
		});
		this.mesh.register(PeerMessage.ResultsRead.class, this.directory::answer);
		this.mesh.register(PeerMessage.TextCopy.class, this.runner::onCopy);
		this.mesh.register(PeerMessage.TextFetch.class, this.runner::onFetch);
		this.mesh.onChanges((message) -> {
			KindWatch watch = this.watches.get(message.kind());
			if (watch != null) {
				watch.onChanges(message);
			}
		});
		this.mesh.open(this.settings.peerAddress());
		watch(this.format.routingKind(), false, true, this::routing, (name) -> {
		});
		watch(this.format.endpointKind(), true, true, this::endpoint, this.table::remove);
		watch(this.format.weightKind(), false, false, this::weights, (name) -> {
		});
		watch(this.format.closedDomainKind(), false, true, (name, object) -> {
			this.closedDomains.add(name);
			this.table.closedDomains(this.closedDomains);
			this.log.info("domain-closed", "domain", name);
		}, (name) -> {
			this.closedDomains.remove(name);
			this.table.closedDomains(this.closedDomains);
			this.log.info("domain-opened", "domain", name);
		});
		watch(this.format.retirementKind(), false, false, this::retire, (name) -> {
		});
		watch(HOSTS, false, false, this::host, this.mesh::remove);
		KindWatch submissions = KindWatch.of(this.store, SubmissionStore.RECORDS, false, true, this.directory,
				this.mesh::isStoreReader, this.mesh::publish, this.log);
		this.watches.put(SubmissionStore.RECORDS, submissions);
		this.required.add(submissions);
		this.threads.execute(submissions);
		this.threads.execute(this::register);
		this.threads.execute(this::beatLoop);
		this.threads.execute(this.runner::loop);
		this.threads.execute(this.duties);
		this.frontListener = listen(this.settings.frontAddress(), this.front);
		listen(this.settings.readyAddress(), this::answerReady);
		listen(this.settings.metricsAddress(),
				(request, responder) -> responder.send(200, "text/plain", this.counters.text()));
	}

	/**
	 * Tells whether callers may be sent here.
	 * @return whether all that serving needs was read once, the process does not leave,
	 * and its failure domain is not cut off from the store and all others, which serve
	 * callers better then
	 */
	public boolean isReady() {
		return !this.leaving && !this.cutOff && this.routing.get() != null
				&& this.required.stream().allMatch((watch) -> watch.listed().getCount() == 0);
	}

	/**
	 * Notes that the settings file changed. Addresses and names do not change while a
	 * process runs, so nothing else is to be done.
	 */
	public void reload() {
		this.log.info("settings-reloaded", "host", this.settings.host());
	}

	/**
	 * Leaves without cutting a request: callers are turned away first, running requests
	 * end, duties are given back.
	 */
	public void leave() {
		if (this.leaving) {
			return;
		}
		this.leaving = true;
		this.log.info("process-leaving", "running", runningRequests(), "submissions", this.runner.running().size());
		try {
			HttpListener listener = this.frontListener;
			if (listener != null) {
				listener.startLeaving();
			}
			this.duties.leave(this.settings.graceMillis() / 8);
			this.runner.leave(LEAVE_MILLIS);
			this.directory.handOver();
			this.runner.close();
			if (listener != null) {
				long limit = (long) (this.settings.graceMillis() * DRAIN_SHARE) - LEAVE_MILLIS;
				listener.drain(QUIET_MILLIS, Math.max(QUIET_MILLIS, limit));
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		this.stopped = true;
		this.log.info("process-stopped", "running", runningRequests());
	}

	/**
	 * Closes all listeners at once.
	 */
	public void close() {
		this.stopped = true;
		this.leaving = true;
		this.duties.leave(0);
		this.runner.close();
		this.mesh.close();
		this.listeners.forEach(HttpListener::close);
		this.watches.values().forEach(KindWatch::close);
		this.threads.shutdownNow();
	}

	/**
	 * Counts the endpoints of a service that may get requests now.
	 * @param service the service
	 * @return the number of endpoints
	 */
	public int endpoints(String service) {
		return this.table.open(EndpointDemand.plain(service, Set.of()));
	}

	/**
	 * Tells whether an endpoint is known at an address.
	 * @param address {@code ip:port}
	 * @return whether a request could go there
	 */
	public boolean isEndpointAt(String address) {
		return this.table.isAt(address);
	}

	private int runningRequests() {
		HttpListener listener = this.frontListener;
		return (listener != null) ? listener.running() : 0;
	}

	private HttpListener listen(String address, HttpListener.HttpHandler handler) throws IOException {
		int colon = address.lastIndexOf(':');
		HttpListener listener = HttpListener.open(address.substring(0, colon),
				Integer.parseInt(address.substring(colon + 1)), handler,
				(error) -> this.counters.counter("broken_connections_total").inc());
		this.listeners.add(listener);
		return listener;
	}

	private void answerReady(ClassicHttpRequest request, HttpListener.Responder responder)
			throws HttpException, IOException {
		boolean ready = isReady();
		responder.send(ready ? 200 : 503, "text/plain", ready ? "ready" : "not ready");
	}

	private void watch(String kind, boolean keepsLapsed, boolean isRequired, Changed changed, Removed removed) {
		KindWatch watch = KindWatch.of(this.store, kind, keepsLapsed, isRequired, new KindWatch.Listener() {

			@Override
			public void changed(String name, StoredObject object) {
				changed.changed(name, object);
			}

			@Override
			public void removed(String name) {
				removed.removed(name);
			}

		}, this.mesh::isStoreReader, this.mesh::publish, this.log);
		this.watches.put(kind, watch);
		if (isRequired) {
			this.required.add(watch);
		}
		this.threads.execute(watch);
	}

	private void routing(String name, StoredObject object) {
		Either<JsonFailure, RoutingTable> read = this.format.routing(object.body());
		if (read.isLeft()) {
			this.log.warn("configuration-unreadable", "name", name, "revision", object.version(), "detail",
					read.getLeft().detail());
			return;
		}
		RoutingTable next = read.get();
		RoutingTable present = this.routing.get();
		if (present != null && next.version() < present.version()) {
			this.log.warn("configuration-older", "version", next.version(), "in_force", present.version());
			return;
		}
		this.table.services(next.services());
		this.routing.set(next);
		this.log.info("configuration-in-force", "version", next.version(), "revision", object.version());
	}

	private void endpoint(String name, StoredObject object) {
		Either<JsonFailure, EndpointEntry> read = this.format.endpoint(name, object.body());
		if (read.isLeft()) {
			this.log.info("endpoint-unusable", "endpoint", name, "detail", read.getLeft().detail());
			return;
		}
		this.table.put(read.get());
		this.log.info("endpoint-learned", "endpoint", name, "service", read.get().service(), "leaving",
				read.get().leaving(), "cold_ms", read.get().coldMillis(), "versions", read.get().versions());
	}

	private void weights(String name, StoredObject object) {
		Either<JsonFailure, DirectoryFormat.NamedWeights> read = this.format.weights(object.body());
		if (read.isLeft()) {
			this.log.warn("weights-unreadable", "name", name, "detail", read.getLeft().detail());
			return;
		}
		this.swaps.target(read.get().model(), read.get().version());
		this.log.info("weights-named", "model", read.get().model(), "version", read.get().version());
	}

	// Disk hosts keep nothing that must last, so they are empty at once.
	private void retire(String name, StoredObject object) {
		if (!this.lease.isLastHolder() && this.mesh.dutyHolder() != null) {
			return;
		}
		this.threads.execute(() -> {
			Either<StoreFailure, Long> written = this.store.writeStatus(object.key(), this.format.emptiedStatus());
			this.log.info("disk-host-retired", "name", name, "outcome",
					written.isRight() ? "ok" : written.getLeft().code());
		});
	}

	private void host(String name, StoredObject object) {
		Option<HostRecord> read = CoreJson.read(object.body(), HostRecord.class);
		read.forEach((record) -> this.mesh.put(name, record.address(), record.domain(), record.processors()));
	}

	// Makes this host known to the others; a host that comes back has its old name, and
	// maybe another address.
	private void register() {
		String key = HOSTS + "/" + this.settings.host();
		byte[] body = CoreJson
			.bytes(new HostRecord(this.settings.peerAddress(), this.settings.domain(), this.settings.processors()));
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
			pause(BEAT_MILLIS);
		}
	}

	private void beatLoop() {
		while (!this.stopped) {
			Steps.run(this.log, "beats", this::beat);
		}
	}

	private void beat() {
		long now = this.clock.millis();
		if (this.lease.isHeld()) {
			this.lastHeld.set(now);
			this.table.loading(this.swaps.loading());
			this.table.assigned(this.swaps.assigned());
		}
		if (now >= this.nextBeat) {
			this.nextBeat = now + BEAT_MILLIS;
			this.mesh.beat(this::status);
			this.table.hosts(this.mesh.liveHosts().size());
		}
		if (now >= this.nextTakeover) {
			this.nextTakeover = now + TAKEOVER_MILLIS;
			checkCut();
			if (isReady() && this.store.isReached() && this.isolation.mayTakeOver()) {
				this.directory.takeOver();
			}
		}
		if (now >= this.nextConfirm) {
			this.nextConfirm = now + CONFIRM_MILLIS;
			confirmRunning();
		}
		this.callerWatch.tick();
		pause(CallerWatch.TICK_MILLIS);
	}

	private void checkCut() {
		boolean alone = this.mesh.isDomainAlone();
		if (alone && this.store.isReached()) {
			// Watches may be silent for a while, so the store is asked.
			this.threads.execute(() -> this.store.read(DutyLoop.LEASE_KEY));
		}
		this.isolation.observe(alone);
		if (alone) {
			this.runner.suspend(true);
		}
		else if (this.isolation.isDoubtful()) {
			// Submissions may have been ended while this domain was alone.
			confirmRunning();
		}
		boolean cut = alone && !this.store.isReached();
		if (cut != this.cutOff) {
			this.cutOff = cut;
			this.log.warn(cut ? "domain-cut-off" : "domain-rejoined", "domain", this.settings.domain());
		}
	}

	private void confirmRunning() {
		if (!this.confirming.compareAndSet(false, true)) {
			return;
		}
		this.threads.execute(() -> {
			try {
				boolean wasAlone = this.mesh.isDomainAlone();
				if (this.directory.confirmRunning()) {
					this.isolation.confirmed(wasAlone);
					this.runner.suspend(this.isolation.isDoubtful());
				}
			}
			finally {
				this.confirming.set(false);
			}
		});
	}

	private PeerMessage.HostStatus status() {
		Map<Long, Map<String, Map<String, Long>>> figures = new HashMap<>(
				this.usage.shared(System.currentTimeMillis()));
		return new PeerMessage.HostStatus(this.leaving, this.lease.isHeld(), this.lease.heldVersion(),
				this.store.isReached(), this.runner.demand(), List.copyOf(this.swaps.loading()),
				this.lease.isHeld() ? this.swaps.assigned() : Map.of(), new HashMap<>(this.table.ownLoad()),
				this.table.leaving(), figures);
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
	private interface Changed {

		void changed(String name, StoredObject object);

	}

	@FunctionalInterface
	private interface Removed {

		void removed(String name);

	}

	/**
	 * How a host makes itself known to the others.
	 *
	 * @param address {@code ip:port} where peers connect
	 * @param domain its failure domain
	 * @param processors its processor, in cores
	 */
	record HostRecord(String address, String domain, double processors) {
	}

}
