package org.bamboorelay.entry.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.Function;

import io.vavr.control.Either;
import org.bamboorelay.core.failure.ExecutionState;
import org.bamboorelay.core.failure.Refusal;
import org.bamboorelay.core.failure.RefusalReason;
import org.bamboorelay.core.failure.RetryReason;
import org.bamboorelay.core.request.RetryBudget;
import org.bamboorelay.core.version.EndpointId;
import org.bamboorelay.runtime.process.Counters;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * State shared by the attempts of one request: the endpoints that failed, whether one of
 * them may have executed the request, and the retry limits.
 * <p>
 * Not thread-safe.
 */
abstract class RequestAttempts {

	private static final Logger LOG = LoggerFactory.getLogger(RequestAttempts.class);

	private static final int MAX_ATTEMPTS = 3;

	private static final long RETRY_AFTER_MILLIS = 1_000;

	private final CallerRequest request;

	private final CreditSource credits;

	private final RetryBudget retryBudget;

	private final Counters counters;

	private final List<EndpointId> excludedEndpoints = new ArrayList<>();

	private int attemptCount;

	private boolean mayHaveExecuted;

	RequestAttempts(CallerRequest request, CreditSource credits, RetryBudget budget, Counters counters) {
		this.request = request;
		this.credits = credits;
		this.retryBudget = budget;
		this.counters = counters;
	}

	/**
	 * Logs why a request was refused.
	 * @param request the request
	 * @param refusal the refusal
	 */
	static void logRefused(CallerRequest request, Refusal refusal) {
		LOG.atInfo()
			.addKeyValue("event", "request.refused")
			.addKeyValue("request_id", request.requestId())
			.addKeyValue("reason", refusal.code())
			.addKeyValue("run", refusal.executionState().code())
			.log("request.refused");
	}

	final CallerRequest request() {
		return this.request;
	}

	final boolean isKeyValid() {
		return this.request.stillAllowed().getAsBoolean();
	}

	/**
	 * Acquires a credit for the next attempt, at an endpoint that has not failed this
	 * request.
	 * @param requestFactory maps the failed endpoints to the request to route
	 * @return the credit, or a refusal whose execution state covers all attempts so far
	 */
	final Either<Refusal, Credit> acquire(Function<List<EndpointId>, RouteRequest> requestFactory) {
		Either<Refusal, Credit> credit = this.credits.acquire(requestFactory.apply(this.excludedEndpoints));
		if (credit.isLeft()) {
			return Either.left(withExecutionState(credit.getLeft()));
		}
		if (!isKeyValid()) {
			credit.get().end(Credit.Outcome.UNUSED, 0, 0);
			return Either.left(keyWithdrawn());
		}
		this.attemptCount++;
		return credit;
	}

	/**
	 * Returns the id of the current attempt. Each attempt has its own id, so that a late
	 * response to an earlier attempt is not mistaken for a response to this one.
	 * @return the id
	 */
	final String attemptId() {
		return (this.attemptCount == 1) ? this.request.requestId()
				: this.request.requestId() + "-r" + this.attemptCount;
	}

	/**
	 * Records that the current attempt failed.
	 * @param endpoint the endpoint, which is excluded from further attempts
	 * @param attemptMayHaveExecuted whether the endpoint may have executed the request
	 */
	final void recordFailure(EndpointId endpoint, boolean attemptMayHaveExecuted) {
		this.mayHaveExecuted |= attemptMayHaveExecuted;
		this.excludedEndpoints.add(endpoint);
	}

	/**
	 * Tells whether another attempt is permitted, and counts it.
	 * @param reason the reason of the retry
	 * @return false if the attempts or the retry budget are exhausted
	 */
	final boolean tryAcquireRetry(RetryReason reason) {
		if (this.attemptCount >= MAX_ATTEMPTS || !this.retryBudget.tryAcquire()) {
			return false;
		}
		this.counters.retry(Objects.requireNonNull(reason, "reason")).inc();
		LOG.atInfo()
			.addKeyValue("event", "request.retried")
			.addKeyValue("request_id", this.request.requestId())
			.addKeyValue("reason", reason.code())
			.log("request.retried");
		return true;
	}

	/**
	 * Adjusts the execution state of a refusal to all attempts: it is unknown if an
	 * earlier attempt may have been executed.
	 * @param refusal the refusal of the last attempt
	 * @return the refusal of the request
	 */
	final Refusal withExecutionState(Refusal refusal) {
		return this.mayHaveExecuted
				? new Refusal(refusal.reason(), ExecutionState.UNKNOWN, refusal.retryAfterMillis(), refusal.detail())
				: refusal;
	}

	final Refusal noEndpoint(String detail) {
		return withExecutionState(
				Refusal.notExecuted(RefusalReason.NO_ENDPOINT, detail).withRetryAfter(RETRY_AFTER_MILLIS));
	}

	final Refusal keyWithdrawn() {
		return withExecutionState(Refusal.notExecuted(RefusalReason.WITHDRAWN_KEY, "the key was withdrawn"));
	}

}
