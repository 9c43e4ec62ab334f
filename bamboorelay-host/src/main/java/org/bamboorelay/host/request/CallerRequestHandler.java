package org.bamboorelay.host.request;

import java.io.IOException;
import java.io.InputStream;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.function.Supplier;

import io.vavr.control.Option;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpResponse;
import org.bamboorelay.core.process.MemoryAccount;
import org.bamboorelay.core.request.RequestOrigin;
import org.bamboorelay.core.request.ShutdownAdmission;
import org.bamboorelay.core.store.WatchableStore;
import org.bamboorelay.core.time.Clock;
import org.bamboorelay.core.version.KeyHash;
import org.bamboorelay.core.version.RouteKind;
import org.bamboorelay.core.version.RouteRule;
import org.bamboorelay.core.version.RoutingTable;
import org.bamboorelay.host.connection.CallerProtocol;
import org.bamboorelay.host.connection.CallerRequest;
import org.bamboorelay.host.connection.SubmissionCall;
import org.bamboorelay.host.process.EventLog;
import org.bamboorelay.host.process.UsageMeter;
import org.bamboorelay.runtime.connection.HttpListener;
import org.bamboorelay.runtime.process.Counters;
import org.jspecify.annotations.Nullable;

/**
 * Handles the requests of callers: determines the route and the workspace, and forwards
 * the request.
 * <p>
 * Thread-safe.
 */
public final class CallerRequestHandler implements HttpListener.HttpHandler {

	private static final int STATUS_REQUEST_TIMEOUT = 408;

	private static final int STATUS_BODY_TOO_LARGE = 413;

	private static final int STATUS_GATEWAY_ERROR = 502;

	private static final int STATUS_GATEWAY_TIMEOUT = 504;

	private static final int STATUS_UNAVAILABLE = 503;

	/**
	 * Retry delay reported while this host has not read any routes yet, in milliseconds.
	 */
	private static final long STARTING_RETRY_AFTER_MILLIS = 500;

	/**
	 * Retry delay reported while this host shuts down, in milliseconds; other hosts can
	 * be asked at once.
	 */
	private static final long LEAVING_RETRY_AFTER_MILLIS = 50;

	/**
	 * Longest time that a call on a submission takes, in milliseconds: the wait for
	 * results or for the store, and a call to the store.
	 */
	private static final long SUBMISSION_CALL_MILLIS = 3_000;

	/**
	 * Copies of a submission in memory while it is stored, of at most its maximum size:
	 * the items, their stored form, and the request to the store as text and as bytes.
	 */
	private static final long DECODED_SUBMISSION_COPIES = 4;

	/** Name under which the durations of calls on submissions are recorded. */
	private static final String SUBMISSION_CALLS = "";

	/**
	 * Maximum time for a request, in milliseconds; also applies if the caller sets no
	 * deadline.
	 */
	private static final long MAX_REQUEST_MILLIS = 30_000;

	private final Supplier<@Nullable RoutingTable> routing;

	private final CallerProtocol protocol;

	private final EndpointClient endpointClient;

	private final StreamRelay streamRelay;

	private final SubmissionHandler submissionHandler;

	private final CallerMonitor callerMonitor;

	private final UsageMeter usageMeter;

	private final ShutdownAdmission shutdownAdmission;

	private final Clock clock;

	private final Counters counters;

	private final EventLog log;

	/**
	 * Creates the handler.
	 * @param routing supplies the current routes; null until they have been read
	 * @param protocol decodes requests of callers
	 * @param endpointClient forwards requests to endpoints
	 * @param streamRelay relays event streams
	 * @param submissionHandler handles submissions
	 * @param callerMonitor detects callers that disconnect
	 * @param usageMeter counts requests by workspace
	 * @param shutdownAdmission decides which requests are accepted during a shutdown
	 * @param clock the monotonic clock of the process
	 * @param counters the metrics of the process
	 * @param log the log of the process
	 */
	public CallerRequestHandler(Supplier<@Nullable RoutingTable> routing, CallerProtocol protocol,
			EndpointClient endpointClient, StreamRelay streamRelay, SubmissionHandler submissionHandler,
			CallerMonitor callerMonitor, UsageMeter usageMeter, ShutdownAdmission shutdownAdmission, Clock clock,
			Counters counters, EventLog log) {
		this.routing = Objects.requireNonNull(routing, "routing");
		this.protocol = Objects.requireNonNull(protocol, "protocol");
		this.endpointClient = Objects.requireNonNull(endpointClient, "endpointClient");
		this.streamRelay = Objects.requireNonNull(streamRelay, "streamRelay");
		this.submissionHandler = Objects.requireNonNull(submissionHandler, "submissionHandler");
		this.callerMonitor = Objects.requireNonNull(callerMonitor, "callerMonitor");
		this.usageMeter = Objects.requireNonNull(usageMeter, "usageMeter");
		this.shutdownAdmission = Objects.requireNonNull(shutdownAdmission, "shutdownAdmission");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.counters = Objects.requireNonNull(counters, "counters");
		this.log = Objects.requireNonNull(log, "log");
	}

	@Override
	public void handle(ClassicHttpRequest request, HttpListener.Responder responder) throws HttpException, IOException {
		long startMillis = this.clock.millis();
		CallerRequest head = this.protocol.decodeHead(request);
		RoutingTable table = this.routing.get();
		if (table == null) {
			refuse(responder, head, "starting", STARTING_RETRY_AFTER_MILLIS);
			return;
		}
		SubmissionCall submissionCall = this.protocol.decodeSubmissionCall(head);
		if (submissionCall.kind() != SubmissionCall.Kind.NONE && !table.submissionRoutes(head.host()).isEmpty()) {
			Option<String> workspace = findWorkspace(table, head, false);
			if (workspace.isEmpty()) {
				reject(responder, head, 401, "unknown-key", table);
				return;
			}
			if (refuseUnless(this.shutdownAdmission.admits(SUBMISSION_CALLS, SUBMISSION_CALL_MILLIS), head,
					responder)) {
				this.submissionHandler.handleCall(submissionCall, head, workspace.get(), responder);
				this.shutdownAdmission.onServed(SUBMISSION_CALLS, this.clock.millis() - startMillis);
			}
			return;
		}
		Option<RouteRule> route = table.route(head.host(), head.path());
		if (route.isEmpty()) {
			reject(responder, head, 404, "no-route", table);
			return;
		}
		Option<String> workspace = findWorkspace(table, head, route.get().open());
		if (workspace.isEmpty()) {
			reject(responder, head, 401, "unknown-key", table);
			return;
		}
		responder.reservation().assign(workspace.get());
		if (isTooLarge(request, table)) {
			rejectBody(responder, head, table);
			return;
		}
		if (route.get().kind() == RouteKind.SUBMISSION) {
			if (refuseUnless(this.shutdownAdmission.admits(SUBMISSION_CALLS, SUBMISSION_CALL_MILLIS), head,
					responder)) {
				RequestBody body = readBody(request, responder, head, table);
				Option<byte[]> bytes = (body != null)
						? body.exactBytes()
							.filter((exact) -> responder.reservation().reserve(decodedBytes(exact.length)))
						: Option.none();
				if (bytes.isDefined()) {
					this.submissionHandler.accept(head, workspace.get(), route.get(), bytes.get(), responder);
					this.shutdownAdmission.onServed(SUBMISSION_CALLS, this.clock.millis() - startMillis);
				}
				else if (body != null) {
					refuse(responder, head, "memory", responder.retryAfterMillis());
				}
			}
			return;
		}
		long allowedMillis = Math.min(Math.min(head.remainingMillis(), route.get().timeoutMillis()),
				MAX_REQUEST_MILLIS);
		if (!refuseUnless(admits(route.get(), allowedMillis), head, responder)) {
			return;
		}
		RequestBody body = readBody(request, responder, head, table);
		// The shutdown may have begun while the body arrived.
		if (body != null && refuseUnless(admits(route.get(), allowedMillis), head, responder)) {
			relay(head, route.get(), workspace.get(), body.bytes(), startMillis, allowedMillis, responder);
		}
	}

	// Returns the memory for a submission beside its body while it is stored.
	private static long decodedBytes(int bodyBytes) {
		return DECODED_SUBMISSION_COPIES * Math.min(bodyBytes, WatchableStore.MAX_VALUE_BYTES);
	}

	private boolean admits(RouteRule route, long allowedMillis) {
		return (route.kind() == RouteKind.EVENT_STREAM)
				? this.shutdownAdmission.admitsStream(route.name(), allowedMillis)
				: this.shutdownAdmission.admits(route.name(), allowedMillis);
	}

	private boolean refuseUnless(boolean admitted, CallerRequest head, HttpListener.Responder responder)
			throws HttpException, IOException {
		if (!admitted) {
			refuse(responder, head, "leaving", LEAVING_RETRY_AFTER_MILLIS);
		}
		return admitted;
	}

	private void relay(CallerRequest head, RouteRule route, String workspace, ByteBuffer body, long startMillis,
			long allowedMillis, HttpListener.Responder responder) throws HttpException, IOException {
		long deadlineMillis = Math.min(startMillis + allowedMillis, this.shutdownAdmission.endMillis());
		boolean idempotent = route.kind() == RouteKind.IDEMPOTENT
				|| (route.kind() == RouteKind.EVENT_STREAM && route.resumable());
		try (CallerMonitor.MonitoredRequest monitoredRequest = this.callerMonitor.monitor(responder)) {
			ServiceRequest serviceRequest = new ServiceRequest(RequestOrigin.CALLER, head.id(), head.method(),
					head.host(), head.path(), head.forwardedHeaders(), body, workspace.isEmpty() ? null : workspace,
					route.name(), route.service(Math.random()), idempotent, route.maxAttempts(), route.maxAttempts(),
					deadlineMillis, monitoredRequest::onAbort,
					() -> this.usageMeter.count(workspace, System.currentTimeMillis()));
			if (route.kind() == RouteKind.EVENT_STREAM) {
				if (this.streamRelay.relay(serviceRequest, route.goalMillis(), monitoredRequest, responder)) {
					this.shutdownAdmission.onServed(route.name(), this.clock.millis() - startMillis);
				}
				return;
			}
			long sentMillis = System.currentTimeMillis();
			CallResult result = this.endpointClient.call(serviceRequest);
			boolean callerDisconnected = monitoredRequest.end();
			if (!(result instanceof CallResult.NotRun)) {
				this.usageMeter.count(workspace, sentMillis);
			}
			if (result instanceof CallResult.Responded) {
				this.shutdownAdmission.onServed(route.name(), this.clock.millis() - startMillis);
			}
			if (!callerDisconnected) {
				sendResult(head, route, result, startMillis, responder);
			}
		}
	}

	private void sendResult(CallerRequest head, RouteRule route, CallResult result, long startMillis,
			HttpListener.Responder responder) throws HttpException, IOException {
		if (result instanceof CallResult.Responded responded) {
			responder.send(CallerResponses.forward(responded.response(), null,
					(type) -> new ByteArrayEntity(responded.body(), type)));
			this.counters.histogram("answer_millis").update(this.clock.millis() - startMillis);
		}
		else if (result instanceof CallResult.NotRun notRun) {
			this.log.info("request-refused", "request_id", head.id(), "route", route.name(), "reason", notRun.reason(),
					"retry_after_ms", notRun.retryAfterMillis(), "after_ms", this.clock.millis() - startMillis);
			refuse(responder, head, notRun.reason(), notRun.retryAfterMillis());
		}
		else if (result instanceof CallResult.Unknown unknown) {
			int status = unknown.timedOut() ? STATUS_GATEWAY_TIMEOUT : STATUS_GATEWAY_ERROR;
			this.log.info("request-failed", "request_id", head.id(), "route", route.name(), "reason", unknown.reason(),
					"status", status, "after_ms", this.clock.millis() - startMillis);
			this.counters.counter("requests_failed_total", "reason", unknown.reason()).inc();
			responder.send(status, "text/plain", unknown.reason());
		}
	}

	private void refuse(HttpListener.Responder responder, CallerRequest head, String reason, long retryAfterMillis)
			throws HttpException, IOException {
		this.counters.counter("requests_refused_total", "reason", reason).inc();
		responder.send(refusal(reason, retryAfterMillis));
	}

	private void reject(HttpListener.Responder responder, CallerRequest head, int status, String reason,
			RoutingTable table) throws HttpException, IOException {
		reject(responder, head, status, reason, reason, table);
	}

	private void reject(HttpListener.Responder responder, CallerRequest head, int status, String reason, String detail,
			RoutingTable table) throws HttpException, IOException {
		this.counters.counter("requests_refused_total", "reason", reason).inc();
		this.log.info("request-rejected", "request_id", head.id(), "status", status, "reason", reason, "configuration",
				table.version());
		responder.send(status, "text/plain", detail);
	}

	/**
	 * Creates the response to a request that was not and will not be executed.
	 * @param reason a stable reason code
	 * @param retryAfterMillis the delay after which the caller may retry, in milliseconds
	 * @return the response
	 */
	static ClassicHttpResponse refusal(String reason, long retryAfterMillis) {
		ClassicHttpResponse response = new BasicClassicHttpResponse(STATUS_UNAVAILABLE);
		response.setHeader(HttpHeaders.RETRY_AFTER, HttpListener.retryAfter(retryAfterMillis));
		response.setEntity(new ByteArrayEntity(reason.getBytes(StandardCharsets.UTF_8), ContentType.TEXT_PLAIN));
		return response;
	}

	private static Option<String> findWorkspace(RoutingTable table, CallerRequest head, boolean openRoute) {
		if (openRoute || !table.requiresKeys()) {
			return Option.some("");
		}
		String key = head.key();
		if (key == null) {
			return Option.none();
		}
		return table.workspace(KeyHash.ofKey(key)).map(RoutingTable.Workspace::name);
	}

	private static boolean isTooLarge(ClassicHttpRequest request, RoutingTable table) {
		HttpEntity entity = request.getEntity();
		return entity != null && entity.getContentLength() > table.limits().maxBodyBytes();
	}

	// Reads the body, or responds and returns null if that fails.
	private @Nullable RequestBody readBody(ClassicHttpRequest request, HttpListener.Responder responder,
			CallerRequest head, RoutingTable table) throws HttpException, IOException {
		HttpEntity entity = request.getEntity();
		MemoryAccount.Reservation reservation = responder.reservation();
		RequestBody body = new RequestBody(reservation);
		responder.onDiscard(body::discard);
		int maxBytes = (int) Math.min(table.limits().maxBodyBytes(), Integer.MAX_VALUE - 16);
		RequestBody.Outcome outcome;
		try {
			outcome = (entity != null) ? body.read(entity.getContent(), entity.getContentLength(), maxBytes)
					: body.read(InputStream.nullInputStream(), 0, maxBytes);
		}
		catch (SocketTimeoutException ex) {
			reject(responder, head, STATUS_REQUEST_TIMEOUT, "body-too-slow", String.valueOf(ex.getMessage()), table);
			return null;
		}
		catch (IOException ex) {
			if (!reservation.isShed()) {
				throw ex;
			}
			// The listener ended the read to shed this request.
			outcome = RequestBody.Outcome.SHED;
		}
		switch (outcome) {
			case COMPLETE:
				return body;
			case TOO_LARGE:
				rejectBody(responder, head, table);
				return null;
			default:
				refuse(responder, head, "memory", responder.retryAfterMillis());
				return null;
		}
	}

	private void rejectBody(HttpListener.Responder responder, CallerRequest head, RoutingTable table)
			throws HttpException, IOException {
		reject(responder, head, STATUS_BODY_TOO_LARGE, "body-too-large",
				"the request body exceeds max_body_bytes = " + table.limits().maxBodyBytes(), table);
	}

}
