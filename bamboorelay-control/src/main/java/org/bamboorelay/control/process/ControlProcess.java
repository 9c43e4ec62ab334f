package org.bamboorelay.control.process;

import java.io.IOException;
import java.util.UUID;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpStatus;
import org.bamboorelay.control.connection.EntryLinks;
import org.bamboorelay.control.connection.PlatformClient;
import org.bamboorelay.control.version.ControlSettings;
import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.core.process.LeaseState;
import org.bamboorelay.core.version.Configuration;
import org.bamboorelay.core.version.Inventory;
import org.bamboorelay.runtime.connection.HttpConnectionPool;
import org.bamboorelay.runtime.connection.HttpListener;
import org.bamboorelay.runtime.connection.HttpObjectStore;
import org.bamboorelay.runtime.process.Counters;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A running control process with its periodic tasks, leases and HTTP listener.
 * <p>
 * Thread-safe.
 */
public final class ControlProcess implements AutoCloseable {

	private static final Logger LOG = LoggerFactory.getLogger(ControlProcess.class);

	private static final int STORE_TIMEOUT_MILLIS = 1_500;

	private static final long LEASE_INTERVAL_MILLIS = 100;

	private static final long STORE_INTERVAL_MILLIS = 1_000;

	private static final int TASK_THREADS = 9;

	/**
	 * Maximum time that shutdown waits for orders in flight; longer than the time-out of
	 * one order.
	 */
	private static final long TASK_SHUTDOWN_TIMEOUT_MILLIS = 5_000;

	private static final long RELEASE_TIMEOUT_MILLIS = 2_000;

	private static final long RELEASE_RETRY_INTERVAL_MILLIS = 50;

	private final ScheduledExecutorService leaseExecutor = Executors.newScheduledThreadPool(2, threadFactory("lease"));

	private final ScheduledExecutorService taskExecutor = Executors.newScheduledThreadPool(TASK_THREADS,
			threadFactory("loop"));

	private final ExecutorService callExecutor = Executors.newCachedThreadPool(threadFactory("call"));

	private final HttpConnectionPool pool = new HttpConnectionPool();

	private final ControlContext context;

	private final LeaseState domainLease;

	private final LeaseState usageLease;

	private final HttpListener listener;

	private ControlProcess(ControlSettings settings) throws IOException {
		String incarnation = settings.host() + "-" + UUID.randomUUID();
		PeerMessage.Hello hello = PeerMessage.Hello.of(settings.deployment(), settings.host(), settings.failureDomain(),
				"control", incarnation);
		EntryLinks links = new EntryLinks(hello, this.callExecutor);
		links.setAddresses(settings.entryAddresses());
		this.context = new ControlContext(settings, incarnation,
				HttpObjectStore.of(settings.objectApiAddress(), this.pool, STORE_TIMEOUT_MILLIS),
				PlatformClient.of(this.pool), links, Counters.create(), this.callExecutor);
		this.domainLease = LeaseState
			.of("leases/" + settings.failureDomain(), incarnation, this.context.clock(),
					() -> LeaseState.Timing.standard(allServicesHonourFencing()), this.context::random)
			.contendingWhen(this.context::isContender);
		// The usage intake is not known to check fencing tokens.
		this.usageLease = LeaseState
			.of("leases/usage", incarnation, this.context.clock(), () -> LeaseState.Timing.standard(false),
					this.context::random)
			.contendingWhen(this.context::isContender);
		Counters counters = this.context.counters();
		counters.gauge("domain_lease_fencing", this.domainLease::fencing);
		counters.gauge("usage_lease_fencing", this.usageLease::fencing);
		counters.gauge("config_version", () -> this.context.configuration().map(Configuration::version).getOrElse(0L));
		int portSeparator = settings.httpAddress().lastIndexOf(':');
		this.listener = HttpListener.open(settings.httpAddress().substring(0, portSeparator),
				Integer.parseInt(settings.httpAddress().substring(portSeparator + 1)), this::serve,
				(failure) -> counters.counter("http_errors_total").inc());
	}

	/**
	 * Starts a control process.
	 * @param settings the settings of the process
	 * @return the running process
	 * @throws IOException if the HTTP address cannot be bound
	 */
	public static ControlProcess start(ControlSettings settings) throws IOException {
		ControlProcess process = new ControlProcess(settings);
		process.schedule();
		LOG.info("control-started host={} domain={}", settings.host(), settings.failureDomain());
		return process;
	}

	@Override
	public void close() {
		LOG.info("control-leaving");
		this.taskExecutor.shutdown();
		try {
			if (!this.taskExecutor.awaitTermination(TASK_SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
				LOG.warn("control-loop-still-running");
			}
			this.leaseExecutor.shutdown();
			this.leaseExecutor.awaitTermination(RELEASE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
			this.domainLease.release();
			this.usageLease.release();
			long deadlineMillis = this.context.clock().millis() + RELEASE_TIMEOUT_MILLIS;
			while (!(this.domainLease.isReleased() && this.usageLease.isReleased())
					&& this.context.clock().millis() < deadlineMillis) {
				this.context.runOperations(this.domainLease);
				this.context.runOperations(this.usageLease);
				TimeUnit.MILLISECONDS.sleep(RELEASE_RETRY_INTERVAL_MILLIS);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		this.listener.close();
		this.context.links().close();
		this.callExecutor.shutdownNow();
		this.pool.close();
		LOG.info("control-left released={}", this.domainLease.isReleased() && this.usageLease.isReleased());
	}

	private void schedule() {
		EndpointDirectory directory = new EndpointDirectory(this.context,
				() -> this.context.isReader() || this.domainLease.isHeld());
		UsageReporter usage = new UsageReporter(this.context, this.domainLease, this.usageLease);
		ScalingLoop orders = new ScalingLoop(this.context, this.domainLease, directory, usage);
		WeightUpdateLoop weights = new WeightUpdateLoop(this.context, this.domainLease, directory);
		schedulePeriodically(this.leaseExecutor, () -> this.context.runOperations(this.domainLease),
				LEASE_INTERVAL_MILLIS);
		schedulePeriodically(this.leaseExecutor, () -> this.context.runOperations(this.usageLease),
				LEASE_INTERVAL_MILLIS);
		schedulePeriodically(this.taskExecutor, new ConfigurationLoop(this.context)::run,
				ConfigurationLoop.INTERVAL_MILLIS);
		schedulePeriodically(this.taskExecutor, directory::run, EndpointDirectory.INTERVAL_MILLIS);
		schedulePeriodically(this.taskExecutor, directory::readStore, STORE_INTERVAL_MILLIS);
		schedulePeriodically(this.taskExecutor, orders::run, ScalingLoop.INTERVAL_MILLIS);
		schedulePeriodically(this.taskExecutor, weights::run, WeightUpdateLoop.INTERVAL_MILLIS);
		schedulePeriodically(this.taskExecutor, usage::pullCounters, UsageReporter.INTERVAL_MILLIS);
		schedulePeriodically(this.taskExecutor, usage::writeParts, UsageReporter.INTERVAL_MILLIS);
		schedulePeriodically(this.taskExecutor, usage::reportWindows, UsageReporter.INTERVAL_MILLIS);
	}

	private void schedulePeriodically(ScheduledExecutorService executor, Runnable loop, long intervalMillis) {
		executor.scheduleWithFixedDelay(() -> {
			try {
				loop.run();
			}
			catch (RuntimeException ex) {
				// An exception would cancel the periodic task; one malformed response
				// must not do so.
				this.context.counters().counter("loop_failures_total").inc();
				LOG.error("loop-failed", ex);
			}
		}, (long) (this.context.random() * intervalMillis), intervalMillis, TimeUnit.MILLISECONDS);
	}

	private boolean allServicesHonourFencing() {
		return this.context.configuration()
			.exists((current) -> current.inventory()
				.services()
				.stream()
				.allMatch(Inventory.ServiceEntry::honoursFencing));
	}

	private void serve(ClassicHttpRequest request, HttpListener.Responder responder) throws HttpException, IOException {
		switch (request.getPath()) {
			case "/health" -> responder.send(HttpStatus.SC_OK, "application/json",
					"{\"config_version\":" + this.context.configuration().map(Configuration::version).getOrElse(0L)
							+ ",\"domain_lease_fencing\":" + this.domainLease.fencing() + ",\"usage_lease_fencing\":"
							+ this.usageLease.fencing() + "}");
			case "/metrics" -> responder.send(HttpStatus.SC_OK, "text/plain", this.context.counters().text());
			default -> responder.send(HttpStatus.SC_NOT_FOUND, "text/plain", "no such path\n");
		}
	}

	private static ThreadFactory threadFactory(String name) {
		AtomicInteger count = new AtomicInteger();
		return (task) -> {
			Thread thread = new Thread(task, name + "-" + count.incrementAndGet());
			thread.setDaemon(name.equals("call"));
			return thread;
		};
	}

}
