package org.bamboorelay.entry.process;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.UUID;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.core.failure.Failure;
import org.bamboorelay.core.process.Membership;
import org.bamboorelay.core.request.RetryBudget;
import org.bamboorelay.core.time.Clock;
import org.bamboorelay.core.version.Configuration;
import org.bamboorelay.core.version.LiveConfiguration;
import org.bamboorelay.entry.connection.HttpEngineClient;
import org.bamboorelay.entry.connection.TcpPeerMesh;
import org.bamboorelay.entry.request.CallerRequestHandler;
import org.bamboorelay.entry.request.CallerRoute;
import org.bamboorelay.entry.request.CompletionRoute;
import org.bamboorelay.entry.request.CreditSource;
import org.bamboorelay.entry.request.IdempotencyRecords;
import org.bamboorelay.entry.request.PlainRoute;
import org.bamboorelay.entry.request.RunningStreams;
import org.bamboorelay.entry.version.ConfigurationLoader;
import org.bamboorelay.entry.version.EntrySettings;
import org.bamboorelay.runtime.connection.HttpConnectionPool;
import org.bamboorelay.runtime.connection.HttpListener;
import org.bamboorelay.runtime.connection.HttpObjectStore;
import org.bamboorelay.runtime.process.Counters;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A running entry process: its listeners, peer links, timers and routes.
 * <p>
 * Thread-safe.
 */
public final class EntryProcess implements AutoCloseable {

	private static final Logger LOG = LoggerFactory.getLogger(EntryProcess.class);

	private static final int STORE_TIMEOUT_MILLIS = 2_000;

	private static final long WITHDRAWAL_CHECK_INTERVAL_MILLIS = 250;

	private static final long MIN_STORE_RETRY_MILLIS = 250;

	/** Timeout of a read from an endpoint, in milliseconds. */
	private static final int READ_TIMEOUT_MILLIS = 30_000;

	private static final long MAX_STORE_RETRY_MILLIS = 4_000;

	private static final long DRAIN_IDLE_MILLIS = 300;

	/** Maximum wait for running requests during a graceful shutdown, in milliseconds. */
	private static final long DRAIN_TIMEOUT_MILLIS = 120_000;

	private static final long FINAL_USAGE_TIMEOUT_MILLIS = 2_500;

	private static final int TIMER_THREADS = 4;

	/** Number of retries that can accumulate for a burst of failures. */
	private static final int RETRY_BURST = 10;

	private final EntrySettings settings;

	private final EntryPlugins plugins;

	private final ExecutorService threads;

	private final ScheduledExecutorService timers;

	private final HttpConnectionPool pool = HttpConnectionPool.builder()
		.requestIdHeader(HttpEngineClient.REQUEST_ID_HEADER)
		.build();

	private final LiveConfiguration configuration;

	private final TcpPeerMesh mesh;

	private final UsageTable usage;

	private final ManagementRoute managementRoute;

	private final HttpListener listener;

	private final AtomicBoolean leaving = new AtomicBoolean();

	private EntryProcess(EntrySettings settings, EntryPlugins plugins, int readTimeoutMillis) throws IOException {
		this.settings = settings;
		this.plugins = plugins;
		Clock clock = Clock.monotonic();
		Counters counters = Counters.create();
		String incarnation = UUID.randomUUID().toString();
		this.threads = Executors.newCachedThreadPool(threadFactory("entry-"));
		this.timers = Executors.newScheduledThreadPool(TIMER_THREADS, threadFactory("timer-"));
		Membership membership = Membership.of(settings.host(), settings.failureDomain());
		this.configuration = LiveConfiguration.of(clock, (domains) -> {
			synchronized (membership) {
				return membership.hearsAll(domains);
			}
		});
		PeerMessage.Hello hello = PeerMessage.Hello.of(settings.deployment(), settings.host(), settings.failureDomain(),
				"entry", incarnation);
		this.mesh = TcpPeerMesh.of(hello, this.configuration, membership, clock, counters, this.threads);
		this.usage = UsageTable.of(incarnation);
		this.mesh.register(PeerMessage.UsagePull.class, this.usage::counters);
		HttpObjectStore store = HttpObjectStore.of(settings.objectApiAddress(), this.pool, STORE_TIMEOUT_MILLIS);
		HttpEngineClient engines = HttpEngineClient.of(this.pool, this.threads);
		EntryDependencies dependencies = new EntryDependencies(this.configuration, this.mesh, this.pool, engines, store,
				this.usage, counters, clock, this.threads, this.timers, incarnation);
		CreditSource credits = plugins.credits(dependencies);
		RetryBudget retryBudget = RetryBudget.of(RETRY_BURST);
		RunningStreams runningStreams = new RunningStreams();
		List<CallerRoute> routes = new ArrayList<>();
		routes.add(PlainRoute.of(this.configuration, credits, this.pool, readTimeoutMillis,
				IdempotencyRecords.of(store, counters), this.usage, retryBudget, counters));
		routes.add(CompletionRoute.of(this.configuration, credits, engines, runningStreams, this.usage, retryBudget,
				counters));
		routes.addAll(plugins.routes(dependencies, credits));
		AtomicLong runningRequests = new AtomicLong();
		this.managementRoute = ManagementRoute.of(this.configuration, this.mesh, counters, runningRequests::intValue,
				plugins::endpointStatus);
		CallerRequestHandler front = CallerRequestHandler.of(this.configuration, counters, settings.operatorToken(),
				this.managementRoute, routes);
		counters.gauge("running_requests", runningRequests::get);
		counters.gauge("config_version", () -> this.configuration.current().map(Configuration::version).getOrElse(0L));
		counters.gauge("view_age_ms", this.configuration::viewAgeMillis);
		this.configuration.onChange((changed) -> LOG.atInfo()
			.addKeyValue("event", "config.in-force")
			.addKeyValue("version", changed.version())
			.log("config.in-force"));
		this.mesh.open(ip(settings.peerAddress()), port(settings.peerAddress()), settings.peerAddresses());
		try {
			this.listener = HttpListener.open(ip(settings.httpAddress()), port(settings.httpAddress()),
					(request, responder) -> {
						runningRequests.incrementAndGet();
						try {
							front.handle(request, responder);
						}
						finally {
							runningRequests.decrementAndGet();
						}
					}, (failure) -> counters.counter("caller_connections_broken_total").inc());
		}
		catch (IOException ex) {
			this.mesh.close();
			this.timers.shutdownNow();
			this.threads.shutdownNow();
			throw ex;
		}
		scheduleRepeatedly(TcpPeerMesh.TICK_INTERVAL_MILLIS, this.mesh::tick);
		scheduleRepeatedly(WITHDRAWAL_CHECK_INTERVAL_MILLIS, runningStreams::abortWithdrawn);
		readStore(ConfigurationLoader.of(store), MIN_STORE_RETRY_MILLIS);
	}

	/**
	 * Starts a process.
	 * @param settings valid settings
	 * @param plugins admission control and additional routes
	 * @return the running process
	 * @throws IOException if an address cannot be bound
	 */
	public static EntryProcess start(EntrySettings settings, EntryPlugins plugins) throws IOException {
		return start(settings, plugins, READ_TIMEOUT_MILLIS);
	}

	static EntryProcess start(EntrySettings settings, EntryPlugins plugins, int readTimeoutMillis) throws IOException {
		Objects.requireNonNull(plugins, "plugins");
		EntryProcess process = new EntryProcess(settings, plugins, readTimeoutMillis);
		LOG.atInfo()
			.addKeyValue("event", "process.started")
			.addKeyValue("host", settings.host())
			.addKeyValue("domain", settings.failureDomain())
			.addKeyValue("http_port", process.httpPort())
			.addKeyValue("peer_port", process.peerPort())
			.log("process.started");
		return process;
	}

	/**
	 * Returns the port on which callers are accepted.
	 * @return the port
	 */
	public int httpPort() {
		return this.listener.port();
	}

	/**
	 * Returns the port on which peer links are accepted.
	 * @return the port
	 */
	public int peerPort() {
		return this.mesh.port();
	}

	/**
	 * Returns the configuration.
	 * @return the configuration and keys
	 */
	public LiveConfiguration configuration() {
		return this.configuration;
	}

	/**
	 * Returns the mesh.
	 * @return the links to the other entry hosts
	 */
	public TcpPeerMesh mesh() {
		return this.mesh;
	}

	/**
	 * Shuts down gracefully. Reports that this host is leaving, continues to accept
	 * requests for the leave delay, waits until running requests have ended, releases
	 * what the plugins own, waits until the final usage counts have been read, and
	 * closes.
	 */
	public void leave() {
		if (!this.leaving.compareAndSet(false, true)) {
			return;
		}
		LOG.atInfo().addKeyValue("event", "process.leaving").log("process.leaving");
		this.managementRoute.startLeaving();
		this.mesh.startLeaving();
		this.listener.disableKeepAlive();
		boolean drained = false;
		boolean read = false;
		try {
			TimeUnit.MILLISECONDS.sleep(this.settings.leaveDelayMillis());
			drained = this.listener.drain(DRAIN_IDLE_MILLIS, DRAIN_TIMEOUT_MILLIS);
			this.plugins.leave();
			read = this.usage.close(FINAL_USAGE_TIMEOUT_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		LOG.atInfo()
			.addKeyValue("event", "process.left")
			.addKeyValue("drained", drained)
			.addKeyValue("usage_read", read)
			.log("process.left");
		close();
	}

	@Override
	public void close() {
		this.leaving.set(true);
		this.listener.close();
		this.mesh.close();
		this.timers.shutdownNow();
		this.threads.shutdownNow();
		this.pool.close();
	}

	private void scheduleRepeatedly(long millis, Runnable task) {
		this.timers.scheduleWithFixedDelay(() -> {
			try {
				task.run();
			}
			catch (RuntimeException ex) {
				// An exception would cancel all further runs of the task.
				LOG.atError()
					.addKeyValue("event", "process.timer-failed")
					.addKeyValue("failure", ex.toString())
					.log("process.timer-failed");
			}
		}, 0, millis, TimeUnit.MILLISECONDS);
	}

	/**
	 * Reads the configuration from the store. Retries until the store responds, or until
	 * this host is ready with the configuration of a peer.
	 * @param loader the loader
	 * @param backoffMillis upper bound of the delay before the next attempt, in
	 * milliseconds
	 */
	private void readStore(ConfigurationLoader loader, long backoffMillis) {
		this.threads.execute(() -> {
			long startedAtMillis = Clock.monotonic().millis();
			Either<Failure, Option<Configuration>> result = loader.read();
			if (result.isRight()) {
				long ageMillis = Clock.monotonic().millis() - startedAtMillis;
				result.get().peek((found) -> this.configuration.accept(found, ageMillis));
				this.configuration.recordContact();
				return;
			}
			LOG.atWarn()
				.addKeyValue("event", "config.store-unread")
				.addKeyValue("reason", result.getLeft().code())
				.log("config.store-unread");
			if (!this.leaving.get() && !this.configuration.isReady()) {
				long delayMillis = backoffMillis / 2 + ThreadLocalRandom.current().nextLong(backoffMillis / 2 + 1);
				this.timers.schedule(() -> readStore(loader, Math.min(MAX_STORE_RETRY_MILLIS, backoffMillis * 2)),
						delayMillis, TimeUnit.MILLISECONDS);
			}
		});
	}

	private static ThreadFactory threadFactory(String prefix) {
		AtomicLong next = new AtomicLong();
		return (task) -> {
			Thread thread = new Thread(task, prefix + next.incrementAndGet());
			thread.setDaemon(true);
			return thread;
		};
	}

	private static String ip(String address) {
		return address.substring(0, address.lastIndexOf(':'));
	}

	private static int port(String address) {
		return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
	}

}
