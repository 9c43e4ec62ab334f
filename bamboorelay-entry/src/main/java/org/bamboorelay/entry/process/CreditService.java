package org.bamboorelay.entry.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import com.codahale.metrics.Counter;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.core.failure.Refusal;
import org.bamboorelay.core.failure.RefusalReason;
import org.bamboorelay.core.time.Clock;
import org.bamboorelay.core.version.Configuration;
import org.bamboorelay.core.version.ConfigurationSource;
import org.bamboorelay.core.version.EndpointId;
import org.bamboorelay.core.version.FailureDomain;
import org.bamboorelay.core.version.HostId;
import org.bamboorelay.core.version.ServiceId;
import org.bamboorelay.core.version.WeightVersion;
import org.bamboorelay.entry.connection.PeerMesh;
import org.bamboorelay.entry.request.Credit;
import org.bamboorelay.entry.request.CreditSource;
import org.bamboorelay.entry.request.RouteRequest;
import org.bamboorelay.runtime.connection.HttpConnectionPool;
import org.bamboorelay.runtime.connection.HttpExchange;
import org.bamboorelay.runtime.connection.HttpFailure;
import org.bamboorelay.runtime.connection.PeerFailure;
import org.bamboorelay.runtime.process.Counters;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Admission control and routing of an entry host. Each endpoint has one owner, a host
 * that grants credits up to the endpoint's concurrency limit. This service grants the
 * credits of the endpoints that this host owns, and obtains credits from other owners for
 * its own callers. See section 5 of the design document.
 * <p>
 * Thread-safe. State is kept in one shard per service, each with its own lock.
 */
public final class CreditService implements CreditSource, AutoCloseable {

	private static final Logger log = LoggerFactory.getLogger(CreditService.class);

	private static final long TICK_INTERVAL_MILLIS = 50;

	/** Interval of load polls and credit renewals, in milliseconds. */
	private static final long MAINTENANCE_INTERVAL_MILLIS = 1_000;

	private static final int POLL_TIMEOUT_MILLIS = 1_000;

	private static final int MAX_REPORT_BYTES = 65_536;

	/** Timeout of calls that renew, adopt or return credits, in milliseconds. */
	private static final long CREDIT_CALL_TIMEOUT_MILLIS = 800;

	/** Maximum number of credits in a message, which keeps its frame below 100 KB. */
	private static final int MAX_CREDITS_PER_MESSAGE = 1_000;

	private final PeerMesh mesh;

	private final ConfigurationSource configuration;

	private final HttpConnectionPool pool;

	private final Counters counters;

	private final Clock clock;

	private final RandomGenerator random;

	private final ExecutorService executor;

	private final EndpointDirectory directory = new EndpointDirectory();

	private final Map<ServiceId, CreditShard> shards = new ConcurrentHashMap<>();

	private final List<CreditShard> shardsByIndex = new CopyOnWriteArrayList<>();

	private final Map<HostId, List<PeerMessage.ReturnedCredit>> pendingReturns = new HashMap<>();

	/** Keys of running background tasks; guarded by its own monitor. */
	private final Set<Object> inFlight = new HashSet<>();

	private final Counter expiredCredits;

	private final Counter adopted;

	private final Counter failedPolls;

	private volatile Set<HostId> liveHosts = Set.of();

	private @Nullable ScheduledExecutorService scheduler;

	private CreditService(Builder builder) {
		this.mesh = Objects.requireNonNull(builder.mesh, "mesh");
		this.configuration = Objects.requireNonNull(builder.configuration, "configuration");
		this.pool = Objects.requireNonNull(builder.pool, "pool");
		this.counters = Objects.requireNonNull(builder.counters, "counters");
		this.clock = Objects.requireNonNull(builder.clock, "clock");
		this.random = Objects.requireNonNull(builder.random, "random");
		this.executor = Objects.requireNonNull(builder.executor, "executor");
		this.expiredCredits = this.counters.counter("credits_lapsed_total");
		this.adopted = this.counters.counter("credits_adopted_total");
		this.failedPolls = this.counters.counter("load_polls_failed_total");
	}

	/**
	 * Creates a builder.
	 * @return an empty builder
	 */
	public static Builder builder() {
		return new Builder();
	}

	@Override
	public Either<Refusal, Credit> acquire(RouteRequest request) {
		Option<Configuration> current = this.configuration.current();
		if (current.isEmpty()) {
			return Either.left(Refusal.notExecuted(RefusalReason.NOT_READY, "this host has no configuration yet"));
		}
		if (current.get().inventory().service(request.service()).isEmpty()) {
			return Either.left(Refusal.notExecuted(RefusalReason.NO_SUCH_ROUTE, "no service " + request.service()));
		}
		CreditShard shard = this.shards.get(request.service());
		if (shard == null) {
			refresh();
			shard = shard(request.service());
		}
		return shard.acquire(request, current.get());
	}

	/**
	 * Returns the number of free credits of the endpoints that this host owns, for
	 * heartbeats.
	 * @return a digest for each service with endpoints that accept requests
	 */
	public List<PeerMessage.CapacityDigest> digests() {
		return this.shardsByIndex.stream().flatMap((shard) -> shard.digest().toJavaStream()).toList();
	}

	/**
	 * Applies the digests of another host's heartbeat.
	 * @param host the host
	 * @param digests its digests
	 */
	public void applyDigests(HostId host, List<PeerMessage.CapacityDigest> digests) {
		Map<ServiceId, PeerMessage.CapacityDigest> byService = new HashMap<>();
		digests.forEach((digest) -> byService.put(digest.service(), digest));
		this.shardsByIndex.forEach((shard) -> shard.applyDigest(host, Option.of(byService.get(shard.service()))));
	}

	/**
	 * Returns the status of all endpoints as seen by this host.
	 * @return the status, for operators
	 */
	public List<EndpointStatus> status() {
		return this.shardsByIndex.stream().flatMap((shard) -> shard.status().stream()).toList();
	}

	/**
	 * Applies a change of the live hosts immediately, rather than at the next tick.
	 */
	public void membershipChanged() {
		Set<HostId> live = Set.copyOf(this.mesh.live());
		if (!live.equals(this.liveHosts)) {
			refresh();
		}
	}

	/**
	 * Starts the periodic tasks: expiry, renewals and load polls.
	 */
	public synchronized void start() {
		if (this.scheduler != null) {
			throw new IllegalStateException("the credit service is already started");
		}
		this.scheduler = Executors.newSingleThreadScheduledExecutor((task) -> {
			Thread thread = new Thread(task, "credit-ticks");
			thread.setDaemon(true);
			return thread;
		});
		this.scheduler.scheduleAtFixedRate(guarded(this::tick), TICK_INTERVAL_MILLIS, TICK_INTERVAL_MILLIS,
				TimeUnit.MILLISECONDS);
		this.scheduler.scheduleAtFixedRate(guarded(this::keepAlive), MAINTENANCE_INTERVAL_MILLIS,
				MAINTENANCE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
		this.scheduler.scheduleAtFixedRate(guarded(this::pollLoads), 0, MAINTENANCE_INTERVAL_MILLIS,
				TimeUnit.MILLISECONDS);
	}

	@Override
	public synchronized void close() {
		if (this.scheduler != null) {
			this.scheduler.shutdownNow();
		}
	}

	int waiting(ServiceId service) {
		return shard(service).waiting();
	}

	/** Expires credits and waiting requests, and applies changes of the membership. */
	void tick() {
		membershipChanged();
		this.shardsByIndex.forEach((shard) -> this.expiredCredits.inc(shard.tick()));
	}

	/**
	 * Renews held credits, and registers those whose endpoint has a new owner with that
	 * owner.
	 */
	void keepAlive() {
		Map<HostId, List<CreditShard.KeepAlive>> renewals = new HashMap<>();
		Map<HostId, List<CreditShard.KeepAlive>> adoptions = new HashMap<>();
		this.shardsByIndex.forEach((shard) -> shard.collectKeepAlives(renewals, adoptions));
		Set<HostId> owners = new HashSet<>(renewals.keySet());
		owners.addAll(adoptions.keySet());
		for (HostId owner : owners) {
			List<CreditShard.KeepAlive> toRenew = renewals.getOrDefault(owner, List.of());
			List<CreditShard.KeepAlive> toAdopt = adoptions.getOrDefault(owner, List.of());
			if (owner.equals(this.mesh.self())) {
				keepAlive(owner, toRenew, toAdopt);
			}
			else {
				runInBackground("keep-alive " + owner, () -> keepAlive(owner, toRenew, toAdopt));
			}
		}
	}

	/** Polls the load reports of the endpoints that this host owns. */
	void pollLoads() {
		this.shardsByIndex.forEach((shard) -> shard.ownedAddresses()
			.forEach((endpoint, address) -> runInBackground(endpoint, () -> poll(shard, endpoint, address))));
	}

	private void registerHandlers() {
		this.mesh.register(PeerMessage.EndpointSet.class, this::accept);
		this.mesh.register(PeerMessage.EndpointSetOffer.class, this::accept);
		this.mesh.register(PeerMessage.CreditRequest.class, this::onCreditRequest);
		this.mesh.register(PeerMessage.CreditReturn.class, this::onCreditReturn);
		this.mesh.register(PeerMessage.CreditRenew.class, this::onCreditRenew);
		this.mesh.register(PeerMessage.CreditAdopt.class, this::onCreditAdopt);
		this.configuration.onChange((unused) -> refresh());
		refresh();
	}

	/**
	 * Applies the endpoint set of a failure domain. Registered as the handler of the
	 * message; public for a process that handles the message itself as well.
	 * @param set the endpoint set
	 * @return the reply to the sender
	 */
	public PeerMessage accept(PeerMessage.EndpointSet set) {
		if (!this.directory.accept(set)) {
			return new PeerMessage.Rejected("old-sequence", "endpoint set sequence " + set.sequence() + " of "
					+ set.domain() + " is not above the current one");
		}
		refresh();
		return new PeerMessage.Ack(true);
	}

	/**
	 * Applies a notification that the endpoint set of a failure domain is unchanged.
	 * @param offer the hash of the endpoint set
	 * @return the reply to the sender
	 */
	public PeerMessage accept(PeerMessage.EndpointSetOffer offer) {
		return this.directory.accept(offer);
	}

	/**
	 * Returns the latest weight version of each line, as reported by control processes.
	 * @return the versions
	 */
	public List<WeightVersion> weightHeads() {
		return this.directory.weightHeads();
	}

	private PeerMessage onCreditRequest(PeerMessage.CreditRequest request) {
		CreditShard shard = this.shards.get(request.service());
		return (shard != null) ? shard.grantTo(request)
				: new PeerMessage.CreditRefusal("not-owner", MAINTENANCE_INTERVAL_MILLIS);
	}

	private PeerMessage onCreditReturn(PeerMessage.CreditReturn message) {
		for (PeerMessage.ReturnedCredit returned : message.credits()) {
			CreditShard shard = shardOf(returned.credit());
			if (shard != null) {
				shard.acceptReturn(returned);
			}
		}
		return new PeerMessage.Ack(true);
	}

	private PeerMessage onCreditRenew(PeerMessage.CreditRenew message) {
		List<Long> unknown = new ArrayList<>();
		for (Long credit : message.credits()) {
			CreditShard shard = shardOf(credit);
			if (shard == null || !shard.renew(credit)) {
				unknown.add(credit);
			}
		}
		return new PeerMessage.CreditsUnknown(unknown);
	}

	private PeerMessage onCreditAdopt(PeerMessage.CreditAdopt message) {
		return new PeerMessage.CreditsAdopted(message.endpoints().stream().map(this::adopt).toList());
	}

	private long adopt(EndpointId endpoint) {
		for (CreditShard shard : this.shardsByIndex) {
			if (shard.hasEndpoint(endpoint)) {
				long credit = shard.adopt(endpoint).getOrElse(0L);
				this.adopted.inc((credit != 0) ? 1 : 0);
				return credit;
			}
		}
		return 0;
	}

	private void keepAlive(HostId owner, List<CreditShard.KeepAlive> renewals, List<CreditShard.KeepAlive> adoptions) {
		List<CreditShard.KeepAlive> toAdopt = new ArrayList<>(adoptions);
		for (List<CreditShard.KeepAlive> batch : batches(renewals)) {
			PeerMessage message = new PeerMessage.CreditRenew(batch.stream().map(CreditShard.KeepAlive::id).toList());
			if (call(owner, message) instanceof PeerMessage.CreditsUnknown unknown) {
				Set<Long> ids = new HashSet<>(unknown.credits());
				batch.stream()
					.filter((keepAlive) -> keepAlive.adoptable() && ids.contains(keepAlive.id()))
					.forEach(toAdopt::add);
			}
		}
		// Requests may have ended since their credits were collected.
		toAdopt.removeIf((keepAlive) -> !keepAlive.isHeld());
		for (List<CreditShard.KeepAlive> batch : batches(toAdopt)) {
			PeerMessage message = new PeerMessage.CreditAdopt(
					batch.stream().map((keepAlive) -> keepAlive.credit().endpoint()).toList());
			if (call(owner, message) instanceof PeerMessage.CreditsAdopted answer
					&& answer.credits().size() == batch.size()) {
				for (int i = 0; i < batch.size(); i++) {
					long id = answer.credits().get(i);
					if (id != 0) {
						batch.get(i).shard().adopted(batch.get(i).credit(), owner, id);
					}
				}
			}
		}
	}

	private @Nullable PeerMessage call(HostId host, PeerMessage message) {
		if (host.equals(this.mesh.self())) {
			return (message instanceof PeerMessage.CreditRenew renew) ? onCreditRenew(renew)
					: onCreditAdopt((PeerMessage.CreditAdopt) message);
		}
		Either<PeerFailure, PeerMessage> answer = this.mesh.call(host, message, CREDIT_CALL_TIMEOUT_MILLIS);
		return answer.getOrNull();
	}

	private void poll(CreditShard shard, EndpointId endpoint, String address) {
		Either<HttpFailure, HttpExchange> result = this.pool.execute(address,
				new BasicClassicHttpRequest("GET", "/load"), true, POLL_TIMEOUT_MILLIS);
		Option<LoadReport> report = Option.none();
		if (result.isRight()) {
			try (HttpExchange exchange = result.get()) {
				Option<byte[]> body = exchange.readFully(MAX_REPORT_BYTES).toOption();
				if (exchange.response().getCode() == HttpStatus.SC_OK) {
					report = body.flatMap((bytes) -> LoadReport.parse(bytes).toOption());
				}
			}
		}
		if (report.isDefined()) {
			shard.reported(endpoint, report.get());
		}
		else {
			this.failedPolls.inc();
			shard.pollFailed(endpoint);
		}
	}

	private void enqueueReturn(HostId owner, PeerMessage.ReturnedCredit returned) {
		synchronized (this.pendingReturns) {
			this.pendingReturns.computeIfAbsent(owner, (unused) -> new ArrayList<>()).add(returned);
		}
		runInBackground("returns " + owner, () -> sendReturns(owner));
	}

	private void sendReturns(HostId owner) {
		while (true) {
			List<PeerMessage.ReturnedCredit> batch;
			synchronized (this.pendingReturns) {
				batch = this.pendingReturns.remove(owner);
				if (batch == null) {
					// Under the same lock as additions, so that no return is left
					// without a task.
					onTaskFinished("returns " + owner);
					return;
				}
			}
			for (List<PeerMessage.ReturnedCredit> part : batches(batch)) {
				// A lost return is not retried, as the credit expires.
				this.mesh.call(owner, new PeerMessage.CreditReturn(part), CREDIT_CALL_TIMEOUT_MILLIS);
			}
		}
	}

	private void runInBackground(Object key, Runnable task) {
		synchronized (this.inFlight) {
			if (!this.inFlight.add(key)) {
				return;
			}
		}
		try {
			this.executor.execute(() -> {
				try {
					task.run();
				}
				catch (RuntimeException ex) {
					log.atWarn().addKeyValue("task", key).setCause(ex).log("credit-task-failed");
				}
				finally {
					onTaskFinished(key);
				}
			});
		}
		catch (RejectedExecutionException ex) {
			onTaskFinished(key);
		}
	}

	private void onTaskFinished(Object key) {
		synchronized (this.inFlight) {
			this.inFlight.remove(key);
		}
	}

	private synchronized void refresh() {
		Set<HostId> live = Set.copyOf(this.mesh.live());
		this.liveHosts = live;
		Option<Configuration> current = this.configuration.current();
		if (current.isEmpty()) {
			return;
		}
		Map<FailureDomain, List<HostId>> hosts = new HashMap<>();
		live.forEach((host) -> hosts.computeIfAbsent(this.mesh.domain(host), (unused) -> new ArrayList<>()).add(host));
		Map<ServiceId, List<PeerMessage.EndpointInfo>> endpoints = this.directory.byService();
		current.get().inventory().services().forEach((entry) -> shard(entry.name()));
		endpoints.keySet().forEach(this::shard);
		this.shardsByIndex.forEach(
				(shard) -> shard.refresh(current.get(), endpoints.getOrDefault(shard.service(), List.of()), hosts));
	}

	private CreditShard shard(ServiceId service) {
		CreditShard known = this.shards.get(service);
		return (known != null) ? known : addShard(service);
	}

	private synchronized CreditShard addShard(ServiceId service) {
		return this.shards.computeIfAbsent(service, (unused) -> {
			CreditIdGenerator ids = new CreditIdGenerator(this.shardsByIndex.size(), this.random.nextLong());
			CreditShard shard = new CreditShard(service, this.mesh, this.clock, this.random, ids, this::enqueueReturn);
			this.counters.gauge("queued_requests{service=\"" + service + "\"}", shard::waiting);
			this.shardsByIndex.add(shard);
			return shard;
		});
	}

	private @Nullable CreditShard shardOf(long credit) {
		int index = CreditIdGenerator.shard(credit);
		return (index < this.shardsByIndex.size()) ? this.shardsByIndex.get(index) : null;
	}

	private static <T> List<List<T>> batches(List<T> all) {
		List<List<T>> batches = new ArrayList<>();
		for (int from = 0; from < all.size(); from += MAX_CREDITS_PER_MESSAGE) {
			batches.add(all.subList(from, Math.min(all.size(), from + MAX_CREDITS_PER_MESSAGE)));
		}
		return batches;
	}

	private static Runnable guarded(Runnable task) {
		return () -> {
			try {
				task.run();
			}
			catch (RuntimeException ex) {
				// An exception would cancel all further runs of the periodic task.
				log.atWarn().setCause(ex).log("credit-tick-failed");
			}
		};
	}

	/**
	 * Builds a {@link CreditService}. All values are required.
	 * <p>
	 * Not thread-safe.
	 */
	public static final class Builder {

		private @Nullable PeerMesh mesh;

		private @Nullable ConfigurationSource configuration;

		private @Nullable HttpConnectionPool pool;

		private @Nullable Counters counters;

		private @Nullable Clock clock;

		private @Nullable RandomGenerator random;

		private @Nullable ExecutorService executor;

		private Builder() {
		}

		/**
		 * Sets the mesh that connects this host with the other hosts.
		 * @param value the mesh
		 * @return this builder
		 */
		public Builder mesh(PeerMesh value) {
			this.mesh = value;
			return this;
		}

		/**
		 * Sets the source of the configuration.
		 * @param value the source
		 * @return this builder
		 */
		public Builder configuration(ConfigurationSource value) {
			this.configuration = value;
			return this;
		}

		/**
		 * Sets the connection pool for load polls.
		 * @param value the pool
		 * @return this builder
		 */
		public Builder pool(HttpConnectionPool value) {
			this.pool = value;
			return this;
		}

		/**
		 * Sets the metrics registry.
		 * @param value the registry
		 * @return this builder
		 */
		public Builder counters(Counters value) {
			this.counters = value;
			return this;
		}

		/**
		 * Sets the clock.
		 * @param value a monotonic clock
		 * @return this builder
		 */
		public Builder clock(Clock value) {
			this.clock = value;
			return this;
		}

		/**
		 * Sets the random number generator.
		 * @param value a thread-safe generator, as the shards share it
		 * @return this builder
		 */
		public Builder random(RandomGenerator value) {
			this.random = value;
			return this;
		}

		/**
		 * Sets the executor of calls to other processes, which block its threads.
		 * @param value the executor; not shut down by the service
		 * @return this builder
		 */
		public Builder executor(ExecutorService value) {
			this.executor = value;
			return this;
		}

		/**
		 * Creates the service and registers it with the mesh and the configuration.
		 * Periodic tasks do not run before {@link CreditService#start}.
		 * @return the service
		 */
		public CreditService build() {
			CreditService service = new CreditService(this);
			service.registerHandlers();
			return service;
		}

	}

}
