package org.bamboorelay.host.request;

import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.bamboorelay.core.process.EndpointRequirements;
import org.bamboorelay.core.process.EndpointTable;
import org.bamboorelay.core.time.Clock;
import org.jspecify.annotations.Nullable;

/**
 * Acquires a slot at an endpoint, waiting until one is free.
 * <p>
 * Thread-safe.
 */
final class EndpointAcquirer {

	/** Maximum wait for a free slot, as a share of the remaining time of the request. */
	private static final double MAX_WAIT_SHARE = 0.25;

	/** Interval between two attempts to acquire a slot, in milliseconds. */
	private static final long POLL_INTERVAL_MILLIS = 5;

	private final EndpointTable table;

	private final Clock clock;

	EndpointAcquirer(EndpointTable table, Clock clock) {
		this.table = Objects.requireNonNull(table, "table");
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
	 * @param service the service
	 * @param excluded endpoints to exclude
	 * @param waitDeadlineMillis the end of the wait, in milliseconds of the clock of the
	 * process
	 * @return the grant of a slot; null if none became free, or if no endpoint could ever
	 * take the request
	 */
	EndpointTable.@Nullable Grant acquire(String service, Set<String> excluded, long waitDeadlineMillis) {
		EndpointRequirements requirements = EndpointRequirements.plain(service, excluded);
		while (true) {
			EndpointTable.Grant grant = this.table.acquire(requirements);
			if (grant != null || this.clock.millis() >= waitDeadlineMillis
					|| this.table.eligibleCount(requirements) == 0) {
				return grant;
			}
			try {
				TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return null;
			}
		}
	}

}
