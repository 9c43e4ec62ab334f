package org.bamboorelay.host.request;

import java.util.HashSet;
import java.util.Objects;
import java.util.Set;

import io.vavr.control.Either;
import org.bamboorelay.core.process.EndpointTable;
import org.bamboorelay.core.time.Clock;
import org.bamboorelay.host.connection.EndpointRequest;
import org.bamboorelay.host.connection.EndpointResponse;
import org.bamboorelay.host.process.EventLog;
import org.bamboorelay.runtime.connection.ExchangeOptions;
import org.bamboorelay.runtime.connection.HttpExchange;
import org.bamboorelay.runtime.connection.HttpFailure;
import org.bamboorelay.runtime.connection.HttpLimits;
import org.bamboorelay.runtime.process.Counters;
import org.jspecify.annotations.Nullable;

/**
 * Sends a request to the endpoints of a service until one responds. A request that is not
 * idempotent is retried only if the endpoint reported that it did not execute it, or if
 * no byte was sent.
 * <p>
 * Thread-safe.
 */
public final class EndpointClient {

	/**
	 * Retry delay reported to the caller if no endpoint had a free slot, in milliseconds.
	 */
	private static final long RETRY_AFTER_MILLIS = 200;

	/**
	 * Share of the remaining time to wait for a response on a reused connection, so that
	 * a stalled connection leaves time to try another endpoint.
	 */
	private static final double REUSED_CONNECTION_WAIT_SHARE = 0.5;

	/**
	 * Minimum wait on a reused connection, in milliseconds; several times the duration of
	 * a request.
	 */
	private static final long MIN_REUSED_CONNECTION_WAIT_MILLIS = 300;

	/** Minimum remaining time for which another attempt is made, in milliseconds. */
	private static final long MIN_ATTEMPT_MILLIS = 5;

	private final EndpointTable table;

	private final EndpointAcquirer acquirer;

	private final PoisonGuard poisonGuard;

	private final EndpointExchanges exchanges;

	private final Clock clock;

	private final Counters counters;

	private final EventLog log;

	private final @Nullable HedgedCalls hedgedCalls;

	private EndpointClient(EndpointTable table, EndpointAcquirer acquirer, PoisonGuard poisonGuard,
			EndpointExchanges exchanges, Clock clock, Counters counters, EventLog log,
			@Nullable HedgedCalls hedgedCalls) {
		this.table = Objects.requireNonNull(table, "table");
		this.poisonGuard = Objects.requireNonNull(poisonGuard, "poisonGuard");
		this.exchanges = Objects.requireNonNull(exchanges, "exchanges");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.counters = Objects.requireNonNull(counters, "counters");
		this.log = Objects.requireNonNull(log, "log");
		this.hedgedCalls = hedgedCalls;
		this.acquirer = Objects.requireNonNull(acquirer, "acquirer");
	}

	/**
	 * Creates a client.
	 * @param table the table of endpoints
	 * @param acquirer acquires slots at endpoints, shared by all requests of the process
	 * @param poisonGuard refuses requests that crash endpoints
	 * @param exchanges sends requests to single endpoints
	 * @param clock the monotonic clock of the process
	 * @param counters the metrics of the process
	 * @param log the log of the process
	 * @param hedgedCalls sends copies of slow requests; null if requests are not hedged
	 * @return the client
	 */
	public static EndpointClient of(EndpointTable table, EndpointAcquirer acquirer, PoisonGuard poisonGuard,
			EndpointExchanges exchanges, Clock clock, Counters counters, EventLog log,
			@Nullable HedgedCalls hedgedCalls) {
		return new EndpointClient(table, acquirer, poisonGuard, exchanges, clock, counters, log, hedgedCalls);
	}

	/**
	 * Sends a request, and retries it on other endpoints where that is safe.
	 * @param request the request
	 * @return the outcome
	 */
	public CallResult call(ServiceRequest request) {
		Set<String> triedEndpoints = new HashSet<>();
		CallResult last = null;
		int runs = 0;
		long waitDeadlineMillis = this.acquirer.waitDeadline(request.deadlineMillis());
		HedgedCalls hedging = (this.hedgedCalls != null && this.hedgedCalls.begin(request)) ? this.hedgedCalls : null;
		while (triedEndpoints.size() < request.maxAttempts()) {
			Either<CallResult.NotRun, EndpointTable.Grant> acquired = this.poisonGuard.admit(request, triedEndpoints)
				.flatMap((excluded) -> this.acquirer.acquire(request, excluded, waitDeadlineMillis));
			if (acquired.isLeft()) {
				return CallResult.mostUncertain(last, acquired.getLeft());
			}
			EndpointTable.Grant grant = acquired.get();
			triedEndpoints.add(grant.id());
			long remainingMillis = request.deadlineMillis() - this.clock.millis();
			if (remainingMillis < MIN_ATTEMPT_MILLIS) {
				this.table.release(grant, EndpointTable.Outcome.ABANDONED);
				return CallResult.mostUncertain(last, new CallResult.NotRun("time-is-up", RETRY_AFTER_MILLIS));
			}
			CallResult result;
			if (hedging != null) {
				result = hedging.call(request, grant, triedEndpoints,
						(endpoint, observer) -> attempt(request, endpoint, observer));
				// A request gets one copy.
				hedging = (triedEndpoints.size() > ++runs) ? null : hedging;
			}
			else {
				result = attempt(request, grant, request.onAbort()::accept);
			}
			if (isFinal(request, result, triedEndpoints.size())) {
				return result;
			}
			this.counters.counter("endpoint_retries_total").inc();
			last = CallResult.mostUncertain(last, result);
		}
		return (last != null) ? last : new CallResult.NotRun("no-attempts", RETRY_AFTER_MILLIS);
	}

	private static boolean isFinal(ServiceRequest request, CallResult result, int attempts) {
		if (result instanceof CallResult.Responded responded) {
			return responded.response().status() < 500 || !request.idempotent() || attempts >= request.maxAttempts();
		}
		return result instanceof CallResult.Unknown unknown && (!request.idempotent() || unknown.timedOut());
	}

	private CallResult attempt(ServiceRequest request, EndpointTable.Grant grant, AttemptObserver observer) {
		EndpointTable.Outcome outcome = EndpointTable.Outcome.FAILED;
		long start = this.clock.millis();
		long remainingMillis = Math.max(1, request.deadlineMillis() - start);
		this.counters.counter("endpoint_requests_total", "origin", request.origin().label()).inc();
		boolean suspect = this.poisonGuard.onSent(request, grant);
		try {
			EndpointRequest call = new EndpointRequest(request.id(), request.method(), request.host(), request.path(),
					request.headers(), request.workspace(), grant.id(), remainingMillis, 0, request.body());
			Either<HttpFailure, EndpointExchanges.EndpointExchange> result = this.exchanges.open(grant, call,
					ExchangeOptions.of(request.idempotent(), (int) Math.min(Integer.MAX_VALUE, remainingMillis))
						.withTotalTimeoutMillis(remainingMillis)
						.withReusedHeadTimeoutMillis(Math.max(MIN_REUSED_CONNECTION_WAIT_MILLIS,
								(long) (remainingMillis * REUSED_CONNECTION_WAIT_SHARE))),
					observer);
			if (result.isLeft()) {
				if (this.clock.millis() >= request.deadlineMillis()) {
					outcome = EndpointTable.Outcome.OUT_OF_TIME;
				}
				return failedAttempt(request, grant, observer, result.getLeft(), start);
			}
			EndpointResponse response = result.get().response();
			try (HttpExchange exchange = result.get().http()) {
				Either<HttpFailure, byte[]> body = exchange.readFully(HttpLimits.MAX_RESPONSE_BYTES);
				observer.onResponseRead();
				if (response.notExecuted()) {
					outcome = EndpointTable.Outcome.REFUSED;
					this.log.info("endpoint-refused", "request_id", request.id(), "endpoint", grant.id(), "status",
							response.status());
					return new CallResult.NotRun("endpoint-refused", RETRY_AFTER_MILLIS);
				}
				if (body.isLeft()) {
					return failedAttempt(request, grant, observer, body.getLeft(), start);
				}
				outcome = EndpointTable.Outcome.SERVED;
				this.poisonGuard.onServed(request);
				return new CallResult.Responded(response, body.get());
			}
		}
		finally {
			this.poisonGuard.onDone(grant, suspect);
			this.table.release(grant, (outcome != EndpointTable.Outcome.SERVED && observer.isCancelled())
					? EndpointTable.Outcome.ABANDONED : outcome);
		}
	}

	private CallResult failedAttempt(ServiceRequest request, EndpointTable.Grant grant, AttemptObserver observer,
			HttpFailure failure, long start) {
		if (observer.isCancelled()) {
			this.log.info("endpoint-run-cancelled", "request_id", request.id(), "endpoint", grant.id(), "after_ms",
					this.clock.millis() - start, "code", failure.code());
			return (failure instanceof HttpFailure.NotSent) ? new CallResult.NotRun("cancelled", RETRY_AFTER_MILLIS)
					: new CallResult.Unknown("cancelled", false);
		}
		this.log.info("endpoint-failed", "request_id", request.id(), "endpoint", grant.id(), "address", grant.address(),
				"after_ms", this.clock.millis() - start, "code", failure.code(), "detail", failure.detail());
		if (failure instanceof HttpFailure.Broken broken && broken.connectionEnded()) {
			this.poisonGuard.onConnectionEnded(request, grant);
		}
		if (failure instanceof HttpFailure.NotSent) {
			return new CallResult.NotRun("endpoint-unreachable", RETRY_AFTER_MILLIS);
		}
		return new CallResult.Unknown("endpoint-broke", this.clock.millis() >= request.deadlineMillis());
	}

}
