package org.bamboorelay.host.request;

import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.bamboorelay.core.process.EndpointDemand;
import org.bamboorelay.core.process.EndpointTable;
import org.bamboorelay.core.time.Clock;
import org.jspecify.annotations.Nullable;

/**
 * Waits for an endpoint that has room for a request.
 * <p>
 * Thread-safe.
 */
final class EndpointWait {

	/** The longest wait for a free endpoint, as a share of the time that is left. */
	private static final double WAIT_SHARE = 0.25;

	/** Pause before endpoints are looked at again, in milliseconds. */
	private static final long POLL_MILLIS = 5;

	private final EndpointTable table;

	private final Clock clock;

	EndpointWait(EndpointTable table, Clock clock) {
		this.table = Objects.requireNonNull(table, "table");
		this.clock = Objects.requireNonNull(clock, "clock");
	}

	/**
	 * Tells how long a request may wait.
	 * @param endMillis when its time is up, by the clock of the process
	 * @return when its wait ends, by the same clock
	 */
	long until(long endMillis) {
		long now = this.clock.millis();
		return now + (long) (WAIT_SHARE * (endMillis - now));
	}

	/**
	 * Waits for an endpoint.
	 * @param service the service
	 * @param tried endpoints that are not to be used
	 * @param waitEnd when the wait ends, by the clock of the process
	 * @return the endpoint; null where none came free, or none could ever take the
	 * request
	 */
	EndpointTable.@Nullable Grant acquire(String service, Set<String> tried, long waitEnd) {
		EndpointDemand demand = EndpointDemand.plain(service, tried);
		while (true) {
			EndpointTable.Grant grant = this.table.acquire(demand);
			if (grant != null || this.clock.millis() >= waitEnd || this.table.usable(demand) == 0) {
				return grant;
			}
			try {
				TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return null;
			}
		}
	}

}
