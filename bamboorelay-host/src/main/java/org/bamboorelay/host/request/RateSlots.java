package org.bamboorelay.host.request;

import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import io.vavr.control.Either;
import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.core.process.EndpointRequirements;
import org.bamboorelay.core.process.EndpointTable;
import org.bamboorelay.core.process.RendezvousHash;
import org.bamboorelay.core.process.RequestRateSchedule;
import org.bamboorelay.core.time.Clock;
import org.bamboorelay.core.version.HostId;
import org.bamboorelay.host.connection.HostMesh;
import org.bamboorelay.host.process.EventLog;
import org.bamboorelay.runtime.connection.PeerFailure;
import org.bamboorelay.runtime.process.Counters;
import org.jspecify.annotations.Nullable;

/**
 * Acquires endpoints, and for those that named the rate they take also a slot at the host
 * that schedules the requests of all hosts. The scheduling host of an endpoint follows
 * from the hosts that can be reached, so each part of a divided deployment has one; it
 * schedules the share of the rate that corresponds to its part. A host that gets no
 * response from it keeps to the share of a single host.
 * <p>
 * Thread-safe.
 */
public final class RateSlots {

	/** Maximum wait for the scheduling host, in milliseconds. */
	private static final long CALL_TIMEOUT_MILLIS = 250;

	/**
	 * Time for which a scheduling host that did not respond is not asked, in
	 * milliseconds.
	 */
	private static final long UNREACHABLE_MILLIS = 500;

	private final String host;

	private final EndpointTable table;

	private final HostMesh mesh;

	private final Clock clock;

	private final Counters counters;

	private final EventLog log;

	private final RequestRateSchedule shared = RequestRateSchedule.shared();

	private final RequestRateSchedule alone;

	private final Map<String, Long> unreachableUntilMillis = new ConcurrentHashMap<>();

	/**
	 * Creates an instance.
	 * @param host the name of this host
	 * @param table the table of endpoints
	 * @param mesh the other hosts
	 * @param clock the monotonic clock of the process
	 * @param counters the metrics of the process
	 * @param log the log of the process
	 */
	public RateSlots(String host, EndpointTable table, HostMesh mesh, Clock clock, Counters counters, EventLog log) {
		this.host = Objects.requireNonNull(host, "host");
		this.alone = RequestRateSchedule.alone((RendezvousHash.hash(host) >>> 11) * 0x1p-53);
		this.table = Objects.requireNonNull(table, "table");
		this.mesh = Objects.requireNonNull(mesh, "mesh");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.counters = Objects.requireNonNull(counters, "counters");
		this.log = Objects.requireNonNull(log, "log");
	}

	/**
	 * Acquires an endpoint that can be used at once.
	 * @param requirements the requirements of the request
	 * @return the endpoint, or null if there is none
	 */
	EndpointTable.@Nullable Grant acquire(EndpointRequirements requirements) {
		while (true) {
			EndpointTable.Grant grant = this.table.acquire(requirements);
			if (grant == null || complete(grant, requirements)) {
				return grant;
			}
		}
	}

	/**
	 * Requests the slot that a granted endpoint needs if it limits its rate. Without a
	 * slot the grant ends.
	 * @param grant the grant
	 * @param requirements the requirements of the request
	 * @return whether the endpoint can be used at once
	 */
	boolean complete(EndpointTable.Grant grant, EndpointRequirements requirements) {
		return !grant.isRateLimited() || this.table.onSlot(grant, requirements, slot(grant, requirements, 0));
	}

	/**
	 * Reserves the next slot at an endpoint that named its rate, and waits for it.
	 * @param requirements the requirements of the request
	 * @param deadlineMillis the latest time of the slot, in milliseconds of the clock of
	 * the process
	 * @return the endpoint, or null if there is no slot in time
	 */
	EndpointTable.@Nullable Grant reserve(EndpointRequirements requirements, long deadlineMillis) {
		EndpointTable.Grant grant = this.table.acquireNextSlot(requirements, deadlineMillis);
		if (grant == null) {
			return null;
		}
		PeerMessage.RateSlot slot = slot(grant, requirements, Math.max(0, deadlineMillis - this.clock.millis()));
		if (!this.table.onSlot(grant, requirements, slot)) {
			return null;
		}
		try {
			TimeUnit.MILLISECONDS.sleep(slot.delayMillis());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			this.table.release(grant, EndpointTable.Outcome.ABANDONED);
			return null;
		}
		if (!this.table.isStillEligible(grant, requirements)) {
			this.table.release(grant, EndpointTable.Outcome.ABANDONED);
			return null;
		}
		return grant;
	}

	/**
	 * Handles the request of another host for a slot.
	 * @param request the request
	 * @return the slot, or the time until there is one
	 */
	public PeerMessage handleRequest(PeerMessage.RateSlotRequest request) {
		return scheduleShared(request);
	}

	private PeerMessage.RateSlot slot(EndpointTable.Grant grant, EndpointRequirements requirements,
			long maxWaitMillis) {
		PeerMessage.RateSlotRequest request = new PeerMessage.RateSlotRequest(grant.id(), grant.startedAtMillis(),
				grant.requestsPerSecond(), requirements.origin().isInteractive(), maxWaitMillis);
		PeerMessage.RateSlot slot = slot(request, schedulingHost(grant));
		this.counters
			.counter(slot.granted() ? "rate_slots_granted_total" : "rate_slots_refused_total", "origin",
					requirements.origin().label())
			.inc();
		return slot;
	}

	private PeerMessage.RateSlot slot(PeerMessage.RateSlotRequest request, String schedulingHost) {
		if (schedulingHost.equals(this.host)) {
			return scheduleShared(request);
		}
		long now = this.clock.millis();
		if (now >= this.unreachableUntilMillis.getOrDefault(schedulingHost, Long.MIN_VALUE)) {
			Either<PeerFailure, PeerMessage> response = this.mesh.call(schedulingHost, request, CALL_TIMEOUT_MILLIS);
			if (response.isRight() && response.get() instanceof PeerMessage.RateSlot slot) {
				return slot;
			}
			this.unreachableUntilMillis.put(schedulingHost, this.clock.millis() + UNREACHABLE_MILLIS);
			this.log.info("rate-scheduler-unreachable", "peer", schedulingHost, "endpoint", request.endpoint(),
					"detail", response.fold(PeerFailure::detail, String::valueOf));
		}
		return this.alone.request(request, 1.0 / this.mesh.knownHostCount(), this.clock.millis());
	}

	private PeerMessage.RateSlot scheduleShared(PeerMessage.RateSlotRequest request) {
		double share = Math.min(1, (double) this.mesh.aliveHostCount() / this.mesh.knownHostCount());
		return this.shared.request(request, share, this.clock.millis());
	}

	// Prefers hosts in the failure domain of the endpoint, which are cut off together
	// with it.
	private String schedulingHost(EndpointTable.Grant grant) {
		Set<HostId> candidates = this.mesh.centralHosts().stream().map(HostId::of).collect(Collectors.toSet());
		Set<HostId> near = candidates.stream()
			.filter((candidate) -> this.mesh.domainOf(candidate.value()).equals(grant.domain()))
			.collect(Collectors.toSet());
		return RendezvousHash.owner(grant.id(), near.isEmpty() ? candidates : near).value();
	}

}
