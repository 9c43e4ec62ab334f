package org.bamboorelay.host.request;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
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
 * Serves the requests of callers: finds route and workspace, and passes them on.
 * <p>
 * Thread-safe.
 */
public final class FrontHandler implements HttpListener.HttpHandler {

	private static final int STATUS_GATEWAY_ERROR = 502;

	private static final int STATUS_GATEWAY_TIMEOUT = 504;

	private static final int STATUS_UNAVAILABLE = 503;

	/** When to come back to a host that knows no routes yet, in milliseconds. */
	private static final long STARTING_RETRY_MILLIS = 500;

	/** Time for a request whose caller names none, in milliseconds. */
	private static final long DEFAULT_TIME_MILLIS = 30_000;

	private final Supplier<@Nullable RoutingTable> routing;

	private final CallerProtocol protocol;

	private final EndpointCaller caller;

	private final StreamRelay streams;

	private final SubmissionRoutes submissions;

	private final CallerWatch watch;

	private final UsageMeter usage;

	private final Clock clock;

	private final Counters counters;

	private final EventLog log;

	/**
	 * Creates the handler.
	 * @param routing the routes in force
	 * @param protocol how callers write requests
	 * @param caller passes requests on
	 * @param streams passes streams on
	 * @param submissions serves submissions
	 * @param watch notices callers that leave
	 * @param usage counts the requests of workspaces
	 * @param clock the monotonic clock of the process
	 * @param counters the metrics of the process
	 * @param log the log of the process
	 */
	public FrontHandler(Supplier<@Nullable RoutingTable> routing, CallerProtocol protocol, EndpointCaller caller,
			StreamRelay streams, SubmissionRoutes submissions, CallerWatch watch, UsageMeter usage, Clock clock,
			Counters counters, EventLog log) {
		this.routing = Objects.requireNonNull(routing, "routing");
		this.protocol = Objects.requireNonNull(protocol, "protocol");
		this.caller = Objects.requireNonNull(caller, "caller");
		this.streams = Objects.requireNonNull(streams, "streams");
		this.submissions = Objects.requireNonNull(submissions, "submissions");
		this.watch = Objects.requireNonNull(watch, "watch");
		this.usage = Objects.requireNonNull(usage, "usage");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.counters = Objects.requireNonNull(counters, "counters");
		this.log = Objects.requireNonNull(log, "log");
	}

	@Override
	public void handle(ClassicHttpRequest request, HttpListener.Responder responder) throws HttpException, IOException {
		long start = this.clock.millis();
		CallerRequest head = this.protocol.head(request);
		RoutingTable table = this.routing.get();
		if (table == null) {
			refuse(responder, head, "starting", STARTING_RETRY_MILLIS);
			return;
		}
		byte[] body = body(request, table.limits().bodyBytes());
		if (body == null) {
			reject(responder, head, 413, "body-too-large", table);
			return;
		}
		SubmissionCall submissionCall = this.protocol.submissionCall(head);
		if (submissionCall.kind() != SubmissionCall.Kind.NONE && !table.submissionRoutes(head.host()).isEmpty()) {
			Option<String> workspace = workspace(table, head, false);
			if (workspace.isEmpty()) {
				reject(responder, head, 401, "unknown-key", table);
				return;
			}
			this.submissions.serve(submissionCall, head, workspace.get(), responder);
			return;
		}
		Option<RouteRule> route = table.route(head.host(), head.path());
		if (route.isEmpty()) {
			reject(responder, head, 404, "no-route", table);
			return;
		}
		Option<String> workspace = workspace(table, head, route.get().open());
		if (workspace.isEmpty()) {
			reject(responder, head, 401, "unknown-key", table);
			return;
		}
		if (route.get().kind() == RouteKind.SUBMISSION) {
			this.submissions.accept(head, workspace.get(), route.get(), body, responder);
			return;
		}
		relay(head, route.get(), workspace.get(), body, start, responder);
	}

	private void relay(CallerRequest head, RouteRule route, String workspace, byte[] body, long start,
			HttpListener.Responder responder) throws HttpException, IOException {
		long time = Math.min(Math.min(head.timeLeftMillis(), route.timeoutMillis()), DEFAULT_TIME_MILLIS);
		boolean idempotent = route.kind() == RouteKind.IDEMPOTENT
				|| (route.kind() == RouteKind.EVENT_STREAM && route.resumable());
		try (CallerWatch.Watched watched = this.watch.watch(responder)) {
			CallOrder order = new CallOrder(head.id(), head.method(), head.host(), head.path(), head.passedHeaders(),
					body, workspace.isEmpty() ? null : workspace, route.service(Math.random()), idempotent,
					route.maxAttempts(), start + time, watched::onAbort);
			if (route.kind() == RouteKind.EVENT_STREAM) {
				this.streams.relay(order, route.goalMillis(), watched, responder);
				return;
			}
			long sentMillis = System.currentTimeMillis();
			CallResult result = this.caller.call(order);
			boolean gone = watched.end();
			if (!(result instanceof CallResult.NotRun)) {
				this.usage.count(workspace, sentMillis);
			}
			if (!gone) {
				answer(head, route, result, start, responder);
			}
		}
	}

	private void answer(CallerRequest head, RouteRule route, CallResult result, long start,
			HttpListener.Responder responder) throws HttpException, IOException {
		if (result instanceof CallResult.Answered answered) {
			ClassicHttpResponse response = new BasicClassicHttpResponse(answered.answer().status());
			ContentType type = null;
			for (var header : answered.answer().passedHeaders()) {
				if (header.getName().equalsIgnoreCase(HttpHeaders.CONTENT_TYPE)) {
					type = ContentType.parseLenient(header.getValue());
				}
				else {
					response.addHeader(header);
				}
			}
			response.setEntity(new ByteArrayEntity(answered.body(), type));
			responder.send(response);
			this.counters.histogram("answer_millis").update(this.clock.millis() - start);
		}
		else if (result instanceof CallResult.NotRun notRun) {
			this.log.info("request-refused", "request_id", head.id(), "route", route.name(), "reason", notRun.reason(),
					"after_ms", this.clock.millis() - start);
			refuse(responder, head, notRun.reason(), notRun.retryAfterMillis());
		}
		else if (result instanceof CallResult.Unknown unknown) {
			int status = unknown.timedOut() ? STATUS_GATEWAY_TIMEOUT : STATUS_GATEWAY_ERROR;
			this.log.info("request-failed", "request_id", head.id(), "route", route.name(), "reason", unknown.reason(),
					"status", status, "after_ms", this.clock.millis() - start);
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
		this.counters.counter("requests_refused_total", "reason", reason).inc();
		this.log.info("request-rejected", "request_id", head.id(), "status", status, "reason", reason, "configuration",
				table.version());
		responder.send(status, "text/plain", reason);
	}

	/**
	 * Creates the answer to a request that has not run and will not.
	 * @param reason a stable code
	 * @param retryAfterMillis when to come back, in milliseconds
	 * @return the answer
	 */
	static ClassicHttpResponse refusal(String reason, long retryAfterMillis) {
		ClassicHttpResponse response = new BasicClassicHttpResponse(STATUS_UNAVAILABLE);
		double seconds = retryAfterMillis / (double) TimeUnit.SECONDS.toMillis(1);
		response.setHeader(HttpHeaders.RETRY_AFTER, String.format(Locale.ROOT, "%.2f", seconds));
		response.setEntity(new ByteArrayEntity(reason.getBytes(StandardCharsets.UTF_8), ContentType.TEXT_PLAIN));
		return response;
	}

	private static Option<String> workspace(RoutingTable table, CallerRequest head, boolean open) {
		if (open || !table.isKeyed()) {
			return Option.some("");
		}
		String key = head.key();
		if (key == null) {
			return Option.none();
		}
		return table.workspace(KeyHash.ofKey(key)).map(RoutingTable.Workspace::name);
	}

	private static byte @Nullable [] body(ClassicHttpRequest request, long limit) throws IOException {
		HttpEntity entity = request.getEntity();
		if (entity == null) {
			return new byte[0];
		}
		if (entity.getContentLength() > limit) {
			return null;
		}
		try (InputStream in = entity.getContent()) {
			int most = (int) Math.min(limit, Integer.MAX_VALUE - 16);
			byte[] bytes = in.readNBytes(most + 1);
			return (bytes.length > most) ? null : bytes;
		}
	}

}
