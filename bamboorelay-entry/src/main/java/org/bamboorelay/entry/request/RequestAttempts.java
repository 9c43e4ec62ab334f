package org.bamboorelay.entry.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.Function;

import io.vavr.control.Either;
import org.bamboorelay.core.failure.Refusal;
import org.bamboorelay.core.failure.RefusalReason;
import org.bamboorelay.core.failure.RetryReason;
import org.bamboorelay.core.failure.RunState;
import org.bamboorelay.core.request.RetryBudget;
import org.bamboorelay.core.version.EndpointId;
import org.bamboorelay.runtime.process.Counters;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What the attempts of one request share: the endpoints that failed, whether one of them
 * may have run the request, and the rule for a further attempt.
 * <p>
 * Used by one thread.
 */
abstract class RequestAttempts {

	private static final Logger LOG = LoggerFactory.getLogger(RequestAttempts.class);

	private static final int MAX_ATTEMPTS = 3;

	private static final long RETRY_AFTER_MILLIS = 1_000;

	private final CallerRequest request;

	private final CreditSource credits;

	private final RetryBudget budget;

	private final Counters counters;

	private final List<EndpointId> excluded = new ArrayList<>();

	private int attempts;

	private boolean mayHaveRun;

	RequestAttempts(CallerRequest request, CreditSource credits, RetryBudget budget, Counters counters) {
		this.request = request;
		this.credits = credits;
		this.budget = budget;
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
			.addKeyValue("run", refusal.run().code())
			.log("request.refused");
	}

	final CallerRequest request() {
		return this.request;
	}

	final boolean isAllowed() {
		return this.request.stillAllowed().getAsBoolean();
	}

	/**
	 * Asks for an endpoint that has not failed this request, for one more attempt.
	 * @param wanted takes the failed endpoints and returns what is asked for
	 * @return the credit, or a refusal that is true for all attempts so far
	 */
	final Either<Refusal, Credit> acquire(Function<List<EndpointId>, RouteRequest> wanted) {
		Either<Refusal, Credit> credit = this.credits.acquire(wanted.apply(this.excluded));
		if (credit.isLeft()) {
			return Either.left(truthful(credit.getLeft()));
		}
		if (!isAllowed()) {
			credit.get().end(Credit.Outcome.UNUSED, 0, 0);
			return Either.left(withdrawn());
		}
		this.attempts++;
		return credit;
	}

	/**
	 * Returns the id of the present attempt. Each has its own, so that a late answer to
	 * an earlier one is not taken for this one's.
	 * @return the id
	 */
	final String attemptId() {
		return (this.attempts == 1) ? this.request.requestId() : this.request.requestId() + "-r" + this.attempts;
	}

	/**
	 * Notes that the present attempt failed.
	 * @param endpoint the endpoint, which gets no further attempt
	 * @param ran whether it may have run the request
	 */
	final void failed(EndpointId endpoint, boolean ran) {
		this.mayHaveRun |= ran;
		this.excluded.add(endpoint);
	}

	/**
	 * Tells whether another attempt is made, and counts it.
	 * @param reason why
	 * @return false where the attempts or the budget of retries are used up
	 */
	final boolean tryAgain(RetryReason reason) {
		if (this.attempts >= MAX_ATTEMPTS || !this.budget.tryRetry()) {
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
	 * Makes a refusal true for all attempts: after one that may have run, the outcome is
	 * unknown.
	 * @param refusal the refusal of the last attempt
	 * @return the refusal of the request
	 */
	final Refusal truthful(Refusal refusal) {
		return this.mayHaveRun
				? new Refusal(refusal.reason(), RunState.UNKNOWN, refusal.retryAfterMillis(), refusal.detail())
				: refusal;
	}

	final Refusal noEndpoint(String detail) {
		return truthful(Refusal.notRun(RefusalReason.NO_ENDPOINT, detail).withRetryAfter(RETRY_AFTER_MILLIS));
	}

	final Refusal withdrawn() {
		return truthful(Refusal.notRun(RefusalReason.WITHDRAWN_KEY, "the key was withdrawn"));
	}

}
