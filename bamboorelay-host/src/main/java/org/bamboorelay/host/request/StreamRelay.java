package org.bamboorelay.host.request;

import java.io.IOException;
import java.io.OutputStream;
import java.util.HashSet;
import java.util.Objects;
import java.util.Set;

import io.vavr.control.Either;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.io.entity.EntityTemplate;
import org.apache.hc.core5.io.IOCallback;
import org.bamboorelay.core.process.EndpointTable;
import org.bamboorelay.core.request.EnginePriority;
import org.bamboorelay.core.time.Clock;
import org.bamboorelay.host.connection.EndpointRequest;
import org.bamboorelay.host.connection.EndpointResponse;
import org.bamboorelay.host.process.EventLog;
import org.bamboorelay.host.process.UsageMeter;
import org.bamboorelay.runtime.connection.ExchangeOptions;
import org.bamboorelay.runtime.connection.HttpExchange;
import org.bamboorelay.runtime.connection.HttpFailure;
import org.bamboorelay.runtime.connection.HttpListener;
import org.jspecify.annotations.Nullable;

/**
 * Relays the event stream of an endpoint to the caller as it arrives. Until an endpoint
 * responds, a request may be sent to another one if its kind permits. A stream that
 * breaks is resumed on another endpoint after its last complete event if its kind
 * permits; otherwise the connection to the caller is aborted, so that the stream does not
 * appear to be complete.
 * <p>
 * Thread-safe.
 */
public final class StreamRelay {

	/**
	 * Minimum timeout between two complete events, in milliseconds: callers of the
	 * platform wait 2 s or more.
	 */
	private static final long MIN_EVENT_TIMEOUT_MILLIS = 5_000;

	/**
	 * Multiple of their latency goal for which callers of the platform wait for the next
	 * event.
	 */
	private static final long GOALS_PER_EVENT_TIMEOUT = 4;

	/**
	 * Cap on the latency goal, in milliseconds; a longer goal means that there is none.
	 */
	private static final long MAX_GOAL_MILLIS = 60_000;

	private static final int BUFFER_BYTES = 8_192;

	/** Retry delay reported if the endpoints refused the request, in milliseconds. */
	private static final long RETRY_AFTER_MILLIS = 200;

	private static final int STATUS_GATEWAY_ERROR = 502;

	private final EndpointTable table;

	private final EndpointAcquirer acquirer;

	private final PoisonGuard poisonGuard;

	private final EndpointExchanges exchanges;

	private final UsageMeter usage;

	private final Clock clock;

	private final EventLog log;

	/**
	 * Creates a relay.
	 * @param table the table of endpoints
	 * @param acquirer acquires slots at endpoints, shared by all requests of the process
	 * @param poisonGuard refuses requests that crash endpoints
	 * @param exchanges sends requests to single endpoints
	 * @param usage counts requests by workspace
	 * @param clock the monotonic clock of the process
	 * @param log the log of the process
	 */
	public StreamRelay(EndpointTable table, EndpointAcquirer acquirer, PoisonGuard poisonGuard,
			EndpointExchanges exchanges, UsageMeter usage, Clock clock, EventLog log) {
		this.table = Objects.requireNonNull(table, "table");
		this.poisonGuard = Objects.requireNonNull(poisonGuard, "poisonGuard");
		this.exchanges = Objects.requireNonNull(exchanges, "exchanges");
		this.usage = Objects.requireNonNull(usage, "usage");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.log = Objects.requireNonNull(log, "log");
		this.acquirer = Objects.requireNonNull(acquirer, "acquirer");
	}

	/**
	 * Relays the event stream that answers a request.
	 * @param request the request; if it is idempotent, its stream may be resumed on
	 * another endpoint
	 * @param goalMillis the latency goal of the first event, in milliseconds
	 * @param monitoredRequest monitors the caller
	 * @param responder the responder of the request
	 * @return whether the response of an endpoint was relayed to its end
	 * @throws HttpException if the response violates the HTTP protocol
	 * @throws IOException if a connection breaks
	 */
	public boolean relay(ServiceRequest request, long goalMillis, CallerMonitor.MonitoredRequest monitoredRequest,
			HttpListener.Responder responder) throws HttpException, IOException {
		Attempts attempts = new Attempts(request, goalMillis);
		OpenStream first = attempts.open(0, null, monitoredRequest);
		if (first != null) {
			this.usage.count((request.workspace() != null) ? request.workspace() : "", System.currentTimeMillis());
			try {
				responder
					.send(CallerResponses.forward(first.endpointResponse(), ContentType.TEXT_EVENT_STREAM, (type) -> {
						IOCallback<OutputStream> writer = (out) -> attempts.writeStream(first, monitoredRequest, out);
						return new EntityTemplate(-1, type, null, writer);
					}));
			}
			finally {
				attempts.abandonUnlessWritten(first);
			}
			return true;
		}
		if (monitoredRequest.end()) {
			return false;
		}
		this.log.info("stream-refused", "request_id", request.id(), "tried", attempts.triedEndpoints.size(),
				"may_have_run", attempts.mayHaveRun);
		if (attempts.mayHaveRun) {
			responder.send(STATUS_GATEWAY_ERROR, "text/plain", "endpoint-broke");
		}
		else {
			responder
				.send(CallerRequestHandler.refusal(attempts.refusal.reason(), attempts.refusal.retryAfterMillis()));
		}
		return false;
	}

	private static boolean canContinue(EndpointResponse first, EndpointResponse next) {
		return next.isSuccess() && contentType(next).equalsIgnoreCase(contentType(first));
	}

	// Returns the media type without its parameters; empty if the response names none.
	private static String contentType(EndpointResponse response) {
		return response.forwardedHeaders()
			.stream()
			.filter((header) -> header.getName().equalsIgnoreCase(HttpHeaders.CONTENT_TYPE))
			.map((header) -> header.getValue().split(";", 2)[0].trim())
			.findFirst()
			.orElse("");
	}

	private record OpenStream(EndpointTable.Grant grant, EndpointResponse endpointResponse, HttpExchange exchange,
			boolean suspect) {
	}

	/**
	 * The attempts to relay one request, each at another endpoint.
	 * <p>
	 * Used by one thread.
	 */
	private final class Attempts {

		private final ServiceRequest request;

		private final Set<String> triedEndpoints = new HashSet<>();

		private final long waitDeadlineMillis;

		private final long eventTimeoutMillis;

		private boolean mayHaveRun;

		private boolean written;

		private CallResult.NotRun refusal = new CallResult.NotRun("endpoint-refused", RETRY_AFTER_MILLIS);

		private Attempts(ServiceRequest request, long goalMillis) {
			this.request = request;
			this.waitDeadlineMillis = StreamRelay.this.acquirer.waitDeadline(request.deadlineMillis());
			this.eventTimeoutMillis = Math.max(MIN_EVENT_TIMEOUT_MILLIS,
					GOALS_PER_EVENT_TIMEOUT * Math.min(goalMillis, MAX_GOAL_MILLIS));
		}

		// Returns null if no endpoint started to respond. Once the head of the first
		// response was sent to the caller, only a successful response of the same type
		// can continue the stream.
		private @Nullable OpenStream open(long afterEvent, @Nullable EndpointResponse firstResponse,
				CallerMonitor.MonitoredRequest monitoredRequest) {
			long slotDeadlineMillis = (firstResponse != null)
					? StreamRelay.this.clock.millis() + this.eventTimeoutMillis : this.waitDeadlineMillis;
			while (this.triedEndpoints.size() < this.request.maxAttempts() && !monitoredRequest.isDisconnected()) {
				Either<CallResult.NotRun, EndpointTable.Grant> acquired = StreamRelay.this.poisonGuard
					.admit(this.request, this.triedEndpoints)
					.flatMap((excluded) -> (firstResponse != null)
							? StreamRelay.this.acquirer.acquireToResume(this.request, excluded, slotDeadlineMillis)
							: StreamRelay.this.acquirer.acquire(this.request, excluded, slotDeadlineMillis));
				if (acquired.isLeft()) {
					this.refusal = acquired.getLeft();
					return null;
				}
				EndpointTable.Grant grant = acquired.get();
				this.triedEndpoints.add(grant.id());
				boolean suspect = StreamRelay.this.poisonGuard.onSent(this.request, grant);
				OpenStream openStream = open(grant, afterEvent, firstResponse, suspect);
				if (openStream != null) {
					return openStream;
				}
				StreamRelay.this.poisonGuard.onDone(grant, suspect);
				if (this.mayHaveRun && !this.request.idempotent()) {
					return null;
				}
			}
			return null;
		}

		private @Nullable OpenStream open(EndpointTable.Grant grant, long afterEvent,
				@Nullable EndpointResponse firstResponse, boolean suspect) {
			boolean resuming = firstResponse != null;
			long remainingMillis = Math.max(1, this.request.deadlineMillis() - StreamRelay.this.clock.millis());
			EndpointRequest call = new EndpointRequest(this.request.id(), this.request.method(), this.request.host(),
					this.request.path(), this.request.headers(), this.request.workspace(), grant.id(), remainingMillis,
					afterEvent, this.request.body())
				.withPriority(EnginePriority.ofCaller(StreamRelay.this.acquirer.hasPriorities()));
			long headTimeoutMillis = resuming ? this.eventTimeoutMillis : remainingMillis;
			Either<HttpFailure, EndpointExchanges.EndpointExchange> result = StreamRelay.this.exchanges.open(grant,
					call,
					ExchangeOptions
						.of(this.request.idempotent(), (int) Math.min(this.eventTimeoutMillis, headTimeoutMillis))
						.withTotalTimeoutMillis(headTimeoutMillis),
					this.request.onAbort()::accept);
			if (result.isLeft()) {
				this.mayHaveRun |= !(result.getLeft() instanceof HttpFailure.NotSent);
				StreamRelay.this.log.info("stream-endpoint-failed", "request_id", this.request.id(), "endpoint",
						grant.id(), "code", result.getLeft().code(), "detail", result.getLeft().detail());
				if (result.getLeft() instanceof HttpFailure.Broken broken && broken.connectionEnded()) {
					StreamRelay.this.poisonGuard.onConnectionEnded(this.request, grant);
				}
				StreamRelay.this.table.release(grant, EndpointTable.Outcome.FAILED);
				return null;
			}
			HttpExchange exchange = result.get().http();
			EndpointResponse endpointResponse = result.get().response();
			if (endpointResponse.notExecuted()) {
				exchange.close();
				StreamRelay.this.table.release(grant, EndpointTable.Outcome.REFUSED);
				return null;
			}
			this.mayHaveRun = true;
			if (firstResponse != null && !canContinue(firstResponse, endpointResponse)) {
				StreamRelay.this.log.info("stream-endpoint-failed", "request_id", this.request.id(), "endpoint",
						grant.id(), "code", "not-resumed", "status", endpointResponse.status());
				exchange.close();
				StreamRelay.this.table.release(grant, EndpointTable.Outcome.FAILED);
				return null;
			}
			return new OpenStream(grant, endpointResponse, exchange, suspect);
		}

		// Ends a stream whose body was never asked for, because its response has none or
		// its head could not be sent.
		private void abandonUnlessWritten(OpenStream openStream) {
			if (!this.written) {
				openStream.exchange().close();
				StreamRelay.this.poisonGuard.onDone(openStream.grant(), openStream.suspect());
				StreamRelay.this.table.release(openStream.grant(), EndpointTable.Outcome.ABANDONED);
			}
		}

		// Writes the stream to its end, resuming it on other endpoints where possible.
		// Throws if the end is not reached, so that the stream does not appear complete.
		private void writeStream(OpenStream first, CallerMonitor.MonitoredRequest monitoredRequest, OutputStream out)
				throws IOException {
			this.written = true;
			EventFramer framer = new EventFramer();
			OpenStream currentStream = first;
			while (true) {
				IOException failure = copy(currentStream, framer, out);
				if (failure == null) {
					return;
				}
				StreamRelay.this.log.info("stream-broke", "request_id", this.request.id(), "endpoint",
						currentStream.grant().id(), "after_event", framer.lastEventId(), "detail",
						failure.getMessage());
				long after = framer.lastEventId();
				framer.discardIncomplete();
				boolean resumable = this.request.idempotent() && currentStream.endpointResponse().isSuccess()
						&& framer.isResumable();
				OpenStream next = (resumable && !monitoredRequest.isDisconnected())
						? open(after, first.endpointResponse(), monitoredRequest) : null;
				if (next == null) {
					throw failure;
				}
				currentStream = next;
			}
		}

		// Returns null if the stream was complete, and otherwise the failure that broke
		// it. Failures to write to the caller are thrown.
		private @Nullable IOException copy(OpenStream openStream, EventFramer framer, OutputStream out)
				throws IOException {
			EndpointTable.Outcome outcome = EndpointTable.Outcome.ABANDONED;
			long lastEventBefore = framer.lastEventId();
			try (HttpExchange exchange = openStream.exchange()) {
				exchange.setDeadline(this.eventTimeoutMillis);
				byte[] buffer = new byte[BUFFER_BYTES];
				while (true) {
					int count;
					try {
						count = exchange.body().read(buffer);
					}
					catch (IOException ex) {
						outcome = EndpointTable.Outcome.FAILED;
						if (exchange.wasEndedByPeer(ex)) {
							StreamRelay.this.poisonGuard.onConnectionEnded(this.request, openStream.grant());
						}
						return ex;
					}
					if (count < 0) {
						break;
					}
					byte[] completeEvents = framer.append(buffer, count);
					if (lastEventBefore > 0 && framer.firstEventId() > 0
							&& framer.firstEventId() != lastEventBefore + 1) {
						return new IOException("stream resumed with event " + framer.firstEventId() + " after event "
								+ lastEventBefore);
					}
					if (framer.incompleteBytes() > EventStreamReader.MAX_EVENT_BYTES) {
						outcome = EndpointTable.Outcome.FAILED;
						return new IOException(
								"event exceeds the limit of " + EventStreamReader.MAX_EVENT_BYTES + " bytes");
					}
					if (!exchange.retain(framer.incompleteBytes())) {
						outcome = EndpointTable.Outcome.FAILED;
						return new IOException("event of " + framer.incompleteBytes()
								+ " bytes or more exceeds the memory for all responses");
					}
					if (completeEvents.length > 0) {
						exchange.setDeadline(this.eventTimeoutMillis);
						out.write(completeEvents);
						out.flush();
					}
				}
				if (!exchange.isFramed() && openStream.endpointResponse().isSuccess()) {
					if (framer.incompleteBytes() > 0) {
						outcome = EndpointTable.Outcome.FAILED;
						return new IOException("stream ended inside an event");
					}
					// A complete stream cannot be told from a truncated one here. If
					// resumed, an endpoint without further events returns an empty
					// stream.
					if (this.request.idempotent() && framer.firstEventId() > 0) {
						outcome = EndpointTable.Outcome.SERVED;
						return new IOException("stream without length or chunk framing ended");
					}
				}
				if (lastEventBefore > 0 && framer.incompleteBytes() > 0) {
					outcome = EndpointTable.Outcome.FAILED;
					return new IOException("resumed stream ended inside an event");
				}
				out.write(framer.incompleteEvent());
				exchange.markComplete();
				outcome = EndpointTable.Outcome.SERVED;
				StreamRelay.this.poisonGuard.onServed(this.request);
				return null;
			}
			finally {
				StreamRelay.this.poisonGuard.onDone(openStream.grant(), openStream.suspect());
				StreamRelay.this.table.release(openStream.grant(), outcome);
			}
		}

	}

}
