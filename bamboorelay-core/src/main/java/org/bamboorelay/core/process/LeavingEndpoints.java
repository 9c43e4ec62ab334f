package org.bamboorelay.core.process;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

import org.bamboorelay.core.time.Clock;

/**
 * The endpoints that said in an answer that they leave. What the directory says of an
 * endpoint may be older than its own word, so only a later start of it takes the word
 * back.
 * <p>
 * Not thread-safe.
 */
final class LeavingEndpoints {

	/** Starts that are remembered; several times the endpoints of a deployment. */
	private static final int REMEMBERED = 2_048;

	/**
	 * Time in which other hosts are told, in milliseconds: several statuses, also through
	 * a relay.
	 */
	static final long SHARED_MILLIS = 5_000;

	private final Clock clock;

	private final Map<String, Start> starts = new LinkedHashMap<>();

	LeavingEndpoints(Clock clock) {
		this.clock = Objects.requireNonNull(clock, "clock");
	}

	/**
	 * Notes that an endpoint said that it leaves.
	 * @param id the endpoint
	 * @param bornMillis its start, in milliseconds since the epoch
	 * @param own whether this host heard it, and tells the others
	 * @return whether that was not known
	 */
	boolean add(String id, long bornMillis, boolean own) {
		Start known = this.starts.get(id);
		if (known != null && known.bornMillis() >= bornMillis) {
			return false;
		}
		this.starts.remove(id);
		this.starts.put(id, new Start(bornMillis, own ? this.clock.millis() : Long.MIN_VALUE / 2));
		if (this.starts.size() > REMEMBERED) {
			this.starts.remove(this.starts.keySet().iterator().next());
		}
		return true;
	}

	/**
	 * Tells whether an endpoint said that it leaves.
	 * @param id the endpoint
	 * @param bornMillis its start, in milliseconds since the epoch
	 * @return whether it did since that start
	 */
	boolean contains(String id, long bornMillis) {
		Start known = this.starts.get(id);
		return known != null && known.bornMillis() >= bornMillis;
	}

	/**
	 * Returns what other hosts are to be told.
	 * @return the start of each endpoint that this host heard lately
	 */
	Map<String, Long> shared() {
		Map<String, Long> shared = new HashMap<>();
		long now = this.clock.millis();
		this.starts.forEach((id, start) -> {
			if (now - start.heardMillis() < SHARED_MILLIS) {
				shared.put(id, start.bornMillis());
			}
		});
		return shared;
	}

	private record Start(long bornMillis, long heardMillis) {
	}

}
