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
 * Detects requests that crash each endpoint that runs them, by the crashes under all
 * repetitions of a request at all hosts. A request is a suspect after its first crash and
 * rejected after its third. A crash does not count if the same start of the endpoint
 * responds to a request sent shortly after it: then only a connection was lost. A
 * response to the request itself clears it, so that a sound request that was running when
 * endpoints crashed for other reasons is not rejected.
 * <p>
 * Thread-safe; guarded by its own lock.
 */
public final class PoisonRequestDetector {

	/** Number of crashes after which a request is rejected. */
	public static final int CRASHES_UNTIL_REJECTION = 3;

	/**
	 * Time after the last crash for which a request is rejected, in milliseconds. After
	 * it the request is a suspect with one crash less than that.
	 */
	static final long REJECTION_MILLIS = 3_600_000;

	/** Time after its last crash for which a suspect is remembered, in milliseconds. */
	static final long RETENTION_MILLIS = 2 * REJECTION_MILLIS;

	/**
	 * Time after a crash in which a response shows that the endpoint lives, in
	 * milliseconds. An endpoint that crashed takes longer to start under the same id.
	 */
	static final long SIGN_OF_LIFE_MILLIS = 1_000;

	/**
	 * Time after a crash for which the endpoint counts as missing, in milliseconds, as
	 * the directory reports it later.
	 */
	static final long MISSING_MILLIS = 4_000;

	/**
	 * Time after its last crash for which a suspect waits until its service can spare an
	 * endpoint, in milliseconds; a few starts of an endpoint.
	 */
	static final long HOLD_MILLIS = 10_000;

	/** Maximum number of suspects that are remembered. */
	private static final int MAX_SUSPECTS = 1_024;

	private final Clock clock;

	private final Map<String, List<Crash>> suspects = new LinkedHashMap<>();

	private final Map<String, Integer> runningSuspects = new HashMap<>();

	private long newestCrashMillis = Long.MIN_VALUE / 2;

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
		if (this.clock.millis() - this.newestCrashMillis >= RETENTION_MILLIS) {
			this.suspects.clear();
		}
		return this.suspects.isEmpty();
	}

	/**
	 * Returns the number of endpoints that crashed under a request.
	 * @param fingerprint the fingerprint of the request
	 * @return the number of crashes that count against it
	 */
	public synchronized int crashes(String fingerprint) {
		List<Crash> crashes = this.suspects.get(fingerprint);
		if (crashes == null) {
			return 0;
		}
		long ageMillis = this.clock.millis() - lastCrashMillis(crashes);
		if (ageMillis >= RETENTION_MILLIS) {
			this.suspects.remove(fingerprint);
			return 0;
		}
		return (ageMillis >= REJECTION_MILLIS) ? Math.min(crashes.size(), CRASHES_UNTIL_REJECTION - 1) : crashes.size();
	}

	/**
	 * Returns how long a request is still rejected.
	 * @param fingerprint the fingerprint of the request
	 * @return the time, in milliseconds; 0 if the request is not rejected
	 */
	public synchronized long rejectionMillis(String fingerprint) {
		if (crashes(fingerprint) < CRASHES_UNTIL_REJECTION) {
			return 0;
		}
		return lastCrashMillis(this.suspects.get(fingerprint)) + REJECTION_MILLIS - this.clock.millis();
	}

	/**
	 * Returns how long a suspect whose next crash would reject it still waits for the
	 * service to spare an endpoint.
	 * @param fingerprint the fingerprint of the request
	 * @return the time, in milliseconds; 0 if the request needs not wait
	 */
	public synchronized long holdMillis(String fingerprint) {
		if (crashes(fingerprint) != CRASHES_UNTIL_REJECTION - 1) {
			return 0;
		}
		return Math.max(0, lastCrashMillis(this.suspects.get(fingerprint)) + HOLD_MILLIS - this.clock.millis());
	}

	/**
	 * Handles an endpoint that crashed while it had a request.
	 * @param fingerprint the fingerprint of the request
	 * @param endpoint the endpoint
	 * @param startedAtMillis its start time, in milliseconds since the epoch
	 * @return whether this crash was not known
	 */
	public synchronized boolean onCrash(String fingerprint, String endpoint, long startedAtMillis) {
		return add(fingerprint, new Crash(endpoint, startedAtMillis, this.clock.millis()));
	}

	/**
	 * Handles a complete response to a request, which therefore crashes no endpoints.
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
			.forEach((crashes) -> crashes
				.removeIf((crash) -> crash.endpoint().equals(endpoint) && crash.startedAtMillis() == startedAtMillis
						&& sentMillis > crash.atMillis() && sentMillis - crash.atMillis() < SIGN_OF_LIFE_MILLIS));
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
	 * endpoint when it crashes, both are blamed.
	 * @return the endpoints at which a suspect of this host runs
	 */
	public synchronized Set<String> endpointsWithSuspect() {
		return Set.copyOf(this.runningSuspects.keySet());
	}

	/**
	 * Returns the endpoints that crashed recently under a suspect.
	 * @return the endpoints, which the directory may still list
	 */
	public synchronized Set<String> missingEndpoints() {
		Set<String> missing = new HashSet<>();
		long now = this.clock.millis();
		this.suspects.values()
			.forEach((crashes) -> crashes.stream()
				.filter((crash) -> now - crash.atMillis() < MISSING_MILLIS)
				.forEach((crash) -> missing.add(crash.endpoint())));
		return missing;
	}

	/**
	 * Returns the reports for a host that may not know the suspects.
	 * @return a report of each crash that is remembered
	 */
	public synchronized List<PeerMessage.EndpointCrash> reports() {
		List<PeerMessage.EndpointCrash> reports = new ArrayList<>();
		long now = this.clock.millis();
		this.suspects.forEach((fingerprint, crashes) -> crashes
			.forEach((crash) -> reports.add(new PeerMessage.EndpointCrash(fingerprint, crash.endpoint(),
					crash.startedAtMillis(), now - crash.atMillis()))));
		return reports;
	}

	/**
	 * Handles the report of another host.
	 * @param report the report
	 * @return whether the crash was not known
	 */
	public synchronized boolean onReport(PeerMessage.EndpointCrash report) {
		if (report.ageMillis() >= RETENTION_MILLIS) {
			return false;
		}
		return add(report.fingerprint(),
				new Crash(report.endpoint(), report.startedAtMillis(), this.clock.millis() - report.ageMillis()));
	}

	private boolean add(String fingerprint, Crash added) {
		List<Crash> crashes = this.suspects.computeIfAbsent(fingerprint, (unused) -> new ArrayList<>());
		boolean known = crashes.stream()
			.anyMatch((crash) -> crash.endpoint().equals(added.endpoint())
					&& crash.startedAtMillis() == added.startedAtMillis());
		if (!known) {
			crashes.add(added);
			this.newestCrashMillis = Math.max(this.newestCrashMillis, added.atMillis());
		}
		if (this.suspects.size() > MAX_SUSPECTS) {
			this.suspects.remove(this.suspects.keySet().iterator().next());
		}
		return !known;
	}

	private static long lastCrashMillis(List<Crash> crashes) {
		return crashes.stream().mapToLong(Crash::atMillis).max().orElse(Long.MIN_VALUE / 2);
	}

	private record Crash(String endpoint, long startedAtMillis, long atMillis) {
	}

}
