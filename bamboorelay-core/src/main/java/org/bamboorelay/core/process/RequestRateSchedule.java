package org.bamboorelay.core.process;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

import org.bamboorelay.core.connection.PeerMessage;

/**
 * Schedules the requests to endpoints that named the rate they take, by the generic cell
 * rate algorithm: a request may be sent up to a burst ahead of a schedule with one slot
 * per interval. Answers the load of a service whose endpoints together take less than is
 * asked of them: who waits for a response goes first, but items and score calls get at
 * least each fourth slot.
 * <p>
 * Thread-safe; guarded by its own lock.
 */
public final class RequestRateSchedule {

	/**
	 * Lowest rate that is scheduled, in requests per second. Without any request, a host
	 * would never learn that the endpoint takes a higher rate again.
	 */
	static final double MIN_REQUESTS_PER_SECOND = 0.5;

	/** Number of requests that a burst may have at any rate. */
	private static final double MIN_BURST = 2;

	/** Duration whose requests a burst may have in addition, in seconds. */
	private static final double BURST_SECONDS = 0.5;

	/** Share of the burst that only interactive requests may use. */
	private static final double INTERACTIVE_BURST_SHARE = 0.5;

	/**
	 * Number of intervals after which a request that is not interactive goes ahead of
	 * interactive ones.
	 */
	private static final int MAX_BACKGROUND_INTERVALS = 4;

	private static final double MILLIS_PER_SECOND = 1_000;

	/**
	 * Maximum number of endpoints with a schedule; several times the number of endpoints
	 * of a deployment.
	 */
	private static final int MAX_SCHEDULES = 2_048;

	private final Map<String, Schedule> schedules = new LinkedHashMap<>();

	private final boolean bursts;

	private final double phase;

	private RequestRateSchedule(boolean bursts, double phase) {
		this.bursts = bursts;
		this.phase = phase;
	}

	/**
	 * Creates the schedules of a host that schedules the requests of all hosts.
	 * @return schedules that allow bursts
	 */
	public static RequestRateSchedule shared() {
		return new RequestRateSchedule(true, 0);
	}

	/**
	 * Creates the schedules of a host that sends its own share without the others. All
	 * hosts may do so at once, so there are no bursts, and the first slot comes after one
	 * to two intervals.
	 * @param phase the part of the second interval after which the first slot comes, at
	 * least 0 and below 1; differs by host, so that the hosts do not send at once
	 * @return schedules that allow no bursts
	 */
	public static RequestRateSchedule alone(double phase) {
		if (!(phase >= 0 && phase < 1)) {
			throw new IllegalArgumentException("phase must be at least 0 and below 1: " + phase);
		}
		return new RequestRateSchedule(false, phase);
	}

	/**
	 * Requests a slot.
	 * @param request the request to be sent
	 * @param share the share of the endpoint's rate to schedule, above 0 and at most 1
	 * @param nowMillis the time, in milliseconds
	 * @return the slot, or the time until a request like this one would get one
	 */
	public synchronized PeerMessage.RateSlot request(PeerMessage.RateSlotRequest request, double share,
			long nowMillis) {
		Objects.requireNonNull(request, "request");
		if (!(share > 0 && share <= 1)) {
			throw new IllegalArgumentException("share must be above 0 and at most 1: " + share);
		}
		double rate = share * Math.max(MIN_REQUESTS_PER_SECOND, request.requestsPerSecond());
		double intervalMillis = MILLIS_PER_SECOND / rate;
		double burst = this.bursts ? MIN_BURST + BURST_SECONDS * rate : 1;
		double toleranceMillis = (burst - 1) * intervalMillis;
		Schedule schedule = schedule(request,
				nowMillis + (this.bursts ? toleranceMillis : intervalMillis * (1 + this.phase)), nowMillis);
		double usableMillis = request.interactive() ? toleranceMillis : toleranceMillis * (1 - INTERACTIVE_BURST_SHARE);
		double waitMillis = Math.max(0, schedule.nextMillis - usableMillis - nowMillis);
		if (this.bursts && !request.interactive()
				&& nowMillis - schedule.lastBackgroundMillis >= MAX_BACKGROUND_INTERVALS * intervalMillis) {
			waitMillis = 0;
		}
		long roundedMillis = (long) Math.ceil(waitMillis);
		if (roundedMillis > request.maxWaitMillis()) {
			return new PeerMessage.RateSlot(false, roundedMillis);
		}
		schedule.nextMillis = Math.max(schedule.nextMillis, nowMillis) + intervalMillis;
		if (!request.interactive()) {
			schedule.lastBackgroundMillis = nowMillis;
		}
		return new PeerMessage.RateSlot(true, roundedMillis);
	}

	private Schedule schedule(PeerMessage.RateSlotRequest request, double firstMillis, long nowMillis) {
		Schedule known = this.schedules.get(request.endpoint());
		if (known != null && known.startedAtMillis >= request.startedAtMillis()) {
			return known;
		}
		Schedule created = new Schedule(request.startedAtMillis(), firstMillis, nowMillis);
		this.schedules.remove(request.endpoint());
		this.schedules.put(request.endpoint(), created);
		if (this.schedules.size() > MAX_SCHEDULES) {
			this.schedules.remove(this.schedules.keySet().iterator().next());
		}
		return created;
	}

	private static final class Schedule {

		private final long startedAtMillis;

		/** Time of the next slot of the schedule without bursts, in milliseconds. */
		private double nextMillis;

		private long lastBackgroundMillis;

		private Schedule(long startedAtMillis, double nextMillis, long lastBackgroundMillis) {
			this.startedAtMillis = startedAtMillis;
			this.nextMillis = nextMillis;
			this.lastBackgroundMillis = lastBackgroundMillis;
		}

	}

}
