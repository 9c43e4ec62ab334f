package org.bamboorelay.host.request;

import java.util.HashSet;
import java.util.Objects;
import java.util.Set;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.core.process.EndpointRequirements;
import org.bamboorelay.core.process.EndpointTable;
import org.bamboorelay.core.process.PoisonRequestDetector;
import org.bamboorelay.host.process.EventLog;
import org.bamboorelay.runtime.process.Counters;

/**
 * Keeps requests of callers that crash endpoints from reaching further ones. Items and
 * score calls are owed in any case and pass unchecked.
 * <p>
 * Thread-safe.
 */
public final class PoisonGuard {

	private final PoisonRequestDetector detector;

	private final EndpointTable table;

	private final Consumer<PeerMessage> publisher;

	private final Counters counters;

	private final EventLog log;

	/**
	 * Creates a guard.
	 * @param detector detects requests that crash endpoints
	 * @param table the table of endpoints
	 * @param publisher sends a message to all other hosts; must not block
	 * @param counters the metrics of the process
	 * @param log the log of the process
	 */
	public PoisonGuard(PoisonRequestDetector detector, EndpointTable table, Consumer<PeerMessage> publisher,
			Counters counters, EventLog log) {
		this.detector = Objects.requireNonNull(detector, "detector");
		this.table = Objects.requireNonNull(table, "table");
		this.publisher = Objects.requireNonNull(publisher, "publisher");
		this.counters = Objects.requireNonNull(counters, "counters");
		this.log = Objects.requireNonNull(log, "log");
	}

	/**
	 * Determines whether a request may be sent to an endpoint now. A suspect whose next
	 * crash would reject it waits until the service can spare an endpoint, but not for
	 * long, as the service may have few endpoints.
	 * @param request the request
	 * @param triedEndpoints the endpoints to which it was sent before
	 * @return the endpoints to exclude, or the refusal
	 */
	Either<CallResult.NotRun, Set<String>> admit(ServiceRequest request, Set<String> triedEndpoints) {
		if (!request.origin().isInteractive() || this.detector.isEmpty()) {
			return Either.right(triedEndpoints);
		}
		String fingerprint = request.fingerprint();
		int crashes = this.detector.crashes(fingerprint);
		if (crashes == 0) {
			return Either.right(triedEndpoints);
		}
		long rejectionMillis = this.detector.rejectionMillis(fingerprint);
		if (rejectionMillis > 0) {
			return refuse(request, fingerprint, crashes, "poison-request", rejectionMillis);
		}
		long holdMillis = this.detector.holdMillis(fingerprint);
		if (holdMillis > 0 && !this.table.canSpareEndpoint(
				EndpointRequirements.plain(request.origin(), request.service(), this.detector.missingEndpoints()))) {
			return refuse(request, fingerprint, crashes, "suspected-poison-request", holdMillis);
		}
		Set<String> excluded = new HashSet<>(triedEndpoints);
		excluded.addAll(this.detector.endpointsWithSuspect());
		return Either.right(excluded);
	}

	/**
	 * Returns whether an endpoint crashed under a request.
	 * @param request the request
	 * @return whether it is a suspect
	 */
	boolean isSuspect(ServiceRequest request) {
		return request.origin().isInteractive() && !this.detector.isEmpty()
				&& this.detector.crashes(request.fingerprint()) > 0;
	}

	/**
	 * Records that a request is sent to an endpoint. {@link #onDone} must follow.
	 * @param request the request
	 * @param grant the grant of the endpoint
	 * @return whether the request is a suspect
	 */
	boolean onSent(ServiceRequest request, EndpointTable.Grant grant) {
		boolean suspect = isSuspect(request);
		if (suspect) {
			this.detector.onSuspectSent(grant.id());
		}
		return suspect;
	}

	/**
	 * Records that a request no longer runs at an endpoint.
	 * @param grant the grant of the endpoint
	 * @param suspect whether it was sent as a suspect
	 */
	void onDone(EndpointTable.Grant grant, boolean suspect) {
		if (suspect) {
			this.detector.onSuspectDone(grant.id());
		}
	}

	/**
	 * Handles an endpoint that ended its connection before it had responded completely.
	 * @param request the request
	 * @param grant the grant of the endpoint
	 */
	void onConnectionEnded(ServiceRequest request, EndpointTable.Grant grant) {
		if (!request.origin().isInteractive()) {
			return;
		}
		String fingerprint = request.fingerprint();
		boolean added = this.detector.onCrash(fingerprint, grant.id(), grant.startedAtMillis());
		this.log.info("endpoint-crashed-under-request", "request_id", request.id(), "endpoint", grant.id(),
				"fingerprint", fingerprint, "crashes", this.detector.crashes(fingerprint), "new", added);
		if (added) {
			this.publisher.accept(new PeerMessage.EndpointCrash(fingerprint, grant.id(), grant.startedAtMillis(), 0));
		}
	}

	/**
	 * Handles a complete response to a request.
	 * @param request the request
	 */
	void onServed(ServiceRequest request) {
		if (!request.origin().isInteractive() || this.detector.isEmpty()) {
			return;
		}
		String fingerprint = request.fingerprint();
		if (this.detector.onServed(fingerprint)) {
			this.log.info("suspect-cleared", "request_id", request.id(), "fingerprint", fingerprint);
			this.publisher.accept(new PeerMessage.RequestServed(fingerprint));
		}
	}

	private Either<CallResult.NotRun, Set<String>> refuse(ServiceRequest request, String fingerprint, int crashes,
			String reason, long retryAfterMillis) {
		this.counters.counter("poison_requests_refused_total", "reason", reason).inc();
		this.log.info("suspect-refused", "request_id", request.id(), "fingerprint", fingerprint, "crashes", crashes,
				"reason", reason);
		return Either.left(new CallResult.NotRun(reason, retryAfterMillis));
	}

}
