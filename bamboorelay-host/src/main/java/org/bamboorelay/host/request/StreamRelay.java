package org.bamboorelay.host.request;

import java.io.IOException;
import java.io.InputStream;
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
import org.bamboorelay.core.process.EndpointDemand;
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

/**
 * Passes the event stream of one endpoint on to its caller as it comes. Until the
 * endpoint answers, a request may go to another one as far as its kind allows; a stream
 * that has begun and breaks is cut, so that it does not look whole.
 * <p>
 * Thread-safe.
 */
public final class StreamRelay {

	/** The longest pause of a stream, in milliseconds. */
	private static final int MAX_PAUSE_MILLIS = 5_000;

	private static final int BUFFER_BYTES = 8_192;

	/** When to come back where no endpoint took the request, in milliseconds. */
	private static final long RETRY_AFTER_MILLIS = 200;

	private static final int STATUS_GATEWAY_ERROR = 502;

	private final EndpointTable table;

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
	}

	/**
	 * Passes a stream on.
	 * @param order the request
	 * @param watched its caller
	 * @param responder answers it
	 * @throws HttpException where the answer breaks the protocol
	 * @throws IOException where a connection breaks
	 */
	public void relay(CallOrder order, CallerWatch.Watched watched, HttpListener.Responder responder)
			throws HttpException, IOException {
		Set<String> tried = new HashSet<>();
		boolean mayHaveRun = false;
		while (tried.size() < order.maxAttempts() && !watched.isGone()) {
			EndpointTable.Grant grant = this.table.acquire(EndpointDemand.plain(order.service(), tried));
			long left = order.endMillis() - this.clock.millis();
			if (grant == null) {
				break;
			}
			tried.add(grant.id());
			EndpointTable.Outcome outcome = EndpointTable.Outcome.FAILED;
			try {
				EndpointCall call = new EndpointCall(order.id(), order.method(), order.host(), order.path(),
						order.headers(), order.workspace(), grant.id(), Math.max(1, left), 0, order.body());
				Either<HttpFailure, HttpExchange> result = this.pool.execute(grant.address(),
						this.protocol.request(call),
						ExchangeOptions.of(order.idempotent(), (int) Math.min(MAX_PAUSE_MILLIS, Math.max(1, left))),
						order.onAbort());
				if (result.isLeft()) {
					boolean sent = !(result.getLeft() instanceof HttpFailure.NotSent);
					mayHaveRun |= sent;
					if (sent && !order.idempotent()) {
						break;
					}
					continue;
				}
				try (HttpExchange exchange = result.get()) {
					EndpointAnswer answer = this.protocol.head(exchange.response());
					boolean crossed = answer.id() != null && !answer.id().equals(order.id());
					if (answer.notRun()) {
						outcome = EndpointTable.Outcome.REFUSED;
						continue;
					}
					mayHaveRun = true;
					if (crossed || (answer.isSuccess() && answer.seal() == null)) {
						if (!order.idempotent()) {
							break;
						}
						continue;
					}
					this.usage.count((order.workspace() != null) ? order.workspace() : "", System.currentTimeMillis());
					outcome = EndpointTable.Outcome.ABANDONED;
					send(answer, exchange, responder);
					outcome = EndpointTable.Outcome.SERVED;
					return;
				}
			}
			finally {
				this.table.release(grant, outcome);
			}
		}
		if (watched.end()) {
			return;
		}
		this.log.info("stream-refused", "request_id", order.id(), "tried", tried.size(), "may_have_run", mayHaveRun);
		if (mayHaveRun) {
			responder.send(STATUS_GATEWAY_ERROR, "text/plain", "endpoint-broke");
		}
		else {
			responder.send(FrontHandler.refusal("no-endpoint", RETRY_AFTER_MILLIS));
		}
	}

	private static void send(EndpointAnswer answer, HttpExchange exchange, HttpListener.Responder responder)
			throws HttpException, IOException {
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
		InputStream body = exchange.body();
		response.setEntity(new EntityTemplate(-1, type, null, (out) -> copy(body, out)));
		responder.send(response);
		exchange.markWhole();
	}

	private static void copy(InputStream body, OutputStream out) throws IOException {
		byte[] buffer = new byte[BUFFER_BYTES];
		for (int count = body.read(buffer); count >= 0; count = body.read(buffer)) {
			out.write(buffer, 0, count);
			out.flush();
		}
	}

}
