package org.bamboorelay.core.process;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.core.time.Clock;

/**
 * Detects requests that end each endpoint that runs them, by the ends of endpoints under
 * all repetitions of a request at all hosts. A request is a suspect after its first end,
 * and rejected after its third. An end does not count if the same start of the endpoint
 * responds to a request sent shortly after it: then only a connection was lost. A
 * response to the request itself clears it, so that a sound request that was running when
 * endpoints ended for other reasons is not rejected.
 * <p>
 * Thread-safe; guarded by its own lock.
 */
public final class PoisonRequestDetector {

	/** Number of ends after which a request is rejected. */
	public static final int ENDS_UNTIL_REJECTION = 3;

	/**
	 * Time after the last end for which a request is rejected, in milliseconds. After it
	 * the request is a suspect with one end less than that.
	 */
	static final long REJECTION_MILLIS = 3_600_000;

	/** Time after its last end for which a suspect is remembered, in milliseconds. */
	static final long RETENTION_MILLIS = 2 * REJECTION_MILLIS;

	/**
	 * Time after an end in which a response shows that the endpoint lives, in
	 * milliseconds. An endpoint that ended takes longer to start under the same id.
	 */
	static final long SIGN_OF_LIFE_MILLIS = 1_000;

	/**
	 * Time after an end for which the endpoint counts as missing, in milliseconds, as the
	 * directory reports it later.
	 */
	static final long MISSING_MILLIS = 4_000;

	/**
	 * Time after its last end for which a suspect waits until its service can spare an
	 * endpoint, in milliseconds; a few starts of an endpoint.
	 */
	static final long HOLD_MILLIS = 10_000;

	/** Maximum number of suspects that are remembered. */
	private static final int MAX_SUSPECTS = 1_024;

	private final Clock clock;

	private final Map<String, List<End>> suspects = new LinkedHashMap<>();

	private final Map<String, Integer> runningSuspects = new HashMap<>();

	private PoisonRequestDetector(Clock clock) {
		this.clock = Objects.requireNonNull(clock, "clock");
	}

	/**
	 * Creates a detector without suspects.
	 * @param clock the monotonic clock of the process
	 * @return the detector
	 */
	public static PoisonRequestDetector create(Clock clock) {
		return new PoisonRequestDetector(clock);
	}

	/**
	 * Returns whether there are no suspects, in which case requests need no fingerprint.
	 * @return whether there are none
	 */
	public synchronized boolean isEmpty() {
		return this.suspects.isEmpty();
	}

	/**
	 * Returns the number of endpoints that ended under a request.
	 * @param fingerprint the fingerprint of the request
	 * @return the number of ends that count against it
	 */
	public synchronized int ends(String fingerprint) {
		List<End> ends = this.suspects.get(fingerprint);
		if (ends == null) {
			return 0;
		}
		long ageMillis = this.clock.millis() - lastEndMillis(ends);
		if (ageMillis >= RETENTION_MILLIS) {
			this.suspects.remove(fingerprint);
			return 0;
		}
		return (ageMillis >= REJECTION_MILLIS) ? Math.min(ends.size(), ENDS_UNTIL_REJECTION - 1) : ends.size();
	}

	/**
	 * Returns how long a request is still rejected.
	 * @param fingerprint the fingerprint of the request
	 * @return the time, in milliseconds; 0 if the request is not rejected
	 */
	public synchronized long rejectionMillis(String fingerprint) {
		if (ends(fingerprint) < ENDS_UNTIL_REJECTION) {
			return 0;
		}
		return lastEndMillis(this.suspects.get(fingerprint)) + REJECTION_MILLIS - this.clock.millis();
	}

	/**
	 * Returns how long a suspect whose next end would reject it still waits for the
	 * service to spare an endpoint.
	 * @param fingerprint the fingerprint of the request
	 * @return the time, in milliseconds; 0 if the request needs not wait
	 */
	public synchronized long holdMillis(String fingerprint) {
		if (ends(fingerprint) != ENDS_UNTIL_REJECTION - 1) {
			return 0;
		}
		return Math.max(0, lastEndMillis(this.suspects.get(fingerprint)) + HOLD_MILLIS - this.clock.millis());
	}

	/**
	 * Handles an endpoint that ended while it had a request.
	 * @param fingerprint the fingerprint of the request
	 * @param endpoint the endpoint
	 * @param startedAtMillis its start time, in milliseconds since the epoch
	 * @return whether this end was not known
	 */
	public synchronized boolean onEnd(String fingerprint, String endpoint, long startedAtMillis) {
		return add(fingerprint, new End(endpoint, startedAtMillis, this.clock.millis()));
	}

	/**
	 * Handles a complete response to a request, which therefore ends no endpoints.
	 * @param fingerprint the fingerprint of the request
	 * @return whether it was a suspect
	 */
	public synchronized boolean onServed(String fingerprint) {
		return this.suspects.remove(fingerprint) != null;
	}

	/**
	 * Handles the response of an endpoint to any request.
	 * @param endpoint the endpoint
	 * @param startedAtMillis its start time, in milliseconds since the epoch
	 * @param sentMillis the time at which the request was sent, in milliseconds of the
	 * clock
	 */
	public synchronized void onSignOfLife(String endpoint, long startedAtMillis, long sentMillis) {
		if (this.suspects.isEmpty()) {
			return;
		}
		this.suspects.values()
			.forEach((ends) -> ends
				.removeIf((end) -> end.endpoint().equals(endpoint) && end.startedAtMillis() == startedAtMillis
						&& sentMillis > end.atMillis() && sentMillis - end.atMillis() < SIGN_OF_LIFE_MILLIS));
		this.suspects.values().removeIf(List::isEmpty);
	}

	/**
	 * Records that this host sends a suspect to an endpoint.
	 * @param endpoint the endpoint
	 */
	public synchronized void onSuspectSent(String endpoint) {
		this.runningSuspects.merge(endpoint, 1, Integer::sum);
	}

	/**
	 * Records that a suspect no longer runs at an endpoint.
	 * @param endpoint the endpoint
	 */
	public synchronized void onSuspectDone(String endpoint) {
		this.runningSuspects.computeIfPresent(endpoint, (unused, count) -> (count > 1) ? count - 1 : null);
	}

	/**
	 * Returns the endpoints that must not get another suspect. If two suspects run at an
	 * endpoint when it ends, both are blamed.
	 * @return the endpoints at which a suspect of this host runs
	 */
	public synchronized Set<String> endpointsWithSuspect() {
		return Set.copyOf(this.runningSuspects.keySet());
	}

	/**
	 * Returns the endpoints that ended recently under a suspect.
	 * @return the endpoints, which the directory may still list
	 */
	public synchronized Set<String> missingEndpoints() {
		Set<String> missing = new HashSet<>();
		long now = this.clock.millis();
		this.suspects.values()
			.forEach((ends) -> ends.stream()
				.filter((end) -> now - end.atMillis() < MISSING_MILLIS)
				.forEach((end) -> missing.add(end.endpoint())));
		return missing;
	}

	/**
	 * Returns the reports for a host that may not know the suspects.
	 * @return a report of each end that is remembered
	 */
	public synchronized List<PeerMessage.EndpointEnd> reports() {
		List<PeerMessage.EndpointEnd> reports = new ArrayList<>();
		long now = this.clock.millis();
		this.suspects
			.forEach((fingerprint, ends) -> ends.forEach((end) -> reports.add(new PeerMessage.EndpointEnd(fingerprint,
					end.endpoint(), end.startedAtMillis(), now - end.atMillis()))));
		return reports;
	}

	/**
	 * Handles the report of another host.
	 * @param report the report
	 * @return whether the end was not known
	 */
	public synchronized boolean onReport(PeerMessage.EndpointEnd report) {
		if (report.ageMillis() >= RETENTION_MILLIS) {
			return false;
		}
		return add(report.fingerprint(),
				new End(report.endpoint(), report.startedAtMillis(), this.clock.millis() - report.ageMillis()));
	}

	private boolean add(String fingerprint, End added) {
		List<End> ends = this.suspects.computeIfAbsent(fingerprint, (unused) -> new ArrayList<>());
		boolean known = ends.stream()
			.anyMatch((end) -> end.endpoint().equals(added.endpoint())
					&& end.startedAtMillis() == added.startedAtMillis());
		if (!known) {
			ends.add(added);
		}
		if (this.suspects.size() > MAX_SUSPECTS) {
			this.suspects.remove(this.suspects.keySet().iterator().next());
		}
		return !known;
	}

	private static long lastEndMillis(List<End> ends) {
		return ends.stream().mapToLong(End::atMillis).max().orElse(Long.MIN_VALUE / 2);
	}

	private record End(String endpoint, long startedAtMillis, long atMillis) {
	}

}
