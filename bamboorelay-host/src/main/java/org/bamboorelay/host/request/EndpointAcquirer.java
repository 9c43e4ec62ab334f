package org.bamboorelay.host.request;

import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.vavr.control.Either;
import org.bamboorelay.core.process.EndpointRequirements;
import org.bamboorelay.core.process.EndpointTable;
import org.bamboorelay.core.request.RequestOrigin;
import org.bamboorelay.core.time.Clock;

/**
 * Acquires a slot at an endpoint, waiting until one is free. A request that cannot get
 * one in time, because its endpoints limit their rate, is refused at once.
 * <p>
 * Thread-safe.
 */
final class EndpointAcquirer {

	/** Maximum wait for a free slot, as a share of the remaining time of the request. */
	private static final double MAX_WAIT_SHARE = 0.25;

	/** Interval between two attempts to acquire a slot, in milliseconds. */
	private static final long POLL_INTERVAL_MILLIS = 5;

	/**
	 * Retry delay reported if it is not known when an endpoint will be free, in
	 * milliseconds.
	 */
	private static final long RETRY_AFTER_MILLIS = 200;

	private static final CallResult.NotRun NO_ENDPOINT = new CallResult.NotRun("no-endpoint", RETRY_AFTER_MILLIS);

	private final EndpointTable table;

	private final RateSlots rateSlots;

	private final Clock clock;

	EndpointAcquirer(EndpointTable table, RateSlots rateSlots, Clock clock) {
		this.table = Objects.requireNonNull(table, "table");
		this.rateSlots = Objects.requireNonNull(rateSlots, "rateSlots");
		this.clock = Objects.requireNonNull(clock, "clock");
	}

	/**
	 * Returns when a request must stop waiting for a slot.
	 * @param requestDeadlineMillis the deadline of the request, in milliseconds of the
	 * clock of the process
	 * @return the end of the wait, in milliseconds of the same clock
	 */
	long waitDeadline(long requestDeadlineMillis) {
		long now = this.clock.millis();
		return now + (long) (MAX_WAIT_SHARE * (requestDeadlineMillis - now));
	}

	/**
	 * Waits for a free slot at an endpoint.
	 * @param origin where the request comes from
	 * @param service the service
	 * @param excluded endpoints to exclude
	 * @param waitDeadlineMillis the end of the wait, in milliseconds of the clock of the
	 * process
	 * @return the grant of a slot, or the refusal if none becomes free in time or no
	 * endpoint could ever take the request
	 */
	Either<CallResult.NotRun, EndpointTable.Grant> acquire(RequestOrigin origin, String service, Set<String> excluded,
			long waitDeadlineMillis) {
		EndpointRequirements requirements = EndpointRequirements.plain(origin, service, excluded);
		while (true) {
			EndpointTable.Grant grant = this.rateSlots.acquire(requirements);
			if (grant == null && origin.isInteractive()) {
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
				TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return Either.left(NO_ENDPOINT);
			}
		}
	}

}
