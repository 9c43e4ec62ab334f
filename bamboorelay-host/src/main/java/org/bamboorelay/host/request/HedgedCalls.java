package org.bamboorelay.host.request;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counter;
import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.core.process.EndpointRequirements;
import org.bamboorelay.core.process.EndpointTable;
import org.bamboorelay.core.request.HedgeRefusal;
import org.bamboorelay.core.request.HedgingPolicy;
import org.bamboorelay.core.request.ShutdownAdmission;
import org.bamboorelay.core.time.Clock;
import org.bamboorelay.host.process.EventLog;
import org.bamboorelay.runtime.process.Counters;
import org.jspecify.annotations.Nullable;

/**
 * Sends copies of slow requests to a second endpoint. The first run uses the thread of
 * the request; a copy uses a thread of its own, and only from the time at which it is
 * due.
 * <p>
 * Thread-safe.
 */
public final class HedgedCalls implements AutoCloseable {

	/**
	 * Maximum number of copies that run at the same time; their thread stacks occupy 4 MB
	 * at 256 KB each.
	 */
	private static final int MAX_RUNNING_COPIES = 16;

	private static final long IDLE_THREAD_SECONDS = 10;

	/**
	 * Time after the deadline of a request for which a copy is awaited, in milliseconds:
	 * the copy times out at the deadline and has to report that.
	 */
	private static final long DEADLINE_MARGIN_MILLIS = 50;

	private final HedgingPolicy policy;

	private final EndpointTable table;

	private final PoisonGuard poisonGuard;

	private final ShutdownAdmission shutdownAdmission;

	private final Clock clock;

	private final Counters counters;

	private final EventLog log;

	private final ScheduledThreadPoolExecutor timer;

	private final ThreadPoolExecutor copies;

	private final Set<String> observedRoutes = ConcurrentHashMap.newKeySet();

	private final Set<String> exhaustedServices = ConcurrentHashMap.newKeySet();

	/**
	 * Creates the sender of copies, which starts no thread before its first use.
	 * @param policy decides when a copy is sent
	 * @param table the table of endpoints
	 * @param poisonGuard knows the requests that crash endpoints
	 * @param shutdownAdmission knows whether the host shuts down
	 * @param clock the monotonic clock of the process
	 * @param counters the metrics of the process
	 * @param log the log of the process
	 */
	public HedgedCalls(HedgingPolicy policy, EndpointTable table, PoisonGuard poisonGuard,
			ShutdownAdmission shutdownAdmission, Clock clock, Counters counters, EventLog log) {
		this.policy = Objects.requireNonNull(policy, "policy");
		this.table = Objects.requireNonNull(table, "table");
		this.poisonGuard = Objects.requireNonNull(poisonGuard, "poisonGuard");
		this.shutdownAdmission = Objects.requireNonNull(shutdownAdmission, "shutdownAdmission");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.counters = Objects.requireNonNull(counters, "counters");
		this.log = Objects.requireNonNull(log, "log");
		ThreadFactory threads = (task) -> {
			Thread thread = new Thread(task, "hedging");
			thread.setDaemon(true);
			return thread;
		};
		this.timer = new ScheduledThreadPoolExecutor(1, threads);
		this.timer.setRemoveOnCancelPolicy(true);
		this.copies = new ThreadPoolExecutor(0, MAX_RUNNING_COPIES, IDLE_THREAD_SECONDS, TimeUnit.SECONDS,
				new SynchronousQueue<>(), threads);
		for (HedgeRefusal reason : HedgeRefusal.values()) {
			refused(reason);
		}
		for (String outcome : new String[] { "sent", "won", "lost" }) {
			counters.counter("hedged_copies_total", "outcome", outcome);
		}
	}

	/**
	 * Records that a request begins, and determines whether it may be hedged.
	 * @param request the request
	 * @return whether its runs are to be sent by {@link #call}
	 */
	boolean begin(ServiceRequest request) {
		if (!request.idempotent() || request.maxEndpoints() < 2 || !this.policy.covers(request.route())) {
			return false;
		}
		this.policy.onRequest(request.route(), request.service());
		if (this.observedRoutes.add(request.route())) {
			this.counters.gauge("hedging_delay_millis{route=\"" + request.route() + "\"}",
					() -> this.policy.delayMillis(request.route()).orElse(-1));
		}
		return true;
	}

	/**
	 * Sends a request to an endpoint, and a copy to another one if the response takes
	 * long.
	 * @param request the request
	 * @param grant the grant of the endpoint; the attempt releases it
	 * @param triedEndpoints the endpoints to which the request was sent, including this
	 * one; an endpoint that gets the copy is added
	 * @param attempt sends a run
	 * @return the outcome
	 */
	CallResult call(ServiceRequest request, EndpointTable.Grant grant, Set<String> triedEndpoints, Attempt attempt) {
		long startMillis = this.clock.millis();
		HedgeRace race = new HedgeRace(() -> this.policy.onLingering(request.service()),
				() -> this.policy.onLingeringEnded(request.service()), request.onExtraRun());
		ScheduledFuture<?> due = schedule(request, race, Set.copyOf(triedEndpoints), attempt);
		CallResult firstResult = new CallResult.Unknown("internal", false);
		try {
			firstResult = attempt.run(grant, observe(request, race, race.first()));
		}
		catch (RuntimeException ex) {
			race.cancelAll();
			throw ex;
		}
		finally {
			race.first().end(firstResult);
			if (due != null) {
				due.cancel(false);
			}
		}
		CallResult result = race
			.await(Math.max(0, request.deadlineMillis() - this.clock.millis()) + DEADLINE_MARGIN_MILLIS);
		if (race.hasWinner()) {
			this.policy.onFirstRunEnded(request.route(), this.clock.millis() - startMillis);
		}
		String copyEndpoint = race.copyEndpoint();
		if (copyEndpoint != null) {
			triedEndpoints.add(copyEndpoint);
			this.counters.counter("hedged_copies_total", "outcome", race.isCopyWinner() ? "won" : "lost").inc();
		}
		return result;
	}

	/**
	 * Sets the number of hosts that share the burst of copies.
	 * @param count the number of live hosts, including this one
	 */
	public void hostCount(int count) {
		this.policy.hostCount(count);
	}

	@Override
	public void close() {
		this.timer.shutdownNow();
		this.copies.shutdownNow();
	}

	private @Nullable ScheduledFuture<?> schedule(ServiceRequest request, HedgeRace race, Set<String> triedEndpoints,
			Attempt attempt) {
		OptionalLong delayMillis = this.policy.delayMillis(request.route());
		if (delayMillis.isEmpty() || triedEndpoints.size() >= request.maxEndpoints()) {
			return null;
		}
		try {
			return this.timer.schedule(() -> startCopy(request, race, triedEndpoints, attempt), delayMillis.getAsLong(),
					TimeUnit.MILLISECONDS);
		}
		catch (RejectedExecutionException ex) {
			refused(HedgeRefusal.LEAVING).inc();
			return null;
		}
	}

	private void startCopy(ServiceRequest request, HedgeRace race, Set<String> triedEndpoints, Attempt attempt) {
		try {
			this.copies.execute(() -> runCopy(request, race, triedEndpoints, attempt));
		}
		catch (RejectedExecutionException ex) {
			refused(HedgeRefusal.THREADS).inc();
		}
	}

	private void runCopy(ServiceRequest request, HedgeRace race, Set<String> triedEndpoints, Attempt attempt) {
		EndpointTable.Grant grant = race.isOpen() ? acquire(request, triedEndpoints) : null;
		if (grant == null) {
			return;
		}
		if (!race.beginCopy(grant.id())) {
			this.table.release(grant, EndpointTable.Outcome.ABANDONED);
			this.policy.returnCopy(request.service());
			return;
		}
		if (this.exhaustedServices.remove(request.service())) {
			this.log.info("hedging-budget-available", "service", request.service());
		}
		this.counters.counter("hedged_copies_total", "outcome", "sent").inc();
		this.log.info("hedged-copy-sent", "request_id", request.id(), "route", request.route(), "endpoint", grant.id());
		CallResult result = new CallResult.Unknown("internal", false);
		try {
			result = attempt.run(grant, observe(request, race, race.copy()));
		}
		catch (RuntimeException ex) {
			this.log.warn("hedged-copy-error", "request_id", request.id(), "error", ex.toString());
		}
		finally {
			race.copy().end(result);
		}
	}

	private EndpointTable.@Nullable Grant acquire(ServiceRequest request, Set<String> triedEndpoints) {
		if (this.shutdownAdmission.endMillis() != Long.MAX_VALUE) {
			return refuse(request, HedgeRefusal.LEAVING);
		}
		if (this.poisonGuard.isSuspect(request)) {
			return refuse(request, HedgeRefusal.SUSPECT);
		}
		EndpointTable.HedgeTargets targets = this.table
			.hedgeTargets(EndpointRequirements.plain(request.origin(), request.service(), triedEndpoints));
		Optional<HedgeRefusal> refusal = this.policy.takeCopy(request.route(), request.service(),
				request.deadlineMillis() - this.clock.millis(), targets.freeSlots(), targets.slots());
		if (refusal.isPresent()) {
			return refuse(request, refusal.get());
		}
		EndpointRequirements requirements = new EndpointRequirements(request.origin(), request.service(), null, 0, 0,
				true, targets.excluded());
		EndpointTable.Grant grant = this.table.acquire(requirements);
		if (grant != null && grant.isRateLimited()) {
			// The endpoint has named a rate since the targets were determined.
			this.table.onSlot(grant, requirements, new PeerMessage.RateSlot(false, 0));
			grant = null;
		}
		if (grant == null) {
			this.policy.returnCopy(request.service());
			return refuse(request, HedgeRefusal.NO_SPARE_CAPACITY);
		}
		return grant;
	}

	private EndpointTable.@Nullable Grant refuse(ServiceRequest request, HedgeRefusal reason) {
		refused(reason).inc();
		if (reason == HedgeRefusal.BUDGET && this.exhaustedServices.add(request.service())) {
			this.log.info("hedging-budget-exhausted", "service", request.service());
		}
		return null;
	}

	private Counter refused(HedgeRefusal reason) {
		return this.counters.counter("hedged_copies_refused_total", "reason", reason.code());
	}

	// The caller's monitor keeps one task, which therefore cancels both runs.
	private static AttemptObserver observe(ServiceRequest request, HedgeRace race, HedgeRace.Run run) {
		return new AttemptObserver() {

			@Override
			public void onConnecting(Runnable abort) {
				run.onConnecting(abort);
				request.onAbort().accept(race::cancelAll);
			}

			@Override
			public void onConnected(Runnable abort) {
				run.onConnected(abort);
				request.onAbort().accept(race::cancelAll);
			}

			@Override
			public void onResponseRead() {
				run.onResponseRead();
			}

			@Override
			public boolean isCancelled() {
				return run.isCancelled();
			}

		};
	}

	/**
	 * Sends a request to one endpoint.
	 */
	@FunctionalInterface
	interface Attempt {

		/**
		 * Sends the request and releases the endpoint.
		 * @param grant the grant of the endpoint
		 * @param observer observes the attempt
		 * @return the outcome
		 */
		CallResult run(EndpointTable.Grant grant, AttemptObserver observer);

	}

}
