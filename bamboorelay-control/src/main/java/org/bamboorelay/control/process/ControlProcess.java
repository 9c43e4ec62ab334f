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
 * A running control process: its loops, its leases and its own HTTP listener.
 * <p>
 * Thread-safe.
 */
public final class ControlProcess implements AutoCloseable {

	private static final Logger LOG = LoggerFactory.getLogger(ControlProcess.class);

	private static final int STORE_TIMEOUT_MILLIS = 1_500;

	private static final long LEASE_INTERVAL_MILLIS = 100;

	private static final long HEADS_INTERVAL_MILLIS = 1_000;

	private static final int LOOPS = 9;

	/** The longest wait for running orders at shutdown; longer than one order. */
	private static final long FINISH_MILLIS = 5_000;

	private static final long RELEASE_MILLIS = 2_000;

	private static final long RELEASE_PAUSE_MILLIS = 50;

	private final ScheduledExecutorService leases = Executors.newScheduledThreadPool(2, named("lease"));

	private final ScheduledExecutorService loops = Executors.newScheduledThreadPool(LOOPS, named("loop"));

	private final ExecutorService threads = Executors.newCachedThreadPool(named("call"));

	private final HttpConnectionPool pool = new HttpConnectionPool();

	private final ControlContext context;

	private final LeaseState domainLease;

	private final LeaseState usageLease;

	private final HttpListener listener;

	private ControlProcess(ControlSettings settings) throws IOException {
		String incarnation = settings.host() + "-" + UUID.randomUUID();
		PeerMessage.Hello hello = PeerMessage.Hello.of(settings.deployment(), settings.host(), settings.failureDomain(),
				"control", incarnation);
		EntryLinks links = new EntryLinks(hello, this.threads);
		links.keep(settings.entryAddresses());
		this.context = new ControlContext(settings, incarnation,
				HttpObjectStore.of(settings.objectApiAddress(), this.pool, STORE_TIMEOUT_MILLIS),
				PlatformClient.of(this.pool), links, Counters.create(), this.threads);
		this.domainLease = LeaseState
			.of("leases/" + settings.failureDomain(), incarnation, this.context.clock(),
					() -> LeaseState.Terms.standard(isFenced()), this.context::random)
			.where(this.context::isContender);
		// The usage intake is not known to compare fencing numbers.
		this.usageLease = LeaseState
			.of("leases/usage", incarnation, this.context.clock(), () -> LeaseState.Terms.standard(false),
					this.context::random)
			.where(this.context::isContender);
		Counters counters = this.context.counters();
		counters.gauge("domain_lease_fencing", this.domainLease::fencing);
		counters.gauge("usage_lease_fencing", this.usageLease::fencing);
		counters.gauge("config_version", () -> this.context.configuration().map(Configuration::version).getOrElse(0L));
		int colon = settings.httpAddress().lastIndexOf(':');
		this.listener = HttpListener.open(settings.httpAddress().substring(0, colon),
				Integer.parseInt(settings.httpAddress().substring(colon + 1)), this::serve,
				(failure) -> counters.counter("http_errors_total").inc());
	}

	/**
	 * Starts a control process.
	 * @param settings its settings
	 * @return the running process
	 * @throws IOException where its HTTP address cannot be bound
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
		this.loops.shutdown();
		try {
			if (!this.loops.awaitTermination(FINISH_MILLIS, TimeUnit.MILLISECONDS)) {
				LOG.warn("control-loop-still-running");
			}
			this.leases.shutdown();
			this.leases.awaitTermination(RELEASE_MILLIS, TimeUnit.MILLISECONDS);
			this.domainLease.release();
			this.usageLease.release();
			long until = this.context.clock().millis() + RELEASE_MILLIS;
			while (!(this.domainLease.isReleased() && this.usageLease.isReleased())
					&& this.context.clock().millis() < until) {
				this.context.drive(this.domainLease);
				this.context.drive(this.usageLease);
				TimeUnit.MILLISECONDS.sleep(RELEASE_PAUSE_MILLIS);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		this.listener.close();
		this.context.links().close();
		this.threads.shutdownNow();
		this.pool.close();
		LOG.info("control-left released={}", this.domainLease.isReleased() && this.usageLease.isReleased());
	}

	private void schedule() {
		EndpointDirectory directory = new EndpointDirectory(this.context,
				() -> this.context.isReader() || this.domainLease.isHeld());
		UsageDuty usage = new UsageDuty(this.context, this.domainLease, this.usageLease);
		OrderDuty orders = new OrderDuty(this.context, this.domainLease, directory, usage);
		WeightDuty weights = new WeightDuty(this.context, this.domainLease, directory);
		repeat(this.leases, () -> this.context.drive(this.domainLease), LEASE_INTERVAL_MILLIS);
		repeat(this.leases, () -> this.context.drive(this.usageLease), LEASE_INTERVAL_MILLIS);
		repeat(this.loops, new ConfigurationLoop(this.context)::run, ConfigurationLoop.INTERVAL_MILLIS);
		repeat(this.loops, directory::run, EndpointDirectory.INTERVAL_MILLIS);
		repeat(this.loops, directory::readStore, HEADS_INTERVAL_MILLIS);
		repeat(this.loops, orders::run, OrderDuty.INTERVAL_MILLIS);
		repeat(this.loops, weights::run, WeightDuty.INTERVAL_MILLIS);
		repeat(this.loops, usage::pull, UsageDuty.INTERVAL_MILLIS);
		repeat(this.loops, usage::checkpoint, UsageDuty.INTERVAL_MILLIS);
		repeat(this.loops, usage::report, UsageDuty.INTERVAL_MILLIS);
	}

	private void repeat(ScheduledExecutorService executor, Runnable loop, long intervalMillis) {
		executor.scheduleWithFixedDelay(() -> {
			try {
				loop.run();
			}
			catch (RuntimeException ex) {
				// One bad answer must not end a loop for good.
				this.context.counters().counter("loop_failures_total").inc();
				LOG.error("loop-failed", ex);
			}
		}, (long) (this.context.random() * intervalMillis), intervalMillis, TimeUnit.MILLISECONDS);
	}

	private boolean isFenced() {
		return this.context.configuration()
			.exists((present) -> present.inventory()
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

	private static ThreadFactory named(String name) {
		AtomicInteger count = new AtomicInteger();
		return (task) -> {
			Thread thread = new Thread(task, name + "-" + count.incrementAndGet());
			thread.setDaemon(name.equals("call"));
			return thread;
		};
	}

}
