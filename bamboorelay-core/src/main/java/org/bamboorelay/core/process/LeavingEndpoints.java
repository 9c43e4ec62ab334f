package org.bamboorelay.core.process;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

import org.bamboorelay.core.time.Clock;

/**
 * The endpoints that announced in a response that they are leaving. The directory entry
 * of an endpoint may be older than its announcement, so the announcement holds until a
 * later start of the endpoint.
 * <p>
 * Not thread-safe.
 */
final class LeavingEndpoints {

	/**
	 * Maximum number of starts kept; several times the number of endpoints of a
	 * deployment.
	 */
	private static final int MAX_REMEMBERED_STARTS = 2_048;

	/**
	 * Time for which an announcement is shared with other hosts, in milliseconds. It
	 * spans several status messages, including relayed ones.
	 */
	static final long SHARING_MILLIS = 5_000;

	private final Clock clock;

	private final Map<String, Start> starts = new LinkedHashMap<>();

	LeavingEndpoints(Clock clock) {
		this.clock = Objects.requireNonNull(clock, "clock");
	}

	/**
	 * Records that an endpoint announced that it is leaving.
	 * @param id the endpoint
	 * @param startedAtMillis its start time, in milliseconds since the epoch
	 * @param local whether this host received the announcement and shares it with others
	 * @return whether the announcement is new
	 */
	boolean add(String id, long startedAtMillis, boolean local) {
		Start known = this.starts.get(id);
		if (known != null && known.startedAtMillis() >= startedAtMillis) {
			return false;
		}
		this.starts.remove(id);
		this.starts.put(id, new Start(startedAtMillis, local ? this.clock.millis() : Long.MIN_VALUE / 2));
		if (this.starts.size() > MAX_REMEMBERED_STARTS) {
			this.starts.remove(this.starts.keySet().iterator().next());
		}
		return true;
	}

	/**
	 * Returns whether an endpoint announced that it is leaving.
	 * @param id the endpoint
	 * @param startedAtMillis its start time, in milliseconds since the epoch
	 * @return whether it announced this since that start
	 */
	boolean contains(String id, long startedAtMillis) {
		// Usually there is none; then the id is not read.
		Start known = this.starts.isEmpty() ? null : this.starts.get(id);
		return known != null && known.startedAtMillis() >= startedAtMillis;
	}

	/**
	 * Returns the announcements to share with other hosts.
	 * @return the start time of each endpoint whose announcement this host received
	 * recently
	 */
	Map<String, Long> shared() {
		Map<String, Long> shared = new HashMap<>();
		long now = this.clock.millis();
		this.starts.forEach((id, start) -> {
			if (now - start.announcedAtMillis() < SHARING_MILLIS) {
				shared.put(id, start.startedAtMillis());
			}
		});
		return shared;
	}

	private record Start(long startedAtMillis, long announcedAtMillis) {
	}

}
