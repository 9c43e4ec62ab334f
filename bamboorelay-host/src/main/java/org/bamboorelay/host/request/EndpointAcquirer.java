package org.bamboorelay.host.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import io.vavr.control.Either;
import org.bamboorelay.core.process.EndpointRequirements;
import org.bamboorelay.core.process.EndpointTable;
import org.bamboorelay.core.request.SlotQueue;
import org.bamboorelay.core.time.Clock;
import org.bamboorelay.core.version.RoutingTable;
import org.bamboorelay.host.process.EventLog;
import org.bamboorelay.runtime.process.Counters;
import org.jspecify.annotations.Nullable;

/**
 * Acquires a slot at an endpoint. While none is free, requests wait in a queue for each
 * service, as ordered by {@link SlotQueue}, and get the slots that become free. A request
 * that cannot be expected to get one in time is refused at once, as is one whose
 * endpoints limit their rate.
 * <p>
 * Thread-safe. The queues are guarded by the lock of this object, which is acquired
 * before that of the table.
 */
public final class EndpointAcquirer {

	/**
	 * Maximum wait for a slot at an endpoint that limits its rate, as a share of the
	 * remaining time of the request.
	 */
	private static final double MAX_WAIT_SHARE = 0.25;

	/**
	 * Interval between two attempts to acquire a slot at an endpoint that limits its
	 * rate, in milliseconds.
	 */
	private static final long RATE_POLL_INTERVAL_MILLIS = 5;

	/**
	 * Interval at which the queue of a service is checked for capacity that no release
	 * announced, in milliseconds: the end of a backoff, a new endpoint, or a slot that
	 * another host released.
	 */
	private static final long FALLBACK_INTERVAL_MILLIS = 10;

	private static final CallResult.NotRun NO_ENDPOINT = new CallResult.NotRun("no-endpoint",
			SlotQueue.UNKNOWN_WAIT_MILLIS);

	private final EndpointTable table;

	private final RateSlots rateSlots;

	private final Supplier<@Nullable RoutingTable> routing;

	private final RandomGenerator random;

	private final Clock clock;

	private final Counters counters;

	private final EventLog log;

	private final Map<String, ServiceQueue> queues = new HashMap<>();

	/**
	 * Creates an instance, and registers it for the slots that become free.
	 * @param table the table of endpoints
	 * @param rateSlots acquires endpoints that limit their rate
	 * @param routing supplies the current routes; null until they have been read
	 * @param random the source of the jitter of retry delays
	 * @param clock the monotonic clock of the process
	 * @param counters the metrics of the process
	 * @param log the log of the process
	 */
	public EndpointAcquirer(EndpointTable table, RateSlots rateSlots, Supplier<@Nullable RoutingTable> routing,
			RandomGenerator random, Clock clock, Counters counters, EventLog log) {
		this.table = Objects.requireNonNull(table, "table");
		this.rateSlots = Objects.requireNonNull(rateSlots, "rateSlots");
		this.routing = Objects.requireNonNull(routing, "routing");
		this.random = Objects.requireNonNull(random, "random");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.counters = Objects.requireNonNull(counters, "counters");
		this.log = Objects.requireNonNull(log, "log");
		table.onRelease(this::onRelease);
	}

	/**
	 * Returns when a request must stop waiting for an endpoint that limits its rate.
	 * @param requestDeadlineMillis the deadline of the request, in milliseconds of the
	 * clock of the process
	 * @return the end of the wait, in milliseconds of the same clock
	 */
	long waitDeadline(long requestDeadlineMillis) {
		long now = this.clock.millis();
		return now + (long) (MAX_WAIT_SHARE * (requestDeadlineMillis - now));
	}

	/**
	 * Acquires a slot at an endpoint, waiting for it if it can be expected in time.
	 * @param request the request
	 * @param excluded endpoints to exclude
	 * @param waitDeadlineMillis the end of the wait for an endpoint that limits its rate,
	 * in milliseconds of the clock of the process
	 * @return the grant of a slot, or the refusal if none can be expected in time or no
	 * endpoint could ever take the request
	 */
	Either<CallResult.NotRun, EndpointTable.Grant> acquire(ServiceRequest request, Set<String> excluded,
			long waitDeadlineMillis) {
		return acquire(request, excluded, waitDeadlineMillis, !request.origin().isInteractive());
	}

	/**
	 * Acquires a slot at an endpoint for a request whose response has begun. It waits
	 * whether or not a slot can be expected in time.
	 * @param request the request
	 * @param excluded endpoints to exclude
	 * @param waitDeadlineMillis the end of the wait, in milliseconds of the clock of the
	 * process
	 * @return the grant of a slot, or the refusal if there was none in time or no
	 * endpoint could ever take the request
	 */
	Either<CallResult.NotRun, EndpointTable.Grant> acquireToResume(ServiceRequest request, Set<String> excluded,
			long waitDeadlineMillis) {
		return acquire(request, excluded, waitDeadlineMillis, true);
	}

	private Either<CallResult.NotRun, EndpointTable.Grant> acquire(ServiceRequest request, Set<String> excluded,
			long waitDeadlineMillis, boolean accepted) {
		EndpointRequirements requirements = EndpointRequirements.plain(request.origin(), request.service(), excluded);
		if (this.table.isAnyRateLimited(requirements)) {
			return acquireRateLimited(requirements, waitDeadlineMillis);
		}
		ServiceQueue queue = queue(request.service());
		Waiter waiter = new Waiter(requirements);
		SlotQueue.Ticket<Waiter> ticket;
		synchronized (this) {
			EndpointTable.Grant grant = (queue.waiting.size() == 0) ? this.table.acquire(requirements) : null;
			if (grant != null) {
				waiter.granted.complete(grant);
				ticket = null;
			}
			else if (this.table.eligibleCount(requirements) == 0) {
				return Either.left(NO_ENDPOINT);
			}
			else {
				boolean slotFree = this.table.availableCount(requirements) > 0;
				Either<SlotQueue.Refused, SlotQueue.Ticket<Waiter>> offered = queue.waiting.offer(
						queueRequest(request, accepted, waitDeadlineMillis), waiter,
						supply(request.service(), slotFree), this.clock.millis());
				if (offered.isLeft()) {
					return Either.left(refusal(queue, offered.getLeft()));
				}
				ticket = offered.get();
				if (slotFree) {
					dispatch(queue);
				}
			}
		}
		Either<CallResult.NotRun, EndpointTable.Grant> result = (ticket != null) ? await(queue, ticket)
				: Either.right(waiter.granted.join());
		return result.flatMap((grant) -> this.rateSlots.complete(grant, requirements) ? Either.right(grant)
				: acquireRateLimited(requirements, waitDeadlineMillis));
	}

	/**
	 * Returns whether routes or workspaces have priorities.
	 * @return whether the current routes name any
	 */
	boolean hasPriorities() {
		RoutingTable current = this.routing.get();
		return current != null && current.hasPriorities();
	}

	/**
	 * Logs the workspaces that began or ceased to be held to their share of a service.
	 * Called at regular intervals, because no request may arrive when this state ends.
	 */
	public synchronized void logShares() {
		long now = this.clock.millis();
		this.queues.values().forEach((queue) -> {
			Set<String> held = queue.waiting.heldWorkspaces(now);
			held.stream()
				.filter((workspace) -> !queue.loggedHeld.contains(workspace))
				.forEach((workspace) -> this.log.info("workspace-held-to-share", "service", queue.service, "workspace",
						workspace, "waiting", queue.waiting.size()));
			queue.loggedHeld.stream()
				.filter((workspace) -> !held.contains(workspace))
				.forEach((workspace) -> this.log.info("workspace-share-unlimited", "service", queue.service,
						"workspace", workspace));
			queue.loggedHeld = held;
		});
	}

	private Either<CallResult.NotRun, EndpointTable.Grant> await(ServiceQueue queue, SlotQueue.Ticket<Waiter> ticket) {
		CompletableFuture<EndpointTable.Grant> granted = ticket.attachment().granted;
		try {
			while (true) {
				long remainingMillis = ticket.latestBeginMillis() - this.clock.millis();
				try {
					EndpointTable.Grant grant = granted
						.get(Math.max(0, Math.min(remainingMillis, FALLBACK_INTERVAL_MILLIS)), TimeUnit.MILLISECONDS);
					this.counters.counter("queue_waits_total", "service", queue.service).inc();
					this.counters.counter("queue_wait_millis_total", "service", queue.service)
						.inc(this.clock.millis() - ticket.offeredMillis());
					return Either.right(grant);
				}
				catch (TimeoutException ex) {
					CallResult.NotRun refusal = onFallback(queue, ticket);
					if (refusal != null) {
						return Either.left(refusal);
					}
				}
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			abandon(queue, ticket);
			return Either.left(NO_ENDPOINT);
		}
		catch (ExecutionException ex) {
			throw new IllegalStateException("a wait for a slot failed", ex);
		}
	}

	// Returns the refusal of a request that can wait no longer, or null.
	private synchronized CallResult.@Nullable NotRun onFallback(ServiceQueue queue, SlotQueue.Ticket<Waiter> ticket) {
		EndpointRequirements requirements = ticket.attachment().requirements;
		long now = this.clock.millis();
		if (now - queue.dispatchedAtMillis >= FALLBACK_INTERVAL_MILLIS) {
			dispatch(queue);
		}
		if (this.table.eligibleCount(requirements) == 0) {
			return queue.waiting.remove(ticket) ? NO_ENDPOINT : null;
		}
		if (now < ticket.latestBeginMillis()) {
			return null;
		}
		SlotQueue.Refused refused = queue.waiting.refuse(ticket, supply(requirements.service(), false), now);
		return (refused != null) ? refusal(queue, refused) : null;
	}

	private void abandon(ServiceQueue queue, SlotQueue.Ticket<Waiter> ticket) {
		boolean removed;
		synchronized (this) {
			removed = queue.waiting.remove(ticket);
		}
		if (!removed) {
			this.table.release(ticket.attachment().granted.join(), EndpointTable.Outcome.ABANDONED);
		}
	}

	private void onRelease(EndpointTable.Release release) {
		ServiceQueue queue = queue(release.service());
		synchronized (this) {
			if (release.outcome() == EndpointTable.Outcome.SERVED) {
				queue.waiting.onServed(release.heldMillis());
			}
			dispatch(queue);
		}
	}

	// Gives free slots to the waiting requests in their order. Once no endpoint can take
	// a request, none can take another one that excludes at least the same endpoints.
	private void dispatch(ServiceQueue queue) {
		long now = this.clock.millis();
		queue.dispatchedAtMillis = now;
		List<Set<String>> unservable = new ArrayList<>();
		while (queue.waiting.size() > 0 && queue.waiting.poll((ticket) -> {
			EndpointRequirements requirements = ticket.attachment().requirements;
			if (unservable.stream().anyMatch(requirements.excluded()::containsAll)) {
				return false;
			}
			EndpointTable.Grant grant = this.table.acquire(requirements);
			if (grant == null) {
				unservable.add(requirements.excluded());
				return false;
			}
			return ticket.attachment().granted.complete(grant);
		}, now) != null) {
			continue;
		}
	}

	private Either<CallResult.NotRun, EndpointTable.Grant> acquireRateLimited(EndpointRequirements requirements,
			long waitDeadlineMillis) {
		while (true) {
			EndpointTable.Grant grant = this.rateSlots.acquire(requirements);
			if (grant == null && requirements.origin().isInteractive()) {
				grant = this.rateSlots.reserve(requirements, waitDeadlineMillis);
			}
			if (grant != null) {
				return Either.right(grant);
			}
			long now = this.clock.millis();
			long slotDelayMillis = this.table.slotDelayMillis(requirements);
			if (slotDelayMillis > 0 && now + slotDelayMillis > waitDeadlineMillis) {
				return Either.left(new CallResult.NotRun(CallResult.NotRun.RATE_LIMITED, slotDelayMillis));
			}
			if (now >= waitDeadlineMillis || this.table.eligibleCount(requirements) == 0) {
				return Either.left(NO_ENDPOINT);
			}
			try {
				TimeUnit.MILLISECONDS.sleep(RATE_POLL_INTERVAL_MILLIS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return Either.left(NO_ENDPOINT);
			}
		}
	}

	private CallResult.NotRun refusal(ServiceQueue queue, SlotQueue.Refused refused) {
		this.counters
			.counter("queue_refusals_total{service=\"" + queue.service + "\",reason=\"" + refused.reason().label()
					+ "\"}")
			.inc();
		return new CallResult.NotRun("no-endpoint", refused.retryAfterMillis());
	}

	private SlotQueue.Request queueRequest(ServiceRequest request, boolean accepted, long waitDeadlineMillis) {
		RoutingTable current = this.routing.get();
		int priority = (current != null) ? current.priority(request.host(), request.path(), request.workspace()) : 0;
		return new SlotQueue.Request((request.workspace() != null) ? request.workspace() : "", priority,
				request.origin().isInteractive(), accepted, request.deadlineMillis(), waitDeadlineMillis);
	}

	private SlotQueue.Supply supply(String service, boolean slotFree) {
		return new SlotQueue.Supply(this.table.runningCount(service), slotFree);
	}

	private synchronized ServiceQueue queue(String service) {
		return this.queues.computeIfAbsent(service, (name) -> {
			ServiceQueue created = new ServiceQueue(name, SlotQueue.create(this.random));
			this.counters.gauge("queued_requests{service=\"" + name + "\"}", () -> {
				synchronized (this) {
					return created.waiting.size();
				}
			});
			return created;
		});
	}

	private static final class ServiceQueue {

		private final String service;

		private final SlotQueue<Waiter> waiting;

		private Set<String> loggedHeld = new HashSet<>();

		private long dispatchedAtMillis;

		private ServiceQueue(String service, SlotQueue<Waiter> waiting) {
			this.service = service;
			this.waiting = waiting;
		}

	}

	private static final class Waiter {

		private final EndpointRequirements requirements;

		private final CompletableFuture<EndpointTable.Grant> granted = new CompletableFuture<>();

		private Waiter(EndpointRequirements requirements) {
			this.requirements = requirements;
		}

	}

}
