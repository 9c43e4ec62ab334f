package org.bamboorelay.host.request;

import java.io.IOException;
import java.io.OutputStream;
import java.util.HashSet;
import java.util.Objects;
import java.util.Set;

import io.vavr.control.Either;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.io.entity.EntityTemplate;
import org.apache.hc.core5.http.message.BasicClassicHttpResponse;
import org.apache.hc.core5.io.IOCallback;
import org.bamboorelay.core.process.EndpointTable;
import org.bamboorelay.core.time.Clock;
import org.bamboorelay.host.connection.EndpointAnswer;
import org.bamboorelay.host.connection.EndpointCall;
import org.bamboorelay.host.connection.EndpointProtocol;
import org.bamboorelay.host.process.EventLog;
import org.bamboorelay.host.process.UsageMeter;
import org.bamboorelay.runtime.connection.ExchangeOptions;
import org.bamboorelay.runtime.connection.HttpConnectionPool;
import org.bamboorelay.runtime.connection.HttpExchange;
import org.bamboorelay.runtime.connection.HttpFailure;
import org.bamboorelay.runtime.connection.HttpListener;
import org.jspecify.annotations.Nullable;

/**
 * Passes the event stream of an endpoint on to its caller as it comes. Until an endpoint
 * answers, a request may go to another one as far as its kind allows. A stream that
 * breaks goes on after its last whole event at another endpoint where its kind allows,
 * and is cut otherwise, so that it does not look whole.
 * <p>
 * Thread-safe.
 */
public final class StreamRelay {

	/**
	 * The shortest time that is granted from one whole event to the next, in
	 * milliseconds: callers of the platform wait 2 s or more.
	 */
	private static final long MIN_PAUSE_MILLIS = 5_000;

	/** Callers of the platform wait for the next event this many times their goal. */
	private static final long GOALS_PER_PAUSE = 4;

	/** A longer goal is taken for none, in milliseconds. */
	private static final long MAX_GOAL_MILLIS = 60_000;

	private static final int BUFFER_BYTES = 8_192;

	/** When to come back where no endpoint took the request, in milliseconds. */
	private static final long RETRY_AFTER_MILLIS = 200;

	private static final int STATUS_GATEWAY_ERROR = 502;

	private final EndpointTable table;

	private final EndpointWait wait;

	private final EndpointProtocol protocol;

	private final HttpConnectionPool pool;

	private final UsageMeter usage;

	private final Clock clock;

	private final EventLog log;

	/**
	 * Creates a relay.
	 * @param table the endpoints
	 * @param protocol how requests to endpoints are written
	 * @param pool the connections
	 * @param usage counts the requests of workspaces
	 * @param clock the monotonic clock of the process
	 * @param log the log of the process
	 */
	public StreamRelay(EndpointTable table, EndpointProtocol protocol, HttpConnectionPool pool, UsageMeter usage,
			Clock clock, EventLog log) {
		this.table = Objects.requireNonNull(table, "table");
		this.protocol = Objects.requireNonNull(protocol, "protocol");
		this.pool = Objects.requireNonNull(pool, "pool");
		this.usage = Objects.requireNonNull(usage, "usage");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.log = Objects.requireNonNull(log, "log");
		this.wait = new EndpointWait(table, clock);
	}

	/**
	 * Passes a stream on.
	 * @param order the request; one that is idempotent may go on at another endpoint
	 * @param goalMillis the time in which its first event is wanted, in milliseconds
	 * @param watched its caller
	 * @param responder answers it
	 * @throws HttpException where the answer breaks the protocol
	 * @throws IOException where a connection breaks
	 */
	public void relay(CallOrder order, long goalMillis, CallerWatch.Watched watched, HttpListener.Responder responder)
			throws HttpException, IOException {
		Attempts attempts = new Attempts(order, goalMillis);
		Opened first = attempts.open(0, false, watched);
		if (first != null) {
			this.usage.count((order.workspace() != null) ? order.workspace() : "", System.currentTimeMillis());
			responder.send(response(first.answer(), (out) -> attempts.pump(first, watched, out)));
			return;
		}
		if (watched.end()) {
			return;
		}
		this.log.info("stream-refused", "request_id", order.id(), "tried", attempts.tried.size(), "may_have_run",
				attempts.mayHaveRun);
		if (attempts.mayHaveRun) {
			responder.send(STATUS_GATEWAY_ERROR, "text/plain", "endpoint-broke");
		}
		else {
			responder.send(FrontHandler.refusal("no-endpoint", RETRY_AFTER_MILLIS));
		}
	}

	private static ClassicHttpResponse response(EndpointAnswer answer, IOCallback<OutputStream> writer) {
		ClassicHttpResponse response = new BasicClassicHttpResponse(answer.status());
		ContentType type = ContentType.TEXT_EVENT_STREAM;
		for (var header : answer.passedHeaders()) {
			if (header.getName().equalsIgnoreCase(HttpHeaders.CONTENT_TYPE)) {
				type = ContentType.parseLenient(header.getValue());
			}
			else {
				response.addHeader(header);
			}
		}
		response.setEntity(new EntityTemplate(-1, type, null, writer));
		return response;
	}

	private record Opened(EndpointTable.Grant grant, EndpointAnswer answer, HttpExchange exchange) {
	}

	/**
	 * The endpoints that one request was sent to.
	 * <p>
	 * Used by one thread.
	 */
	private final class Attempts {

		private final CallOrder order;

		private final Set<String> tried = new HashSet<>();

		private final long waitEnd;

		private final long pauseMillis;

		private boolean mayHaveRun;

		private Attempts(CallOrder order, long goalMillis) {
			this.order = order;
			this.waitEnd = StreamRelay.this.wait.until(order.endMillis());
			this.pauseMillis = Math.max(MIN_PAUSE_MILLIS, GOALS_PER_PAUSE * Math.min(goalMillis, MAX_GOAL_MILLIS));
		}

		// Returns null where no endpoint began to answer. Once the caller has a head,
		// only
		// a success goes on from it.
		private @Nullable Opened open(long afterEvent, boolean begun, CallerWatch.Watched watched) {
			long end = begun ? StreamRelay.this.clock.millis() + this.pauseMillis : this.waitEnd;
			while (this.tried.size() < this.order.maxAttempts() && !watched.isGone()) {
				EndpointTable.Grant grant = StreamRelay.this.wait.acquire(this.order.service(), this.tried, end);
				if (grant == null) {
					return null;
				}
				this.tried.add(grant.id());
				Opened opened = open(grant, afterEvent, begun);
				if (opened != null) {
					return opened;
				}
				if (this.mayHaveRun && !this.order.idempotent()) {
					return null;
				}
			}
			return null;
		}

		private @Nullable Opened open(EndpointTable.Grant grant, long afterEvent, boolean begun) {
			long left = Math.max(1, this.order.endMillis() - StreamRelay.this.clock.millis());
			EndpointCall call = new EndpointCall(this.order.id(), this.order.method(), this.order.host(),
					this.order.path(), this.order.headers(), this.order.workspace(), grant.id(), left, afterEvent,
					this.order.body());
			long head = begun ? this.pauseMillis : left;
			Either<HttpFailure, HttpExchange> result = StreamRelay.this.pool.execute(grant.address(),
					StreamRelay.this.protocol.request(call),
					ExchangeOptions.of(this.order.idempotent(), (int) Math.min(this.pauseMillis, head))
						.withTag(this.order.id())
						.withWholeMillis(head),
					this.order.onAbort());
			if (result.isLeft()) {
				this.mayHaveRun |= !(result.getLeft() instanceof HttpFailure.NotSent);
				StreamRelay.this.log.info("stream-endpoint-failed", "request_id", this.order.id(), "endpoint",
						grant.id(), "code", result.getLeft().code(), "detail", result.getLeft().detail());
				StreamRelay.this.table.release(grant, EndpointTable.Outcome.FAILED);
				return null;
			}
			HttpExchange exchange = result.get();
			EndpointAnswer answer = StreamRelay.this.protocol.head(exchange.response());
			StreamRelay.this.table.heard(grant.id(), grant.bornMillis(), answer.leaving());
			if (answer.notRun()) {
				exchange.close();
				StreamRelay.this.table.release(grant, EndpointTable.Outcome.REFUSED);
				return null;
			}
			this.mayHaveRun = true;
			boolean crossed = (answer.id() != null) ? !answer.id().equals(this.order.id()) : answer.isSuccess();
			if (crossed || (answer.isSuccess() && answer.seal() == null) || (begun && !answer.isSuccess())) {
				StreamRelay.this.log.info("stream-endpoint-failed", "request_id", this.order.id(), "endpoint",
						grant.id(), "code", "wrong-answer", "status", answer.status(), "crossed", crossed);
				exchange.close();
				StreamRelay.this.table.release(grant, EndpointTable.Outcome.FAILED);
				return null;
			}
			return new Opened(grant, answer, exchange);
		}

		// Writes the stream until its end, at other endpoints where it breaks and may go
		// on; throws where its end is not reached, so that it does not look whole.
		private void pump(Opened first, CallerWatch.Watched watched, OutputStream out) throws IOException {
			EventFrames frames = new EventFrames();
			Opened present = first;
			while (true) {
				IOException broken = copy(present, frames, out);
				if (broken == null) {
					return;
				}
				StreamRelay.this.log.info("stream-broke", "request_id", this.order.id(), "endpoint",
						present.grant().id(), "after_event", frames.lastNumber(), "detail", broken.getMessage());
				long after = frames.lastNumber();
				frames.restart();
				boolean mayGoOn = this.order.idempotent() && present.answer().isSuccess() && frames.mayGoOn();
				Opened next = (mayGoOn && !watched.isGone()) ? open(after, true, watched) : null;
				if (next == null) {
					throw broken;
				}
				present = next;
			}
		}

		// Returns null where the stream was whole, and otherwise how it broke. Failures
		// to write to the caller are thrown.
		private @Nullable IOException copy(Opened opened, EventFrames frames, OutputStream out) throws IOException {
			EndpointTable.Outcome outcome = EndpointTable.Outcome.ABANDONED;
			long before = frames.lastNumber();
			try (HttpExchange exchange = opened.exchange()) {
				exchange.within(this.pauseMillis);
				byte[] buffer = new byte[BUFFER_BYTES];
				while (true) {
					int count;
					try {
						count = exchange.body().read(buffer);
					}
					catch (IOException ex) {
						outcome = EndpointTable.Outcome.FAILED;
						return ex;
					}
					if (count < 0) {
						break;
					}
					byte[] whole = frames.add(buffer, count);
					if (before > 0 && frames.firstNumber() > 0 && frames.firstNumber() != before + 1) {
						return new IOException(
								"the stream went on with event " + frames.firstNumber() + " after " + before);
					}
					if (frames.restBytes() > EventStreamReader.MAX_EVENT_BYTES) {
						outcome = EndpointTable.Outcome.FAILED;
						return new IOException(
								"an event has more than " + EventStreamReader.MAX_EVENT_BYTES + " bytes");
					}
					if (whole.length > 0) {
						exchange.within(this.pauseMillis);
						out.write(whole);
						out.flush();
					}
				}
				if (!exchange.isFramed() && opened.answer().isSuccess()) {
					if (frames.restBytes() > 0) {
						outcome = EndpointTable.Outcome.FAILED;
						return new IOException("the stream ended inside an event");
					}
					// Ends alike whether it is whole or cut. Asked to go on, an endpoint
					// that has no more answers with nothing.
					if (this.order.idempotent() && frames.firstNumber() > 0) {
						outcome = EndpointTable.Outcome.SERVED;
						return new IOException("the stream ended without framing");
					}
				}
				out.write(frames.rest());
				exchange.markWhole();
				outcome = EndpointTable.Outcome.SERVED;
				return null;
			}
			finally {
				StreamRelay.this.table.release(opened.grant(), outcome);
			}
		}

	}

}
