package org.bamboorelay.core.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.bamboorelay.core.version.EndpointId;

/**
 * Ejects endpoints of one service that fail again and again, for a time that doubles with
 * each ejection. At most a third of the service is ejected at once, so that a fault that
 * all endpoints share does not empty the service.
 * <p>
 * Not thread-safe; guarded by the shard of the service.
 */
public final class OutlierEjection {

	private static final int FAILURES = 5;

	private static final int MAX_SHARE = 3;

	private static final long FIRST_MILLIS = 1_000;

	private static final long LONGEST_MILLIS = 60_000;

	private final Map<EndpointId, Record> records = new HashMap<>();

	private OutlierEjection() {
	}

	/**
	 * Creates an ejection that has seen no failure.
	 * @return the ejection
	 */
	public static OutlierEjection create() {
		return new OutlierEjection();
	}

	/**
	 * Takes a whole answer.
	 * @param endpoint the endpoint
	 */
	public void answered(EndpointId endpoint) {
		this.records.remove(endpoint);
	}

	/**
	 * Takes a failure.
	 * @param endpoint the endpoint
	 * @param serviceSize the endpoints of the service
	 * @param nowMillis the time, in milliseconds
	 * @return whether the endpoint is ejected by this failure
	 */
	public boolean failed(EndpointId endpoint, int serviceSize, long nowMillis) {
		Record entry = this.records.computeIfAbsent(endpoint, (unused) -> new Record());
		entry.failures++;
		if (entry.failures < FAILURES || nowMillis < entry.untilMillis
				|| ejected(nowMillis).size() + 1 > serviceSize / MAX_SHARE) {
			return false;
		}
		entry.lengthMillis = (entry.lengthMillis == 0) ? FIRST_MILLIS
				: Math.min(LONGEST_MILLIS, entry.lengthMillis * 2);
		entry.untilMillis = nowMillis + entry.lengthMillis;
		entry.failures = 0;
		return true;
	}

	/**
	 * Returns the ejected endpoints.
	 * @param nowMillis the time, in milliseconds
	 * @return the endpoints
	 */
	public List<EndpointId> ejected(long nowMillis) {
		List<EndpointId> ejected = new ArrayList<>();
		this.records.forEach((endpoint, entry) -> {
			if (nowMillis < entry.untilMillis) {
				ejected.add(endpoint);
			}
		});
		return ejected;
	}

	/**
	 * Forgets endpoints that no longer exist.
	 * @param existing the endpoints of the service
	 */
	public void retain(Set<EndpointId> existing) {
		this.records.keySet().retainAll(existing);
	}

	private static final class Record {

		private int failures;

		private long untilMillis = Long.MIN_VALUE;

		private long lengthMillis;

	}

}
