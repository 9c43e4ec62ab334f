package org.bamboorelay.core.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.bamboorelay.core.version.EndpointId;

/**
 * Ejects endpoints of one service after consecutive failures, for a time that doubles
 * with each ejection. At most a third of the endpoints is ejected at once, so that a
 * fault common to all endpoints does not leave the service without endpoints.
 * <p>
 * Not thread-safe; guarded by the shard of the service.
 */
public final class OutlierEjection {

	private static final int FAILURES_BEFORE_EJECTION = 5;

	private static final int MAX_EJECTED_DIVISOR = 3;

	private static final long FIRST_EJECTION_MILLIS = 1_000;

	private static final long MAX_EJECTION_MILLIS = 60_000;

	private final Map<EndpointId, FailureRecord> records = new HashMap<>();

	private OutlierEjection() {
	}

	/**
	 * Creates an ejection without recorded failures.
	 * @return the ejection
	 */
	public static OutlierEjection create() {
		return new OutlierEjection();
	}

	/**
	 * Records a complete response.
	 * @param endpoint the endpoint
	 */
	public void onResponse(EndpointId endpoint) {
		this.records.remove(endpoint);
	}

	/**
	 * Records a failure.
	 * @param endpoint the endpoint
	 * @param serviceSize the number of endpoints of the service
	 * @param nowMillis the time, in milliseconds
	 * @return whether this failure ejects the endpoint
	 */
	public boolean onFailure(EndpointId endpoint, int serviceSize, long nowMillis) {
		FailureRecord failureRecord = this.records.computeIfAbsent(endpoint, (unused) -> new FailureRecord());
		failureRecord.failures++;
		if (failureRecord.failures < FAILURES_BEFORE_EJECTION || nowMillis < failureRecord.ejectedUntilMillis
				|| ejected(nowMillis).size() + 1 > serviceSize / MAX_EJECTED_DIVISOR) {
			return false;
		}
		failureRecord.ejectionMillis = (failureRecord.ejectionMillis == 0) ? FIRST_EJECTION_MILLIS
				: Math.min(MAX_EJECTION_MILLIS, failureRecord.ejectionMillis * 2);
		failureRecord.ejectedUntilMillis = nowMillis + failureRecord.ejectionMillis;
		failureRecord.failures = 0;
		return true;
	}

	/**
	 * Returns the ejected endpoints.
	 * @param nowMillis the time, in milliseconds
	 * @return the endpoints
	 */
	public List<EndpointId> ejected(long nowMillis) {
		List<EndpointId> ejected = new ArrayList<>();
		this.records.forEach((endpoint, failureRecord) -> {
			if (nowMillis < failureRecord.ejectedUntilMillis) {
				ejected.add(endpoint);
			}
		});
		return ejected;
	}

	/**
	 * Removes the records of endpoints that no longer exist.
	 * @param existing the endpoints of the service
	 */
	public void retain(Set<EndpointId> existing) {
		this.records.keySet().retainAll(existing);
	}

	private static final class FailureRecord {

		private int failures;

		private long ejectedUntilMillis = Long.MIN_VALUE;

		private long ejectionMillis;

	}

}
