package org.bamboorelay.host.request;

import java.util.Objects;
import java.util.function.Consumer;

import org.bamboorelay.core.connection.PeerMessage;
import org.bamboorelay.core.process.EndpointTable;
import org.bamboorelay.core.process.PoisonRequestDetector;
import org.bamboorelay.host.connection.EndpointResponse;
import org.bamboorelay.host.process.EventLog;

/**
 * Records what endpoints announce about themselves in the heads of their responses: that
 * they are leaving, the request rate that they take, and their load.
 * <p>
 * Thread-safe.
 */
public final class EndpointNotices {

	private final EndpointTable table;

	private final PoisonRequestDetector detector;

	private final boolean usesReportedLoad;

	private final Consumer<PeerMessage> publisher;

	private final EventLog log;

	/**
	 * Creates the recorder.
	 * @param table the table of endpoints
	 * @param detector learns from responses that endpoints live
	 * @param usesReportedLoad whether endpoints are chosen by the load that they report
	 * @param publisher sends a message to all other hosts; must not block
	 * @param log the log of the process
	 */
	public EndpointNotices(EndpointTable table, PoisonRequestDetector detector, boolean usesReportedLoad,
			Consumer<PeerMessage> publisher, EventLog log) {
		this.table = Objects.requireNonNull(table, "table");
		this.detector = Objects.requireNonNull(detector, "detector");
		this.usesReportedLoad = usesReportedLoad;
		this.publisher = Objects.requireNonNull(publisher, "publisher");
		this.log = Objects.requireNonNull(log, "log");
	}

	/**
	 * Records the announcements of a response.
	 * @param grant the grant of the request
	 * @param response the head of the response to that request
	 */
	void onResponse(EndpointTable.Grant grant, EndpointResponse response) {
		if (response.misdirected()) {
			// What another endpoint announces does not concern the endpoint of the grant.
			return;
		}
		this.detector.onSignOfLife(grant.id(), grant.startedAtMillis(), grant.grantedAtMillis());
		this.table.onLeavingAnnounced(grant.id(), grant.startedAtMillis(), response.leaving());
		if (this.usesReportedLoad && response.load() != null && this.table.onLoadReported(grant, response.load())) {
			this.log.info("endpoint-load-reported", "endpoint", grant.id(), "domain", grant.domain(), "load",
					response.load());
		}
		if (this.table.onRateNamed(grant, response.requestsPerSecond())) {
			this.log.info("endpoint-rate-named", "endpoint", grant.id(), "domain", grant.domain(),
					"requests_per_second", response.requestsPerSecond());
			if (!Double.isInfinite(response.requestsPerSecond())) {
				this.publisher.accept(
						new PeerMessage.RateNamed(grant.id(), grant.startedAtMillis(), response.requestsPerSecond()));
			}
		}
	}

}
