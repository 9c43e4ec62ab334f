package org.bamboorelay.host.request;

import java.util.HashSet;
import java.util.Objects;
import java.util.Set;

import io.vavr.control.Either;
import org.bamboorelay.core.process.EndpointTable;
import org.bamboorelay.core.time.Clock;
import org.bamboorelay.host.connection.EndpointAnswer;
import org.bamboorelay.host.connection.EndpointCall;
import org.bamboorelay.host.connection.EndpointProtocol;
import org.bamboorelay.host.process.EventLog;
import org.bamboorelay.runtime.connection.ExchangeOptions;
import org.bamboorelay.runtime.connection.HttpConnectionPool;
import org.bamboorelay.runtime.connection.HttpExchange;
import org.bamboorelay.runtime.connection.HttpFailure;
import org.bamboorelay.runtime.connection.HttpLimits;
import org.bamboorelay.runtime.process.Counters;

/**
 * Sends a request to endpoints until one answers. A request that is not idempotent is
 * sent again only where the endpoint itself said that it did not run it, or no byte went
 * out.
 * <p>
 * Thread-safe.
 */
public final class EndpointCaller {

	/** When to come back where no endpoint had room, in milliseconds. */
	private static final long RETRY_AFTER_MILLIS = 200;

	/**
	 * Share of the time that is left for which an answer on a kept connection is waited
	 * for: one that went silent leaves time for another endpoint.
	 */
	private static final double KEPT_SHARE = 0.5;

	/** The shortest such wait, in milliseconds; several times what a request takes. */
	private static final long MIN_KEPT_MILLIS = 300;

	/** Less time than this is not worth an attempt, in milliseconds. */
	private static final long MIN_ATTEMPT_MILLIS = 5;

	private final EndpointTable table;

	private final EndpointWait wait;

	private final EndpointProtocol protocol;

	private final HttpConnectionPool pool;

	private final Clock clock;

	private final Counters counters;

	private final EventLog log;

	private EndpointCaller(EndpointTable table, EndpointProtocol protocol, HttpConnectionPool pool, Clock clock,
			Counters counters, EventLog log) {
		this.table = Objects.requireNonNull(table, "table");
		this.protocol = Objects.requireNonNull(protocol, "protocol");
		this.pool = Objects.requireNonNull(pool, "pool");
		this.clock = Objects.requireNonNull(clock, "clock");
		this.counters = Objects.requireNonNull(counters, "counters");
		this.log = Objects.requireNonNull(log, "log");
		this.wait = new EndpointWait(table, clock);
	}

	/**
	 * Creates a caller.
	 * @param table the endpoints
	 * @param protocol how requests to endpoints are written
	 * @param pool the connections
	 * @param clock the monotonic clock of the process
	 * @param counters the metrics of the process
	 * @param log the log of the process
	 * @return the caller
	 */
	public static EndpointCaller of(EndpointTable table, EndpointProtocol protocol, HttpConnectionPool pool,
			Clock clock, Counters counters, EventLog log) {
		return new EndpointCaller(table, protocol, pool, clock, counters, log);
	}

	/**
	 * Sends a request.
	 * @param order the request
	 * @return how it ended
	 */
	public CallResult call(CallOrder order) {
		Set<String> tried = new HashSet<>();
		CallResult last = new CallResult.NotRun("no-endpoint", RETRY_AFTER_MILLIS);
		long waitEnd = this.wait.until(order.endMillis());
		while (tried.size() < order.maxAttempts()) {
			EndpointTable.Grant grant = this.wait.acquire(order.service(), tried, waitEnd);
			if (grant == null) {
				return last;
			}
			tried.add(grant.id());
			long left = order.endMillis() - this.clock.millis();
			if (left < MIN_ATTEMPT_MILLIS) {
				this.table.release(grant, EndpointTable.Outcome.ABANDONED);
				return worst(new CallResult.NotRun("time-is-up", RETRY_AFTER_MILLIS), last);
			}
			CallResult result = attempt(order, grant, left);
			if (isFinal(order, result, tried.size())) {
				return result;
			}
			this.counters.counter("endpoint_retries_total").inc();
			last = worst(last, result);
		}
		return last;
	}

	private static boolean isFinal(CallOrder order, CallResult result, int attempts) {
		if (result instanceof CallResult.Answered answered) {
			return answered.answer().status() < 500 || !order.idempotent() || attempts >= order.maxAttempts();
		}
		return result instanceof CallResult.Unknown unknown && (!order.idempotent() || unknown.timedOut());
	}

	// Once an attempt may have run, a later refusal must not say that none did.
	private static CallResult worst(CallResult earlier, CallResult later) {
		if (later instanceof CallResult.Answered) {
			return later;
		}
		return (earlier instanceof CallResult.NotRun) ? later : earlier;
	}

	private CallResult attempt(CallOrder order, EndpointTable.Grant grant, long left) {
		EndpointTable.Outcome outcome = EndpointTable.Outcome.FAILED;
		long start = this.clock.millis();
		try {
			EndpointCall call = new EndpointCall(order.id(), order.method(), order.host(), order.path(),
					order.headers(), order.workspace(), grant.id(), left, 0, order.body());
			Either<HttpFailure, HttpExchange> result = this.pool.execute(grant.address(), this.protocol.request(call),
					ExchangeOptions.of(order.idempotent(), (int) Math.min(Integer.MAX_VALUE, left))
						.withTag(order.id())
						.withWholeMillis(left)
						.withKeptMillis(Math.max(MIN_KEPT_MILLIS, (long) (left * KEPT_SHARE))),
					order.onAbort());
			if (result.isLeft()) {
				if (this.clock.millis() >= order.endMillis()) {
					outcome = EndpointTable.Outcome.OUT_OF_TIME;
				}
				return failed(order, grant, result.getLeft(), start);
			}
			try (HttpExchange exchange = result.get()) {
				EndpointAnswer answer = this.protocol.head(exchange.response());
				this.table.heard(grant.id(), grant.bornMillis(), answer.leaving());
				if (isCrossed(answer, order.id())) {
					exchange.abort();
					return failed(order, grant, new HttpFailure.Broken("answer to another request"), start);
				}
				Either<HttpFailure, byte[]> body = exchange.readWhole(HttpLimits.MAX_ANSWER_BYTES);
				if (answer.notRun()) {
					outcome = EndpointTable.Outcome.REFUSED;
					this.log.info("endpoint-refused", "request_id", order.id(), "endpoint", grant.id(), "status",
							answer.status());
					return new CallResult.NotRun("endpoint-refused", RETRY_AFTER_MILLIS);
				}
				if (body.isLeft()) {
					return failed(order, grant, body.getLeft(), start);
				}
				if (answer.isSuccess() && answer.seal() == null) {
					return failed(order, grant, new HttpFailure.Broken("success without proof"), start);
				}
				outcome = EndpointTable.Outcome.SERVED;
				return new CallResult.Answered(answer, body.get());
			}
		}
		finally {
			this.table.release(grant, outcome);
		}
	}

	// Some failures bear no id, but each success does.
	private static boolean isCrossed(EndpointAnswer answer, String id) {
		return (answer.id() != null) ? !answer.id().equals(id) : answer.isSuccess();
	}

	private CallResult failed(CallOrder order, EndpointTable.Grant grant, HttpFailure failure, long start) {
		this.log.info("endpoint-failed", "request_id", order.id(), "endpoint", grant.id(), "address", grant.address(),
				"after_ms", this.clock.millis() - start, "code", failure.code(), "detail", failure.detail());
		if (failure instanceof HttpFailure.NotSent) {
			return new CallResult.NotRun("endpoint-unreachable", RETRY_AFTER_MILLIS);
		}
		return new CallResult.Unknown("endpoint-broke", this.clock.millis() >= order.endMillis());
	}

}
